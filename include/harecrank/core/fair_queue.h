// The order in which waiting requests start at one endpoint.

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

// How long a request's prompt is, as far as scheduling cares.
enum class LengthClass { kShort, kLong };

// Returns "short" or "long".
const char* LengthClassName(LengthClass length);

// A request that waits for its start.
struct QueuedRequest {
  // Unique among the requests of one queue.
  std::uint64_t key = 0;
  AccountId account;
  // The account's share relative to other accounts. At least 1.
  int account_weight = 1;
  LengthClass length = LengthClass::kShort;
  // The work it brings: prompt tokens plus answer tokens.
  Tokens cost;
  // When it must have started, or it is answered as not run.
  TimePoint start_by;
};

// Start-time fair queueing over flows of one account and one length class.
//
// Each flow gets service in proportion to its weight, measured in tokens, so a
// flood from one account, or a long prompt, delays others by its share only.
// Not thread-safe; its owner serialises calls.
class FairQueue {
 public:
  // Holds at most `limit` requests. `long_weight_percent`, 1 to 100, is the
  // weight of long requests relative to short ones.
  FairQueue(std::size_t limit, int long_weight_percent);

  // Changes the weight of long requests that are added from now on.
  void SetLongWeightPercent(int percent);

  // Changes how many requests may wait. Those that wait already stay.
  void SetLimit(std::size_t limit) { limit_ = limit; }

  // Adds a request. Returns false, and adds nothing, if the queue is full.
  bool Push(const QueuedRequest& request);

  // Removes and returns the next request that `fits`, or nothing.
  //
  // A request that does not fit may be passed kMaxBypasses times; then nothing
  // behind it starts before it does, so that a stream of small requests cannot
  // starve a large one.
  std::optional<QueuedRequest> PopFirst(
      const std::function<bool(const QueuedRequest&)>& fits);

  // Removes a request. Returns whether it was still waiting.
  bool Remove(std::uint64_t key);

  // Removes and returns the requests whose start is overdue at `now`.
  std::vector<QueuedRequest> DropOverdue(TimePoint now);

  std::size_t Size() const { return waiting_.size(); }
  // Returns the work that waits in one class.
  Tokens Backlog(LengthClass length) const;

  static constexpr int kMaxBypasses = 16;

 private:
  struct Waiting {
    QueuedRequest request;
    double start_tag = 0;
    int passed = 0;
  };
  struct FlowKey {
    AccountId account;
    LengthClass length;
    bool operator<(const FlowKey& other) const;
  };

  void ForgetIdleFlows();

  std::size_t limit_;
  int long_weight_percent_;
  double virtual_time_ = 0;
  // Ordered by start tag; equal tags keep their order of arrival.
  std::list<Waiting> waiting_;
  std::map<FlowKey, double> finish_tags_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_FAIR_QUEUE_H_
