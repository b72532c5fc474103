// Parameters by which requests are placed on engines, wait or are rejected.
//
// docs/DECISIONS.md describes the effect of each parameter. The parameters are
// settings that an operator can change, in order to try other values on a
// fleet.

#ifndef HARECRANK_CORE_PLACEMENT_POLICY_H_
#define HARECRANK_CORE_PLACEMENT_POLICY_H_

#include <cstddef>
#include <variant>

#include "harecrank/core/wait_queue.h"

namespace harecrank {

// Ways to choose the start and the engines of a long prompt at the planner.
//
// Starts a prompt when enough engines are free at the same moment.
struct WhenEnginesAreFree {};
// Plans each prompt ahead on a timetable of the engines, and reserves engine
// time for it (engine_timetable.h).
struct ReserveEnginesAhead {};
using LongPlacing = std::variant<WhenEnginesAreFree, ReserveEnginesAhead>;

// Parameters by which requests are placed, queued and rejected. The gap of a
// stream is the longest pause between two of its events that is within its
// target. The tightest gap is the shortest gap of any route to the service. A
// part is the part of a long prompt that one engine prefills.
struct PlacementPolicy {
  // A prompt is short if its prefill takes at most this share of the tightest
  // gap. It can then be prefilled between two events of any stream.
  double short_share_of_gap = 0.45;
  // Preferred prefill time of a part of a long prompt, as a share of the
  // tightest gap. Parts are longer if too few engines are available.
  double part_share_of_gap = 0.6;
  // Maximum total duration, prefill and decoding, of a forward pass that
  // includes prefill, as a share of the shortest gap of the streams on the
  // engine.
  double pause_share_of_gap = 0.85;
  // An engine can take a part of another long prompt while its prefill backlog
  // is at most this share of a preferred part. Engines prefill a new part
  // before older parts of prompts that other engines decode, so overlapping
  // parts delay those prompts by seconds.
  double open_share_of_part = 0.15;
  // If few engines are available, parts may be larger than preferred, so that
  // the prompt does not have to wait: up to this multiple of the preferred
  // part, or of the part that results from the maximum number of helpers. Of
  // this limit and the limits by latency target and time left, the largest
  // counts.
  double part_stretch = 2;
  // A part may be as long as this share of the request's latency target, if
  // that is more than the limit by `part_stretch`.
  double part_share_of_target = 0.25;
  // A request is urgent if less than `hurry_share` of its latency target is
  // left. A part of an urgent prompt may be as long as `time_share_used` of the
  // time left, if that is more than the other limits.
  double hurry_share = 0.65;
  double time_share_used = 0.8;
  // Long requests are packed onto few engines: a new one is preferably decoded
  // on the engine with the most long requests among those that have fewer than
  // this number.
  double packed_writers = 8;
  // Share of an engine's slots that short requests are assumed to fill.
  // Determines the number of engines that are reserved for them. A fuller batch
  // would decode more slowly and leave no slots for requests that other hosts
  // have placed and this host does not know yet.
  double short_share_of_slots = 0.8;
  // Number of engines that are reserved for short requests in addition to those
  // that the current short requests need.
  double spare_short = 1;
  // Target utilisation of the engines that are reserved for short requests: the
  // share of their time that prefill takes at the current arrival rate.
  double short_reading_share = 1;
  // Width of the random jitter that is added to predicted times, as a multiple
  // of the prefill time of the short requests that other hosts are expected to
  // have started since their last heartbeat.
  double unseen_factor = 1;
  // A short request is placed on an engine that is not reserved for short
  // requests only if its first event is then earlier by more than this share of
  // its latency target.
  double beyond_short_share = 0.8;
  // A short request is placed on an engine on which a part of a long prompt is
  // planned for later only if its first event is then earlier by more than this
  // share of its latency target.
  double later_part_share = 0.4;
  // If set, a short prompt waits at the planner while every engine would either
  // deliver its first event late, make another request late, or stall its
  // streams for too long. Without waiting, about 70% of a burst of short
  // prompts miss their target.
  bool short_waits = true;
  // Sort order in which the planner tries to place queued short prompts, and
  // queued long prompts.
  QueueOrder short_order = LeastSlackFirst{};
  QueueOrder long_order = LeastSlackFirst{};
  // How the planner chooses the start and the engines of a long prompt. Hosts
  // that place requests themselves always start it when engines are free.
  LongPlacing long_placing = WhenEnginesAreFree{};
  // A queued short prompt is rejected when its first event is late by more than
  // this share of its latency target.
  double late_wait_share = 1;
  // Delay after which the caller of a rejected short prompt should retry, as a
  // share of its latency target.
  double short_retry_after_share = 1;
  // A short prompt that cannot meet its target leaves capacity free for the
  // short prompts that are expected to arrive within this share of the latency
  // target. If it took all free capacity, those prompts would be late as well.
  double late_reserve_share = 1;
  // If set, the size of a part is also limited for prompts that are already
  // late. If a single engine prefilled a whole late prompt, it would block
  // other prompts for seconds.
  bool bound_late_parts = true;
  // A prompt that is larger than any engine's memory waits for several idle
  // engines for this multiple of its latency target. If it were rejected
  // sooner, its retry would meet the same engines, and a prompt that is
  // rejected twice is lost.
  double oversize_wait_share = 3;
  // If set, a long prompt that would have to wait is rejected at once if a
  // queued prompt with the same or a shorter prefill time can no longer meet
  // its target. Under overload, 8% of the longest prompts then wait until their
  // callers give up, instead of 15%.
  bool refuses_by_precedent = true;
  // Delay after which the caller of a rejected long prompt should retry, as a
  // share of its latency target.
  double retry_after_share = 1;
  // If set and the configuration has several accounts, queued requests of
  // accounts that have used more than their fair share of engine time are
  // placed last (account_shares.h).
  bool shares_by_account = false;
  // If set, a capacity forecast (capacity_forecast.h) decides whether a request
  // that finds no engine waits, is rejected, or is rejected with a time for its
  // retry. The forecast replaces `refuses_by_precedent` and the waiting times
  // that are fixed shares of the latency target.
  bool foresees_room = false;
  // Callers are assumed to time out if they receive no event for the longest of
  // three times: `patience_targets` latency targets, `patience_gaps` gaps, or
  // `patience_ms` milliseconds.
  double patience_targets = 4;
  double patience_gaps = 8;
  double patience_ms = 2000;
  // Upper limit of the delay after which a rejected caller should retry, as a
  // share of the time left until its deadline.
  double return_share = 0.33;
  // If set, engines have a standing by the prompts and the groups that they
  // have prefilled (engine_pace.h). Groups leave out engines that are slow,
  // fail often, or may be the cause of a slow group.
  bool group_pace = false;
  // In one run over a queue, the planner stops placing prompts after it has
  // found this number of prompts that must keep waiting. It tries the remaining
  // ones in the next run.
  std::size_t tried = 8;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLACEMENT_POLICY_H_
