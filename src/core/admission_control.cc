#include "harecrank/core/admission_control.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Factor on the forecast wait of a request that is already in the queue. Such a
// request is rejected only if twice the forecast capacity would not suffice,
// since a rejection would waste the time that it has waited.
constexpr double kWaitingFactor = 0.5;
// A new request counts as in time only if its forecast wait is within this
// share of the time it has left. If the forecast wait could fill all of the
// time left, the smallest forecast error would make all queued requests late.
constexpr double kMaxWaitShare = 0.6;

}  // namespace

FractionalMillis FirstEventTimeout(const PlacementRequest& request,
                                   const PlacementPolicy& policy) {
  return std::max(
      {FractionalMillis(policy.patience_ms),
       policy.patience_targets * FractionalMillis(request.target_latency),
       policy.patience_gaps * FractionalMillis(request.target_gap)});
}

AdmissionControl::AdmissionControl(const PlacementPolicy& policy,
                                   const MonotonicClock& clock,
                                   ReturnPromises* promises)
    : policy_(policy),
      clock_(clock),
      short_forecast_(clock, kShortPromptForecast),
      long_forecast_(clock, kLongPromptForecast),
      promises_(promises) {}

bool AdmissionControl::CanDecide(const AdmissionCandidate& candidate) const {
  const PlacementRequest& request = *candidate.request;
  // The deadline is zero if the host did not send one.
  return policy_.foresees_room &&
         request.until_deadline > FractionalMillis(0) &&
         request.origin.request.IsSet();
}

std::optional<TimePoint> AdmissionControl::OnArrival(
    const AdmissionCandidate& candidate) {
  if (CanDecide(candidate)) {
    if (const auto promise =
            promises_->Redeem(candidate.request->origin.request)) {
      return promise->first_event_due;
    }
  }
  ForecastOf(candidate.kind).OnArrival(candidate.work, candidate.engines);
  return std::nullopt;
}

void AdmissionControl::OnStarted(const AdmissionCandidate& candidate) {
  ForecastOf(candidate.kind).OnStarted(candidate.work, candidate.engines);
  if (candidate.has_reservation) {
    promises_->OnKept();
  }
  promises_->Cancel(candidate.request->origin.request);
}

bool AdmissionControl::MayStart(const WaitingRequest& request, PromptKind kind,
                                TimePoint now, const WorkAhead& ahead) const {
  if (!policy_.foresees_room || kind == PromptKind::kShort ||
      request.has_reservation || CanMeetTarget(request, now)) {
    return true;
  }
  return ahead.in_time == FractionalMillis(0) &&
         long_forecast_.HasSpareCapacity();
}

TimePoint AdmissionControl::UrgentFrom(
    const AdmissionCandidate& candidate) const {
  const PromptTiming timing = TimingOf(candidate);
  const FractionalMillis left =
      timing.until_abandoned - timing.prefill - timing.decode -
      FractionalMillis(candidate.request->target_latency);
  return clock_() + std::chrono::duration_cast<TimePoint::duration>(left);
}

std::optional<QueryRejected> AdmissionControl::RejectionOf(
    const AdmissionCandidate& candidate, const WorkAhead& ahead) {
  if (candidate.request->may_have_run) {
    return std::nullopt;
  }
  const PromptTiming timing = TimingOf(candidate);
  const bool too_late = timing.prefill + timing.decode > timing.until_abandoned;
  if (too_late) {
    return Reject(candidate, ahead);
  }
  if (candidate.has_reservation) {
    return std::nullopt;
  }
  const double wait_factor =
      candidate.waits ? kWaitingFactor : 1 / kMaxWaitShare;
  const CapacityForecast& forecast = ForecastOf(candidate.kind);
  const bool misses_target =
      !candidate.waits && candidate.kind == PromptKind::kLong &&
      ahead.least_late.has_value() && *ahead.least_late <= candidate.work;
  const FractionalMillis until_start =
      misses_target ? FractionalMillis::max()
                    : wait_factor * forecast.TimeUntilStart(ahead.in_time,
                                                            candidate.engines);
  const FractionalMillis until_spare =
      std::min(wait_factor, 1.0) *
      forecast.TimeUntilSpareCapacity(ahead.in_time + ahead.late,
                                      candidate.work, candidate.engines);
  if (PredictOutcome(timing, until_start, until_spare) ==
      PredictedOutcome::kNone) {
    return Reject(candidate, ahead);
  }
  return std::nullopt;
}

PromptTiming AdmissionControl::TimingOf(
    const AdmissionCandidate& candidate) const {
  const PlacementRequest& request = *candidate.request;
  PromptTiming timing;
  timing.until_late = request.until_late;
  timing.prefill = candidate.kind == PromptKind::kShort
                       ? candidate.work
                       : candidate.work / static_cast<double>(kMaxHelpers + 1);
  const FractionalMillis step_time(request.service->engine->step_ms);
  timing.decode = static_cast<double>(request.answer.value) * step_time;
  // The first-event time-out applies until the first event, and the deadline
  // until the end of the answer.
  timing.until_abandoned =
      std::min(request.until_deadline, FirstEventTimeout(request, policy_) -
                                           candidate.age + timing.decode);
  return timing;
}

QueryRejected AdmissionControl::Reject(const AdmissionCandidate& candidate,
                                       const WorkAhead& ahead) {
  const PlacementRequest& request = *candidate.request;
  if (candidate.has_reservation) {
    promises_->OnBroken(BrokenPromiseCause::kOther);
  }
  const FractionalMillis ahead_of_retry =
      ahead.in_time + ahead.late + promises_->PromisedWork();
  const FractionalMillis forecast_start =
      ForecastOf(candidate.kind)
          .TimeUntilStart(ahead_of_retry, candidate.engines);
  const FractionalMillis latest_return =
      policy_.return_share * request.until_deadline;
  const FractionalMillis delay =
      std::max(std::min(forecast_start, latest_return),
               FractionalMillis(kMinRetryAfter));
  const TimePoint now = clock_();
  ReturnPromise promise;
  promise.request = request.origin.request;
  promise.prompt.prefill_time = candidate.work;
  promise.return_at = now + std::chrono::duration_cast<Millis>(delay);
  promise.first_event_due =
      now + std::chrono::duration_cast<TimePoint::duration>(request.until_late);
  promise.engines = candidate.engines;
  return QueryRejected{promises_->Make(std::move(promise))};
}

}  // namespace harecrank
