#include "harecrank/core/unsound_engines.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace harecrank {
namespace {

// Removes the worst of the candidates for which `leaves_out` is true, up to
// kMaxLeftOutShare of all.
template <typename Predicate>
void LeaveOut(const Predicate& leaves_out,
              std::vector<EngineCandidate>* candidates) {
  std::vector<const EngineCandidate*> left_out;
  for (const EngineCandidate& candidate : *candidates) {
    if (leaves_out(candidate)) {
      left_out.push_back(&candidate);
    }
  }
  if (left_out.empty()) {
    return;
  }
  std::stable_sort(left_out.begin(), left_out.end(),
                   [](const EngineCandidate* a, const EngineCandidate* b) {
                     return std::tie(a->standing, a->pace) >
                            std::tie(b->standing, b->pace);
                   });
  const auto most = static_cast<std::size_t>(
      kMaxLeftOutShare * static_cast<double>(candidates->size()));
  left_out.resize(std::min(most, left_out.size()));
  std::set<const EndpointRecord*> records;
  for (const EngineCandidate* candidate : left_out) {
    records.insert(candidate->record);
  }
  candidates->erase(
      std::remove_if(candidates->begin(), candidates->end(),
                     [&records](const EngineCandidate& candidate) {
                       return records.count(candidate.record) != 0;
                     }),
      candidates->end());
}

}  // namespace

void LeaveOutUnsound(std::vector<EngineCandidate>* candidates) {
  LeaveOut(
      [](const EngineCandidate& candidate) {
        return candidate.standing != EngineStanding::kSound;
      },
      candidates);
}

void LeaveOutFailing(std::vector<EngineCandidate>* candidates) {
  LeaveOut(
      [](const EngineCandidate& candidate) {
        return candidate.standing == EngineStanding::kFailing &&
               !candidate.trial_due;
      },
      candidates);
}

bool IsGoodTrial(const EngineCandidate& candidate) {
  return candidate.trial_due && candidate.load.pending_prefills == 0 &&
         candidate.load.prefill_backlog <= FractionalMillis(0);
}

}  // namespace harecrank
