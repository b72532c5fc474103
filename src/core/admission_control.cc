#include "harecrank/core/admission_control.h"

#include <algorithm>

namespace harecrank {
namespace {

// One that waits goes on waiting until twice as much room as is foreseen would
// not do: what it has waited is lost if it is sent away.
constexpr double kDoubt = 0.5;
// One that comes is let in as in time only if its turn is foreseen within this
// share of its time: a queue as long as a target makes everybody late at the
// smallest error.
constexpr double kSureShare = 0.6;

bool HasFingerprint(const PlacementRequest& request) {
  return request.origin.request.high != 0 || request.origin.request.low != 0;
}

}  // namespace

FractionalMillis FirstEventTimeout(const PlacementRequest& request,
                                   const PlacementPolicy& policy) {
  return std::max(
      {FractionalMillis(policy.patience_ms),
       policy.patience_targets * FractionalMillis(request.target_latency),
       policy.patience_gaps * FractionalMillis(request.target_gap)});
}

AdmissionControl::AdmissionControl(const PlacementPolicy& policy,
                                   const MonotonicClock& clock)
    : policy_(policy),
      clock_(clock),
      short_(clock, kShortPromptForecast),
      long_(clock, kLongPromptForecast),
      promises_(clock) {}

bool AdmissionControl::CanDecide(const AdmissionCandidate& seeker) const {
  const PlacementRequest& request = *seeker.request;
  // Zero where its host tells no deadline.
  return policy_.foresees_room &&
         request.until_deadline > FractionalMillis(0) &&
         HasFingerprint(request);
}

std::optional<TimePoint> AdmissionControl::OnArrival(
    const AdmissionCandidate& seeker) {
  std::optional<TimePoint> late_at;
  if (CanDecide(seeker)) {
    late_at = promises_.Redeem(seeker.request->origin.request);
  }
  if (!late_at.has_value()) {
    ForecastOf(seeker.kind).OnArrival(seeker.work, seeker.engines);
  }
  return late_at;
}

void AdmissionControl::OnStarted(const AdmissionCandidate& seeker) {
  ForecastOf(seeker.kind).OnStarted(seeker.work, seeker.engines);
  counts_.kept += seeker.has_reservation ? 1 : 0;
  promises_.Cancel(seeker.request->origin.request);
}

bool AdmissionControl::MayStart(const WaitingRequest& waiter, PromptKind kind,
                                TimePoint now, const WorkAhead& ahead) const {
  if (!policy_.foresees_room || kind == PromptKind::kShort ||
      waiter.has_reservation || CanMeetTarget(waiter, now)) {
    return true;
  }
  return ahead.in_time == FractionalMillis(0) && long_.HasSpareCapacity();
}

TimePoint AdmissionControl::UrgentFrom(const AdmissionCandidate& seeker) const {
  const PromptTiming time = TimeOf(seeker);
  const FractionalMillis left =
      time.until_end - time.read - time.answer -
      FractionalMillis(seeker.request->target_latency);
  return clock_() + std::chrono::duration_cast<TimePoint::duration>(left);
}

std::optional<QueryRejected> AdmissionControl::RejectionOf(
    const AdmissionCandidate& seeker, const WorkAhead& ahead) {
  if (seeker.request->may_have_run) {
    return std::nullopt;
  }
  const PromptTiming time = TimeOf(seeker);
  const bool too_late = time.read + time.answer > time.until_end;
  if (too_late) {
    return Refuse(seeker, ahead);
  }
  if (seeker.has_reservation) {
    return std::nullopt;
  }
  const double doubt = seeker.waits ? kDoubt : 1 / kSureShare;
  const CapacityForecast& forecast = ForecastOf(seeker.kind);
  const bool has_precedent =
      !seeker.waits && seeker.kind == PromptKind::kLong &&
      ahead.least_late.has_value() && *ahead.least_late <= seeker.work;
  const FractionalMillis until_start =
      has_precedent
          ? FractionalMillis::max()
          : doubt * forecast.TimeUntilStart(ahead.in_time, seeker.engines);
  const FractionalMillis until_left_over =
      std::min(doubt, 1.0) *
      forecast.TimeUntilSpareCapacity(ahead.in_time + ahead.late, seeker.work,
                                      seeker.engines);
  if (PredictOutcome(time, until_start, until_left_over) ==
      PredictedOutcome::kNone) {
    return Refuse(seeker, ahead);
  }
  return std::nullopt;
}

PromptTiming AdmissionControl::TimeOf(const AdmissionCandidate& seeker) const {
  const PlacementRequest& request = *seeker.request;
  PromptTiming time;
  time.until_late = request.until_late;
  time.read = seeker.kind == PromptKind::kShort
                  ? seeker.work
                  : seeker.work / static_cast<double>(kMaxHelpers + 1);
  const FractionalMillis step(request.service->engine->step_ms);
  time.answer = static_cast<double>(request.answer.value) * step;
  // Until the caller hears something its patience counts, and until it has
  // heard all its deadline.
  time.until_end =
      std::min(request.until_deadline,
               FirstEventTimeout(request, policy_) - seeker.age + time.answer);
  return time;
}

QueryRejected AdmissionControl::Refuse(const AdmissionCandidate& seeker,
                                       const WorkAhead& ahead) {
  const PlacementRequest& request = *seeker.request;
  ++counts_.made;
  counts_.broken += seeker.has_reservation ? 1 : 0;
  const FractionalMillis before =
      ahead.in_time + ahead.late + promises_.ReservedWork();
  const FractionalMillis foreseen =
      ForecastOf(seeker.kind).TimeUntilStart(before, seeker.engines);
  const FractionalMillis latest = policy_.return_share * request.until_deadline;
  const FractionalMillis after =
      std::max(std::min(foreseen, latest), FractionalMillis(kMinRetryAfter));
  return QueryRejected{promises_.Reserve(
      request.origin.request, seeker.work,
      clock_() +
          std::chrono::duration_cast<TimePoint::duration>(request.until_late),
      std::chrono::duration_cast<Millis>(after))};
}

}  // namespace harecrank
