#include "src/gateway/snapshot_server.h"

#include <boost/beast/http/field.hpp>
#include <limits>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/endpoint_request.h"

namespace harecrank {
namespace {

namespace http = boost::beast::http;

constexpr double kMillisOfSecond = 1000;
// Hosts are sent on to others that have at least this part of the power.
constexpr double kLeastPower = 0.5;

// Keeps a copy's bytes until it has gone out, and tells the desk then.
class CopyUnderWay {
 public:
  CopyUnderWay(std::shared_ptr<const std::string> bytes,
               std::shared_ptr<SnapshotAdmission> desk)
      : bytes_(std::move(bytes)), desk_(std::move(desk)) {}
  CopyUnderWay(const CopyUnderWay&) = delete;
  CopyUnderWay& operator=(const CopyUnderWay&) = delete;
  ~CopyUnderWay() { desk_->OnTransferEnded(); }

  const std::string* Bytes() const { return bytes_.get(); }

 private:
  std::shared_ptr<const std::string> bytes_;
  std::shared_ptr<SnapshotAdmission> desk_;
};

}  // namespace

SnapshotServer::SnapshotServer(CpuShare power, Membership* book, Source source,
                               KnownUpTo known_up_to, Metrics* metrics,
                               MonotonicClock clock)
    : power_(power),
      book_(book),
      source_(std::move(source)),
      known_up_to_(std::move(known_up_to)),
      metrics_(metrics),
      desk_(std::make_shared<SnapshotAdmission>(power, std::move(clock))) {}

bool SnapshotServer::Serves(std::string_view target) {
  const std::string_view path = kPath;
  return target.substr(0, path.size()) == path;
}

SimpleHttpReply SnapshotServer::Answer(std::string_view target) {
  const auto number =
      ParseInteger(target.substr(std::string_view(kPath).size()));
  const StoreRevision since{static_cast<std::uint64_t>(
      std::max<std::int64_t>(0, number.value_or(0)))};
  const SnapshotDecision decision = desk_->OnRequest(Elsewhere());
  if (const auto* other = std::get_if<RedirectToPeer>(&decision)) {
    HttpReply reply =
        MakeReply(http_status::kTemporaryRedirect, "text/plain", "");
    reply.set(http::field::location, "http://" + other->host.value + kPath +
                                         std::to_string(since.value));
    metrics_->GetCounter("harecrank_gateway_copies_elsewhere_total")->Add();
    return SimpleHttpReply{std::move(reply), nullptr};
  }
  if (const auto* later = std::get_if<RetryLater>(&decision)) {
    HttpReply reply = MakeReply(http_status::kUnavailable, "text/plain", "");
    reply.set(http::field::retry_after,
              std::to_string(static_cast<double>(later->delay.count()) /
                             kMillisOfSecond));
    metrics_->GetCounter("harecrank_gateway_copies_later_total")->Add();
    return SimpleHttpReply{std::move(reply), nullptr};
  }
  return Give(since);
}

SimpleHttpReply SnapshotServer::Give(StoreRevision since) {
  // Made first, so that the desk is told whatever happens.
  std::shared_ptr<const std::string> bytes = source_(since);
  if (bytes == nullptr) {
    bytes = std::make_shared<const std::string>();
  }
  const auto copy = std::make_shared<CopyUnderWay>(std::move(bytes), desk_);
  metrics_->GetCounter("harecrank_gateway_copies_given_total")->Add();
  return SimpleHttpReply{
      MakeReply(http_status::kOk, "application/cbor", ""),
      std::shared_ptr<const std::string>(copy, copy->Bytes())};
}

std::optional<HostAddress> SnapshotServer::Elsewhere() const {
  const std::uint64_t known = known_up_to_().value;
  if (known == 0) {
    return std::nullopt;
  }
  const RoutingVersion any{std::numeric_limits<std::uint64_t>::max()};
  const auto host = book_->FindMoreUpToDate(any, StoreRevision{known - 1});
  const bool serves = host.has_value() && book_->CpuShareOf(*host).value >=
                                              kLeastPower * power_.value;
  return serves ? host : std::nullopt;
}

}  // namespace harecrank
