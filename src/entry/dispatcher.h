// Runs validated requests: checks rate limits, selects endpoints, and makes
// attempts and retries.

#ifndef HARECRANK_SRC_ENTRY_DISPATCHER_H_
#define HARECRANK_SRC_ENTRY_DISPATCHER_H_

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "harecrank/core/account_limiter.h"
#include "harecrank/core/rcu_cell.h"
#include "harecrank/core/recent_prefixes.h"
#include "harecrank/core/retry_budget.h"
#include "harecrank/core/router.h"
#include "src/entry/answer_sink.h"
#include "src/entry/attempt.h"
#include "src/entry/caller_request.h"
#include "src/entry/endpoint_table.h"
#include "src/entry/link_pool.h"
#include "src/node/node.h"

namespace harecrank {

// Result of a request that succeeded.
struct Answered {
  wire::Finished finished;
  // The endpoint that produced the answer, and the number of attempts that were
  // needed.
  EndpointId endpoint;
  int attempts = 1;
  // Number of engines over which the prompt was distributed.
  int members = 1;
};
using DispatchResult = std::variant<Answered, Refusal>;

// A ticket that permits one execution of a request that must not be repeated.
struct IssuedTicket {
  std::string ticket;
  Millis ttl;
};

// Dependencies of a Dispatcher. All pointers must outlive it.
struct DispatcherPorts {
  Node* node = nullptr;
  LinkPool* links = nullptr;
  MonotonicClock clock;
  RandomSource random;
};

// Runs callers' requests: checks the account's rate limit, selects an endpoint
// or a group of engines, and retries failed attempts. Each request runs on the
// calling thread. Thread-safe.
class Dispatcher {
 public:
  // `policy_name` must be a name that RoutingPolicyFromName accepts.
  Dispatcher(DispatcherPorts ports, std::string policy_name);

  // Builds the endpoint table for the active configuration if its revision has
  // changed. Requests in progress keep the previous table.
  void OnConfiguration();

  // Opens, reopens and closes links, so that there is one to each endpoint in
  // the endpoint table. Must be called periodically.
  void Maintain();

  // Returns the number of retries that the retry budget permits at present.
  std::int64_t RetriesLeft() const { return budget_.Left(); }

  // Returns the number of rate-limited accounts that have sent requests to this
  // host.
  std::size_t LimitedAccounts();

  // Runs `request` to completion, within its time limit.
  DispatchResult Run(const CallerRequest& request, AnswerSink* sink);

  // Obtains a ticket for a model or, if `service` is not empty, for a service.
  std::variant<IssuedTicket, Refusal> IssueTicket(const AccountId& account,
                                                  const ModelId& model,
                                                  const ServiceName& service);

  // Revokes an unused ticket. Returns kNotRun only if it is certain that its
  // request has not run and will not run.
  Outcome RevokeTicket(const AccountId& account, const std::string& ticket);

 private:
  // State of a request that is being dispatched.
  struct Context {
    const CallerRequest& request;
    std::shared_ptr<const Configuration> configuration;
    std::shared_ptr<const EndpointTable> table;
    TimePoint deadline;
    LengthClass length = LengthClass::kShort;
    // The model, the adapter and the beginning of the prompt, if a recent
    // request had the same ones; empty otherwise. Requests with equal prefixes
    // prefer the same endpoint, since its cache may contain the prefix.
    std::string warm_prefix{};
    std::set<EndpointId> tried_endpoints{};
  };

  std::optional<Refusal> CheckLimit(const Context& context);
  DispatchResult RunAttempts(Context* context, AnswerSink* sink);
  DispatchResult RunTicketed(Context* context, AnswerSink* sink);
  AttemptResult RunGroup(Context* context, std::size_t min_members,
                         AttemptPorts ports, AttemptEvidence* evidence,
                         Answered* answered);
  AttemptResult RunSingleAttempt(Context* context,
                                 const std::shared_ptr<Link>& link,
                                 AttemptPorts ports, AttemptEvidence* evidence);
  wire::Submit MakeSubmit(const Context& context,
                          const AnswerAssembler& assembler) const;
  // Returns the minimum number of engines over which to distribute the prompt,
  // or zero if a single engine serves the request.
  std::size_t GroupSize(const Context& context) const;
  // Records the prefix of the prompt in `prefixes_`. Sets `warm_prefix` if a
  // recent request had the same prefix.
  void RecordPrefix(Context* context);
  const std::vector<SubsetEndpoint>& Subset(const Context& context) const;
  // Returns the link to the endpoint that the routing policy selects, or null
  // if no endpoint is available. Endpoints of other data centres are considered
  // only if no local one is available.
  std::shared_ptr<Link> Choose(const Context& context);
  std::shared_ptr<Link> ChooseAmong(const Context& context, bool far);
  // Returns the link to an available endpoint. If there is none, waits for one
  // before the first attempt of a request. Returns null if the wait times out,
  // if none is available for a later attempt, or if the caller has
  // disconnected.
  std::shared_ptr<Link> WaitForLink(const Context& context, AnswerSink* sink);
  // Waits until the link to `endpoint` is usable, and returns it. Returns null
  // once `until` has passed.
  std::shared_ptr<Link> WaitUntilUsable(const EndpointId& endpoint,
                                        const std::string& address,
                                        TimePoint until);
  // Returns false if the host list marks the endpoint as leaving.
  bool IsAvailable(const EndpointId& endpoint) const;
  // Sends a ticket call to a sidecar and closes `stream`. Returns the response,
  // or nullopt if none arrived in time.
  std::optional<wire::TicketAnswer> CallTicketIssuer(
      const std::shared_ptr<Link>& link, StreamId stream, StreamInbox* inbox,
      const wire::Message& call_message);

  DispatcherPorts ports_;
  std::string policy_name_;
  RetryBudget budget_;
  RecentPrefixes prefixes_;
  std::mutex limiter_mutex_;
  AccountLimiter limiter_;
  std::mutex table_mutex_;
  RcuCell<EndpointTable> table_;
  Counter* rate_limited_;
  Counter* retries_;
  Counter* resumed_;
  Counter* groups_;
  Counter* segments_redone_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_ENTRY_DISPATCHER_H_
