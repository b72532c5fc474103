#include "src/gateway/endpoint_response_handler.h"

#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const EndpointId kEndpoint{"e0"};
const ServiceName kService{"svc"};

class AnswersFixture {
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

  // Refuses, rests, names a limit and leaves, all in one.
  static EndpointResponse FullAnswer() {
    EndpointResponse answer;
    answer.status = 503;
    answer.not_run = true;
    answer.limit = RequestRate{2};
    answer.backoff = Millis(3000);
    answer.leaving = LeavingHint::kLeaving;
    return answer;
  }

  void Answer(const EndpointRecord& endpoint, const EndpointResponse& answer) {
    answers_.OnAnswer(endpoint, answer, now_);
  }

  bool IsKnownOf() const {
    return gate_.BackoffCount() + gate_.LimitedCount() +
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
  StartLimiter gate_{HostAddress{"h"},
                     ColdLimit{},
                     [] { return 1; },
                     [] { return nullptr; },
                     &log_,
                     &metrics_,
                     clock_};
  int told_ = 0;
  int rests_looked_at_ = 0;
  BackoffNotifier backoff_notifier_{
      [this](const auto& /*look*/) { ++rests_looked_at_; }};
  EndpointResponseHandler answers_{
      &directory_, &health_,           &news_,
      &gate_,      &backoff_notifier_, [this] { ++told_; }};
};

TEST_CASE_METHOD(AnswersFixture,
                 "Requests that wait look when an endpoint asks for rest") {
  backoff_notifier_.Add([] {});
  Answer(Record(1000, 2), EndpointResponse{});
  CHECK(rests_looked_at_ == 0);
  Answer(Record(1000, 2), FullAnswer());
  CHECK(rests_looked_at_ == 1);
}

TEST_CASE_METHOD(AnswersFixture, "Each word of an answer reaches its keeper") {
  news_.OnEndpoint(Record(1000, 2));
  Answer(Record(1000, 2), FullAnswer());
  CHECK(gate_.LimitedCount() == 1);
  CHECK(gate_.IsBackingOff(kEndpoint));
  CHECK(directory_.UsableOf(kService).empty());
  CHECK(health_.IsSuspect(kEndpoint));
  // Of the limit, and of its leaving.
  CHECK(told_ == 2);
  Answer(Record(1000, 2), FullAnswer());
  CHECK(told_ == 2);
}

TEST_CASE_METHOD(AnswersFixture,
                 "The answer of another endpoint says nothing of this one") {
  news_.OnEndpoint(Record(1000, 2));
  EndpointResponse answer = FullAnswer();
  answer.status = 421;
  Answer(Record(1000, 2), answer);
  CHECK_FALSE(IsKnownOf());
}

TEST_CASE_METHOD(AnswersFixture,
                 "A late answer of an earlier life binds no later one") {
  news_.OnEndpoint(Record(1000, 2));
  news_.OnEndpoint(Record(2000, 3));
  Answer(Record(1000, 2), FullAnswer());
  CHECK_FALSE(IsKnownOf());
}

TEST_CASE_METHOD(AnswersFixture, "An endpoint whose entry is gone is heard") {
  Answer(Record(1000, 2), FullAnswer());
  CHECK(gate_.IsBackingOff(kEndpoint));
  news_.OnEndpoint(Record(1000, 3));
  CHECK(directory_.UsableOf(kService).empty());
}

}  // namespace
}  // namespace harecrank
