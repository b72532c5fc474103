// The figures and switches by which engines are chosen.
//
// docs/DECISIONS.md tells what each of them was measured to be worth. They are
// settings so that an operator can try another value on a fleet of their own.

#ifndef HARECRANK_CORE_PLACEMENT_POLICY_H_
#define HARECRANK_CORE_PLACEMENT_POLICY_H_

#include <cstddef>

#include "harecrank/core/wait_queue.h"

namespace harecrank {

// A gap is the longest pause between two events that still keeps a stream in
// time; the tightest gap is the shortest of any route to the service.
struct PlacementPolicy {
  // A prompt is short if an engine reads it in less than this share of the
  // tightest gap: then it may be read between two events of any stream.
  double short_share_of_gap = 0.45;
  // A part of a long prompt takes this share of the tightest gap where engines
  // suffice.
  double part_share_of_gap = 0.6;
  // With the pass that it is read in, a part that is laid beside short requests
  // may make them pause for this share of the tightest gap.
  double pause_share_of_gap = 0.85;
  // An engine is open for a further long prompt while what it has yet to read
  // takes at most this share of a wanted part. A part is read before older ones
  // of other engines' prompts, which parts that overlap hold up for seconds.
  double open_share_of_part = 0.15;
  // A part may grow by this factor where few engines are open, rather than
  // wait.
  double part_stretch = 2;
  // A part may take this share of the request's target.
  double part_share_of_target = 0.25;
  // A request hurries when less than this share of its target is left: then a
  // part may take `time_share_used` of what is left.
  double hurry_share = 0.65;
  double time_share_used = 0.8;
  // Streams of long prompts are packed up to this many on an engine.
  double packed_writers = 8;
  // The share of an engine's slots that short requests are packed into. A
  // fuller batch writes more slowly and leaves no room for what peers place
  // unseen.
  double short_share_of_slots = 0.8;
  // Engines kept for short requests beyond those that their count needs.
  double spare_short = 1;
  // An engine kept for short requests reads for this share of its time, at the
  // rate at which they arrive just now.
  double short_reading_share = 1;
  // How widely predicted times are spread, in multiples of what peers have
  // begun to read for short requests since they last told.
  double unseen_factor = 1;
  // A short request goes to another engine where that saves more than this
  // share of its target.
  double beyond_short_share = 0.8;
  // A short prompt waits at the planner while no engine can bring it in time
  // without making another one late or its streams pause for too long. Without
  // that all of a wave are late together: of 68 that came in half a second 49
  // were, on a recorded day.
  bool short_waits = true;
  // In which order short and long prompts that wait are tried.
  QueueOrder short_order = LeastSlackFirst{};
  QueueOrder long_order = LeastSlackFirst{};
  // A short prompt that cannot be in time any more waits until it is late by
  // this share of its target, and is refused then.
  double late_wait_share = 1;
  // Its caller may come back after this share of its target.
  double short_retry_after_share = 1;
  // Late short prompts leave room for those that arrive within this share of a
  // target: served as soon as there is room, they would make those late.
  double late_reserve_share = 1;
  // A prompt that is late already is cut into parts like others. Read whole by
  // one engine, it holds the others up for seconds.
  bool bound_late_parts = true;
  // A prompt that no engine holds waits for several to be idle for this part of
  // its target. Told to come again sooner, it meets the same engines, and those
  // that are told twice are lost.
  double oversize_wait_share = 3;
  // A prompt that has to wait is refused at once where another that takes no
  // longer to read can no longer be in time. Of 100 of the longest prompts on
  // loaded days, those held until their caller left fell from 15 to 8.
  bool refuses_by_precedent = true;
  // Such a caller may come back after this share of its target.
  double retry_after_share = 1;
  // Where the configuration has several accounts, those that wait and have had
  // their share of engine time go after the others (account_shares.h).
  bool shares_by_account = false;
  // Who finds no engine waits, is refused or is told when to return by when
  // room is foreseen (capacity_forecast.h), in place of precedent and of fixed
  // shares of a target.
  bool foresees_room = false;
  // Callers of streams that hear nothing for the longest of these leave: so
  // many targets, so many gaps, and a time in milliseconds.
  double patience_targets = 4;
  double patience_gaps = 8;
  double patience_ms = 2000;
  // A caller that is told to return does so within this share of the time that
  // it has left, however late it is told to.
  double return_share = 0.33;
  // Of the prompts that wait in a host, so many are tried at a time.
  std::size_t tried = 8;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLACEMENT_POLICY_H_
