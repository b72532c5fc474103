// Parameters of engine selection.
//
// docs/DECISIONS.md gives the effect of each. They are settings, so that an
// operator can try other values on a fleet.

#ifndef HARECRANK_CORE_PLACEMENT_POLICY_H_
#define HARECRANK_CORE_PLACEMENT_POLICY_H_

#include <cstddef>

#include "harecrank/core/wait_queue.h"

namespace harecrank {

// The gap of a stream is the longest pause between two events that is within
// its target. The tightest gap is the shortest gap of any route to the service.
struct PlacementPolicy {
  // A prompt is short if its prefill takes at most this share of the tightest
  // gap. It can then be prefilled between two events of any stream.
  double short_share_of_gap = 0.45;
  // Preferred prefill time of a part of a long prompt, as a share of the
  // tightest gap. Parts get longer if too few engines are available.
  double part_share_of_gap = 0.6;
  // A pass that prefills may take this share of the shortest gap of the
  // engine's streams, its decoding included.
  double pause_share_of_gap = 0.85;
  // An engine can take a part of another long prompt while its prefill backlog
  // is at most this share of a preferred part. Engines prefill a new part
  // before older parts of prompts that other engines decode, so overlapping
  // parts delay those prompts by seconds.
  double open_share_of_part = 0.15;
  // If few engines are available, a part may exceed its preferred size by this
  // factor instead of waiting.
  double part_stretch = 2;
  // A part may also take this share of the request's latency target.
  double part_share_of_target = 0.25;
  // A request is urgent if less than `hurry_share` of its latency target is
  // left. Its parts may then take `time_share_used` of the time left.
  double hurry_share = 0.65;
  double time_share_used = 0.8;
  // Up to this many long streams are packed onto one engine.
  double packed_writers = 8;
  // Share of an engine's slots that is filled with short requests. A fuller
  // batch decodes more slowly and leaves no slots for the placements of other
  // hosts that this host does not know yet.
  double short_share_of_slots = 0.8;
  // Engines reserved for short requests in addition to those that the current
  // number of requests needs.
  double spare_short = 1;
  // Target utilisation, by prefill at the current arrival rate, of the engines
  // that are reserved for short requests.
  double short_reading_share = 1;
  // Width of the jitter on predicted times, as a multiple of the prefill work
  // that other hosts are expected to have started for short requests since
  // their last heartbeat.
  double unseen_factor = 1;
  // A short request leaves the reserved engines only if that saves more than
  // this share of its latency target.
  double beyond_short_share = 0.8;
  // If set, a short prompt waits at the planner while every engine would either
  // deliver its first event late, make another request late, or stall its
  // streams for too long. Without waiting, about 70% of a burst of short
  // prompts miss their target.
  bool short_waits = true;
  // Order in which queued short and long prompts are tried.
  QueueOrder short_order = LeastSlackFirst{};
  QueueOrder long_order = LeastSlackFirst{};
  // A short prompt that can no longer meet its target waits until it is late by
  // this share of the target, and is then rejected.
  double late_wait_share = 1;
  // Retry delay for a rejected short prompt, as a share of its latency target.
  double short_retry_after_share = 1;
  // A short prompt that is already late leaves capacity for the short prompts
  // expected to arrive within this share of the latency target. Taking all free
  // capacity would make those late too.
  double late_reserve_share = 1;
  // If set, the size of a part is limited even if the prompt is already late. A
  // late prompt that is prefilled by one engine as a whole blocks other prompts
  // for seconds.
  bool bound_late_parts = true;
  // A prompt that is larger than any engine's memory waits for several idle
  // engines for this share of its latency target. If it were rejected sooner,
  // its retry would meet the same engines, and a prompt that is rejected twice
  // is lost.
  double oversize_wait_share = 3;
  // If set, a long prompt that would have to wait is rejected at once if a
  // queued prompt that needs no more prefill time can no longer meet its
  // target. Under overload this reduces the share of the longest prompts that
  // wait until their callers leave from 15% to 8%.
  bool refuses_by_precedent = true;
  // Retry delay for a rejected long prompt, as a share of its latency target.
  double retry_after_share = 1;
  // If set and the configuration has several accounts, queued requests of
  // accounts that are over their fair share of engine time go last
  // (account_shares.h).
  bool shares_by_account = false;
  // If set, a capacity forecast (capacity_forecast.h) decides whether a request
  // that finds no engine waits, is rejected, or is given a time for its retry.
  // It replaces `refuses_by_precedent` and the fixed shares of a target.
  bool foresees_room = false;
  // Callers of a stream time out if they receive no event for the longest of:
  // this many latency targets, this many gaps, this many milliseconds.
  double patience_targets = 4;
  double patience_gaps = 8;
  double patience_ms = 2000;
  // Upper limit of the retry delay of a rejected caller, as a share of the time
  // left until its deadline.
  double return_share = 0.33;
  // Number of queued prompts that may fail to start before the rest of the
  // queue is skipped for the current run.
  std::size_t tried = 8;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_PLACEMENT_POLICY_H_
