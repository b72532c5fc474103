#include "src/gateway/endpoint_response_handler.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const EndpointId kEndpoint{"e0"};
const ServiceName kService{"svc"};

class ResponseHandlerFixture {
 protected:
  static EndpointRecord Record(std::int64_t incarnation,
                               std::uint64_t revision) {
    EndpointRecord record;
    record.id = kEndpoint;
    record.incarnation = EndpointIncarnation{incarnation};
    record.service = kService;
    record.address = "127.0.0.1:1";
    record.revision = StoreRevision{revision};
    return record;
  }

  // A rejection with a back-off, a rate limit and a leaving announcement.
  static EndpointResponse ResponseWithAllHints() {
    EndpointResponse response;
    response.status = 503;
    response.not_run = true;
    response.limit = RequestRate{2};
    response.backoff = Millis(3000);
    response.leaving = LeavingHint::kLeaving;
    return response;
  }

  void Respond(const EndpointRecord& endpoint,
               const EndpointResponse& response) {
    handler_.OnAnswer(endpoint, response, now_);
  }

  bool HasAnyHint() const {
    return limiter_.BackoffCount() + limiter_.LimitedCount() +
               directory_.Leaving().size() >
           0;
  }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  boost::asio::io_context io_;
  EventLog log_{"n", clock_};
  Metrics metrics_;
  EndpointDirectory directory_{clock_};
  EndpointHealth health_{clock_};
  EndpointConnectionPool connections_{&io_, clock_};
  EndpointUpdater news_{&directory_, &health_, &connections_, &log_, &metrics_};
  StartLimiter limiter_{HostAddress{"h"},
                        ColdLimit{},
                        [] { return 1; },
                        [] { return nullptr; },
                        &log_,
                        &metrics_,
                        clock_};
  int changes_ = 0;
  int backoff_checks_ = 0;
  BackoffNotifier backoff_notifier_{
      [this](const auto& /*look*/) { ++backoff_checks_; }};
  EndpointResponseHandler handler_{
      &directory_, &health_,           &news_,
      &limiter_,   &backoff_notifier_, [this] { ++changes_; }};
};

TEST_CASE_METHOD(
    ResponseHandlerFixture,
    "Waiting requests are notified when an endpoint asks for a back-off") {
  backoff_notifier_.Add([] {});
  Respond(Record(1000, 2), EndpointResponse{});
  CHECK(backoff_checks_ == 0);
  Respond(Record(1000, 2), ResponseWithAllHints());
  CHECK(backoff_checks_ == 1);
}

TEST_CASE_METHOD(ResponseHandlerFixture, "Each hint in a response is applied") {
  news_.OnEndpoint(Record(1000, 2));
  Respond(Record(1000, 2), ResponseWithAllHints());
  CHECK(limiter_.LimitedCount() == 1);
  CHECK(limiter_.IsBackingOff(kEndpoint));
  CHECK(directory_.UsableOf(kService).empty());
  CHECK(health_.IsSuspect(kEndpoint));
  // One for the limit and one for the leaving announcement.
  CHECK(changes_ == 2);
  Respond(Record(1000, 2), ResponseWithAllHints());
  CHECK(changes_ == 2);
}

TEST_CASE_METHOD(ResponseHandlerFixture, "A misdirected response is ignored") {
  news_.OnEndpoint(Record(1000, 2));
  EndpointResponse response = ResponseWithAllHints();
  response.status = 421;
  Respond(Record(1000, 2), response);
  CHECK_FALSE(HasAnyHint());
}

TEST_CASE_METHOD(ResponseHandlerFixture,
                 "A response of an earlier incarnation is ignored") {
  news_.OnEndpoint(Record(1000, 2));
  news_.OnEndpoint(Record(2000, 3));
  Respond(Record(1000, 2), ResponseWithAllHints());
  CHECK_FALSE(HasAnyHint());
}

TEST_CASE_METHOD(ResponseHandlerFixture,
                 "A response of an endpoint without a record is applied") {
  Respond(Record(1000, 2), ResponseWithAllHints());
  CHECK(limiter_.IsBackingOff(kEndpoint));
  news_.OnEndpoint(Record(1000, 3));
  CHECK(directory_.UsableOf(kService).empty());
}

}  // namespace
}  // namespace harecrank
