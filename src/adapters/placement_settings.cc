#include "src/adapters/placement_settings.h"

namespace harecrank {
namespace {

// Visitor of QueueOrder: returns the name of the order in the settings.
struct OrderName {
  std::string operator()(LeastSlackFirst /*order*/) const {
    return "least_spare";
  }
  std::string operator()(MostSlackFirst /*order*/) const {
    return "most_spare";
  }
  std::string operator()(LeastWorkFirst /*order*/) const {
    return "least_work";
  }
};

// Visitor of LongPlacing: returns its name in the settings.
struct LongPlacingName {
  std::string operator()(WhenEnginesAreFree /*placing*/) const {
    return "when_free";
  }
  std::string operator()(ReserveEnginesAhead /*placing*/) const {
    return "reserve_ahead";
  }
};

// Reads the name of a queue order into `order`.
void ReadOrder(SettingsReader* reader, const char* key, QueueOrder* order) {
  reader->ReadChoice<QueueOrder>(
      key, {LeastSlackFirst{}, MostSlackFirst{}, LeastWorkFirst{}}, OrderName{},
      order);
}

// Upper limit of settings that are a share of an inter-token gap or of a
// latency target. With a larger share, no request would meet its target.
constexpr double kMaxShare = 4;
// Upper limit of settings that are a number of requests on one engine, a
// number of engines, or a factor.
constexpr int kMaxPerEngine = 64;
// Upper limit of patience_ms, in milliseconds.
constexpr double kMaxCallerTimeoutMs = 600000;

// Reads the parameters by which requests wait and are rejected.
void ReadWaiting(SettingsReader* reader, PlacementPolicy* policy) {
  reader->ReadNumber("late_wait_share", 0, kMaxPerEngine,
                     &policy->late_wait_share);
  reader->ReadNumber("short_retry_after_share", 0, kMaxPerEngine,
                     &policy->short_retry_after_share);
  reader->ReadNumber("late_reserve_share", 0, kMaxShare,
                     &policy->late_reserve_share);
  reader->ReadBool("bound_late_parts", &policy->bound_late_parts);
  reader->ReadInteger("tried", 1, kMaxPerEngine, &policy->tried);
  reader->ReadBool("refuses_by_precedent", &policy->refuses_by_precedent);
  reader->ReadBool("shares_by_account", &policy->shares_by_account);
  reader->ReadBool("group_pace", &policy->group_pace);
  reader->ReadNumber("retry_after_share", 0, kMaxShare,
                     &policy->retry_after_share);
  reader->ReadBool("foresees_room", &policy->foresees_room);
  reader->ReadNumber("patience_targets", 1, kMaxPerEngine,
                     &policy->patience_targets);
  reader->ReadNumber("patience_gaps", 0, kMaxPerEngine, &policy->patience_gaps);
  reader->ReadNumber("patience_ms", 0, kMaxCallerTimeoutMs,
                     &policy->patience_ms);
  reader->ReadNumber("return_share", 0, 1, &policy->return_share);
  reader->ReadNumber("oversize_wait_share", 0, kMaxShare,
                     &policy->oversize_wait_share);
}

}  // namespace

void ReadPlacementPolicy(SettingsReader* reader, PlacementPolicy* policy) {
  reader->ReadNumber("short_share_of_gap", 0, kMaxShare,
                     &policy->short_share_of_gap);
  reader->ReadNumber("part_share_of_gap", 0, kMaxShare,
                     &policy->part_share_of_gap);
  reader->ReadNumber("pause_share_of_gap", 0, kMaxShare,
                     &policy->pause_share_of_gap);
  reader->ReadNumber("open_share_of_part", 0, kMaxShare,
                     &policy->open_share_of_part);
  reader->ReadNumber("part_stretch", 1, kMaxPerEngine, &policy->part_stretch);
  reader->ReadNumber("part_share_of_target", 0, kMaxShare,
                     &policy->part_share_of_target);
  reader->ReadNumber("hurry_share", 0, 1, &policy->hurry_share);
  reader->ReadNumber("time_share_used", 0, 1, &policy->time_share_used);
  reader->ReadNumber("packed_writers", 1, kMaxPerEngine,
                     &policy->packed_writers);
  reader->ReadNumber("short_share_of_slots", 0, 1,
                     &policy->short_share_of_slots);
  reader->ReadNumber("spare_short", 0, kMaxPerEngine, &policy->spare_short);
  reader->ReadNumber("short_reading_share", 0.01, kMaxPerEngine,
                     &policy->short_reading_share);
  reader->ReadNumber("unseen_factor", 0, kMaxPerEngine, &policy->unseen_factor);
  reader->ReadNumber("beyond_short_share", 0, kMaxShare,
                     &policy->beyond_short_share);
  reader->ReadNumber("later_part_share", 0, kMaxShare,
                     &policy->later_part_share);
  reader->ReadBool("short_waits", &policy->short_waits);
  ReadOrder(reader, "short_order", &policy->short_order);
  ReadOrder(reader, "long_order", &policy->long_order);
  reader->ReadChoice<LongPlacing>("long_placing",
                                  {WhenEnginesAreFree{}, ReserveEnginesAhead{}},
                                  LongPlacingName{}, &policy->long_placing);
  ReadWaiting(reader, policy);
}

}  // namespace harecrank
