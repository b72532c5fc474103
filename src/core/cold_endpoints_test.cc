#include "harecrank/core/cold_endpoints.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

const ServiceName kService{"svc"};
const EndpointId kEndpoint{"e0"};

EndpointRecord RecordOf(std::uint64_t revision, std::optional<Millis> cold_for,
                        std::int64_t incarnation = 1) {
  EndpointRecord record;
  record.id = kEndpoint;
  record.incarnation = EndpointIncarnation{incarnation};
  record.service = kService;
  record.revision = StoreRevision{revision};
  record.cold_for = cold_for;
  return record;
}

class ColdFixture {
 protected:
  void Advance(Millis time) { now_ += time; }

  TimePoint now_{std::chrono::hours(1)};
  MonotonicClock clock_ = [this] { return now_; };
  ColdEndpoints endpoints_{clock_};
};

TEST_CASE_METHOD(ColdFixture,
                 "An endpoint is cold for its published warm-up time") {
  CHECK(endpoints_.OnRecord(RecordOf(1, Millis(3000)), Millis(0)) ==
        ColdChange::kTurnedCold);
  Advance(Millis(2999));
  CHECK(endpoints_.IsCold(kEndpoint));
  CHECK(endpoints_.TakeWarmed().empty());
  Advance(Millis(1));
  CHECK_FALSE(endpoints_.IsCold(kEndpoint));
  CHECK(endpoints_.TakeWarmed().size() == 1);
  CHECK(endpoints_.TakeWarmed().empty());
}

TEST_CASE_METHOD(ColdFixture,
                 "A record that is listed again does not extend the warm-up") {
  endpoints_.OnRecord(RecordOf(1, Millis(3000)), Millis(0));
  for (int i = 0; i < 10; ++i) {
    Advance(Millis(1000));
    endpoints_.OnRecord(RecordOf(1, Millis(3000)), Millis(0));
  }
  CHECK_FALSE(endpoints_.IsCold(kEndpoint));
}

TEST_CASE_METHOD(ColdFixture, "An older record does not end the warm-up") {
  endpoints_.OnRecord(RecordOf(5, Millis(3000)), Millis(0));
  CHECK(endpoints_.OnRecord(RecordOf(4, Millis(0)), Millis(0)) ==
        ColdChange::kNone);
  CHECK(endpoints_.IsCold(kEndpoint));
}

TEST_CASE_METHOD(ColdFixture, "A newer record can start or end the warm-up") {
  endpoints_.OnRecord(RecordOf(1, Millis(0)), Millis(0));
  CHECK(endpoints_.OnRecord(RecordOf(2, Millis(3000)), Millis(0)) ==
        ColdChange::kTurnedCold);
  CHECK(endpoints_.OnRecord(RecordOf(3, Millis(1800)), Millis(0)) ==
        ColdChange::kNone);
  CHECK(endpoints_.OnRecord(RecordOf(4, Millis(0)), Millis(0)) ==
        ColdChange::kTurnedWarm);
  CHECK_FALSE(endpoints_.IsCold(kEndpoint));
}

TEST_CASE_METHOD(ColdFixture,
                 "A new incarnation without a published warm-up time is cold") {
  endpoints_.OnRecord(RecordOf(1, std::nullopt), Millis(0));
  CHECK_FALSE(endpoints_.IsCold(kEndpoint));
  endpoints_.OnRecord(RecordOf(2, std::nullopt), Millis(3000));
  CHECK_FALSE(endpoints_.IsCold(kEndpoint));
  endpoints_.OnRecord(RecordOf(3, std::nullopt, 2), Millis(3000));
  CHECK(endpoints_.IsCold(kEndpoint));
}

TEST_CASE_METHOD(ColdFixture,
                 "An endpoint stays cold when its entry is removed") {
  endpoints_.OnRecord(RecordOf(1, Millis(3000)), Millis(0));
  endpoints_.OnGone(kEndpoint);
  CHECK(endpoints_.IsCold(kEndpoint));
  Advance(Millis(10000));
  endpoints_.TakeWarmed();
  CHECK_FALSE(endpoints_.RampUpFactor(kEndpoint).has_value());
}

}  // namespace
}  // namespace harecrank
