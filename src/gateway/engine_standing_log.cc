#include "src/gateway/engine_standing_log.h"

#include <iterator>
#include <utility>

namespace harecrank {

const char* NameOf(EngineStanding standing) {
  switch (standing) {
    case EngineStanding::kSound:
      return "sound";
    case EngineStanding::kSuspected:
      return "suspected";
    case EngineStanding::kSlow:
      return "slow";
    case EngineStanding::kFailing:
      return "failing";
  }
  return "";
}

EngineStandingLog::EngineStandingLog(const EndpointHealth* health,
                                     EventLog* log, Metrics* metrics)
    : health_(health), log_(log), metrics_(metrics) {}

void EngineStandingLog::Tick() {
  std::map<EndpointId, EngineStanding> current = health_->UnsoundEngines();
  for (auto it = current.begin(); it != current.end();) {
    const bool is_suspected = it->second == EngineStanding::kSuspected;
    it = is_suspected ? current.erase(it) : std::next(it);
  }
  for (const auto& [id, standing] : current) {
    const auto before = last_.find(id);
    if (before == last_.end() || before->second != standing) {
      metrics_->GetCounter("harecrank_gateway_engines_left_out_total")->Add();
      log_->Write("engine_unsound", {{"endpoint", id.value},
                                     {"standing", NameOf(standing)},
                                     {"pace", health_->Slowdown(id)}});
    }
  }
  for (const auto& [id, standing] : last_) {
    if (current.count(id) == 0) {
      log_->Write("engine_sound", {{"endpoint", id.value},
                                   {"was", NameOf(standing)},
                                   {"pace", health_->Slowdown(id)}});
    }
  }
  last_ = std::move(current);
}

}  // namespace harecrank
