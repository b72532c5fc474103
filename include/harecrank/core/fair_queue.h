// Weighted fair queue of the requests that wait to start at one endpoint.

#ifndef HARECRANK_CORE_FAIR_QUEUE_H_
#define HARECRANK_CORE_FAIR_QUEUE_H_

#include <cstdint>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Scheduling class of a request by the length of its prompt.
enum class LengthClass { kShort, kLong };

// Returns "short" or "long".
const char* LengthClassName(LengthClass length);

// A request that waits to start.
struct QueuedRequest {
  // Unique within one queue.
  std::uint64_t key = 0;
  AccountId account;
  // Weight of the account relative to other accounts, at least 1. An account of
  // weight 2 gets twice the tokens of one of weight 1.
  int account_weight = 1;
  LengthClass length = LengthClass::kShort;
  // Prompt tokens plus answer tokens.
  Tokens cost;
  // Latest time at which the request may start. A request that has not started
  // by this time is reported as not run.
  TimePoint start_by;
};

// Decides in which order an endpoint starts its waiting requests, by start-time
// fair queueing (SFQ). A flow consists of the requests of one account in one
// length class.
//
// Each flow gets service in proportion to its weight, measured in tokens, so a
// burst from one account, or a long prompt, delays other flows only by its fair
// share. Not thread-safe; the owner serialises calls.
class FairQueue {
 public:
  // Holds at most `limit` requests. `long_weight_percent`, 1 to 100, is the
  // weight of long requests relative to short ones.
  FairQueue(std::size_t limit, int long_weight_percent);

  // Changes the weight of long requests that are added after this call.
  void SetLongWeightPercent(int percent);

  // Changes the maximum number of requests in the queue. If the queue already
  // holds more, they stay.
  void SetLimit(std::size_t limit) { limit_ = limit; }

  // Adds a request. Returns false and adds nothing if the queue is full.
  bool Push(const QueuedRequest& request);

  // Removes and returns the first request for which `fits` returns true, or
  // nothing if there is none.
  //
  // A request that does not fit may be bypassed kMaxBypasses times. A request
  // that has been bypassed so often blocks all requests behind it, so that a
  // stream of small requests cannot starve a large one.
  std::optional<QueuedRequest> PopFirst(
      const std::function<bool(const QueuedRequest&)>& fits);

  // Removes a request. Returns false if it is not in the queue.
  bool Remove(std::uint64_t key);

  // Removes and returns the requests whose latest start time has passed at
  // `now`.
  std::vector<QueuedRequest> DropOverdue(TimePoint now);

  std::size_t Size() const { return waiting_.size(); }
  // Returns the total cost of the waiting requests of one length class.
  Tokens Backlog(LengthClass length) const;

  // How many requests further back in the queue may start before a waiting
  // request that does not fit.
  static constexpr int kMaxBypasses = 16;

 private:
  // A waiting request and its position in the queue.
  struct Waiting {
    QueuedRequest request;
    // Virtual time, in tokens divided by weight, at which the request starts
    // under SFQ.
    double start_tag = 0;
    // How many requests further back in the queue have been returned before
    // this one.
    int bypasses = 0;
  };
  // Identifies a flow: the requests of one account in one length class.
  struct FlowKey {
    AccountId account;
    LengthClass length;
    bool operator<(const FlowKey& other) const;
  };

  void ResetIfIdle();

  std::size_t limit_;
  int long_weight_percent_;
  // Virtual time of SFQ: the largest start tag of any request that was returned
  // since the queue was last idle.
  double virtual_time_ = 0;
  // Ordered by start tag, then by arrival.
  std::list<Waiting> waiting_;
  // Virtual time at which the last request of each flow ends.
  std::map<FlowKey, double> finish_tags_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_FAIR_QUEUE_H_
