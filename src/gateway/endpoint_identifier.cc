#include "src/gateway/endpoint_identifier.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "harecrank/core/answer_end.h"
#include "harecrank/core/process_ending.h"
#include "src/adapters/answer_facts.h"
#include "src/adapters/tcp_endpoint.h"
#include "src/gateway/timer.h"

namespace harecrank {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Error = boost::system::error_code;

constexpr unsigned kHttp11 = 11;
// Pause before a question is asked again whose connection was reset.
constexpr Millis kRetryPause{100};
constexpr std::size_t kMaxHeadBytes = 16U << 10U;

// One question, asked until there is an answer or its time has passed.
class Inquiry : public std::enable_shared_from_this<Inquiry> {
 public:
  Inquiry(asio::io_context* io, const ProtocolNames* names,
          EndpointIdentifier::Question question,
          EndpointIdentifier::OnResult on_result)
      : question_(std::move(question)),
        names_(names),
        on_result_(std::move(on_result)),
        socket_(*io),
        pause_(*io),
        patience_(*io),
        connect_limit_(*io) {}

  void Start() {
    patience_.expires_after(kProcessEndingTime + question_.patience);
    patience_.async_wait([weak = weak_from_this()](const Error& error) {
      const auto self = weak.lock();
      if (!error && self != nullptr) {
        self->Finish(ProbeResult::kTimedOut);
      }
    });
    AskAfter(kProcessEndingTime);
  }

 private:
  using Parser = http::response_parser<http::empty_body>;

  void AskAfter(Millis pause) {
    pause_.expires_after(pause);
    pause_.async_wait([self = shared_from_this()](const Error& error) {
      if (!error && !self->finished_) {
        self->Connect();
      }
    });
  }

  void Connect() {
    const auto endpoint = ParseTcpEndpoint(question_.address);
    if (!endpoint.has_value() || question_.health_path.empty()) {
      Finish(ProbeResult::kTimedOut);
      return;
    }
    connect_limit_.expires_after(EndpointProber::kTimeout);
    connect_limit_.async_wait([weak = weak_from_this()](const Error& error) {
      const auto self = weak.lock();
      if (!error && self != nullptr && self->connecting_) {
        self->Finish(ProbeResult::kTimedOut);
      }
    });
    connecting_ = true;
    socket_.async_connect(*endpoint,
                          [self = shared_from_this()](const Error& error) {
                            self->OnConnected(error);
                          });
  }

  void OnConnected(const Error& error) {
    connecting_ = false;
    connect_limit_.cancel();
    if (finished_) {
      return;
    }
    if (error == asio::error::connection_refused) {
      Finish(ProbeResult::kRefused);
    } else if (error) {
      AskAgain();
    } else {
      Send();
    }
  }

  void Send() {
    request_ = {http::verb::get, question_.health_path, kHttp11};
    request_.set(http::field::host, question_.address);
    request_.set(http::field::connection, "close");
    request_.set(names_->expected_endpoint, question_.endpoint.value);
    http::async_write(
        socket_, request_,
        [self = shared_from_this()](const Error& error, std::size_t /*bytes*/) {
          self->OnSent(error);
        });
  }

  void OnSent(const Error& error) {
    if (finished_) {
      return;
    }
    if (error) {
      AskAgain();
      return;
    }
    buffer_.clear();
    buffer_.max_size(kMaxHeadBytes);
    heads_ = {};
    ReadHead();
  }

  void ReadHead() {
    parser_.emplace();
    http::async_read_header(socket_, buffer_, *parser_,
                            [self = shared_from_this()](const Error& failure,
                                                        std::size_t /*bytes*/) {
                              self->OnHead(failure);
                            });
  }

  void OnHead(const Error& error) {
    if (finished_) {
      return;
    }
    if (error) {
      AskAgain();
      return;
    }
    const auto& head = parser_->get();
    const HeadVerdict verdict = heads_.Check(FactsOf(head));
    if (std::holds_alternative<HeadFault>(verdict)) {
      AskAgain();
      return;
    }
    if (std::get<AnswerStage>(verdict) == AnswerStage::kInterim) {
      ReadHead();
      return;
    }
    IdentityAnswer answer;
    answer.status = head.result_int();
    const auto id = head.find(names_->own_endpoint);
    if (id != head.end()) {
      answer.id = std::string(id->value());
    }
    Finish(IsSameProcess(question_.endpoint, answer) ? ProbeResult::kSame
                                                     : ProbeResult::kReplaced);
  }

  void AskAgain() {
    Error ignored;
    socket_.close(ignored);
    AskAfter(kRetryPause);
  }

  void Finish(ProbeResult result) {
    if (finished_) {
      return;
    }
    finished_ = true;
    Error ignored;
    socket_.close(ignored);
    pause_.cancel();
    patience_.cancel();
    connect_limit_.cancel();
    on_result_(result);
  }

  EndpointIdentifier::Question question_;
  const ProtocolNames* names_;
  EndpointIdentifier::OnResult on_result_;
  asio::ip::tcp::socket socket_;
  Timer pause_;
  Timer patience_;
  Timer connect_limit_;
  http::request<http::empty_body> request_;
  boost::beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  AnswerHeads heads_;
  bool connecting_ = false;
  bool finished_ = false;
};

}  // namespace

void EndpointIdentifier::Ask(Question question, OnResult on_result) {
  std::make_shared<Inquiry>(io_, names_, std::move(question),
                            std::move(on_result))
      ->Start();
}

}  // namespace harecrank
