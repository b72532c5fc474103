// One caller's request, from its arrival to its final response.

#ifndef HARECRANK_SRC_GATEWAY_EXCHANGE_H_
#define HARECRANK_SRC_GATEWAY_EXCHANGE_H_

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "harecrank/core/endpoint_response.h"
#include "harecrank/core/request_fingerprint.h"
#include "src/gateway/caller_session.h"
#include "src/gateway/exchange_log.h"
#include "src/gateway/gateway_response.h"
#include "src/gateway/gateway_services.h"
#include "src/gateway/placement_search.h"
#include "src/gateway/request_sender.h"
#include "src/gateway/response_relay.h"
#include "src/gateway/timer.h"

namespace harecrank {

// Minimum time before the deadline for a further attempt, or for a return. With
// less time left it could not produce a response.
inline constexpr Millis kMinTimeForAttempt{60};

// Admits one request, sends it to endpoints and decides after each attempt
// whether to retry. PlacementSearch chooses the endpoints, RequestSender runs
// the attempts, and ResponseRelay forwards the responses. Not thread-safe; runs
// on its io_context.
class Exchange : public RequestHandle,
                 public AttemptObserver,
                 public PlacementObserver,
                 public GuardedRequest,
                 public std::enable_shared_from_this<Exchange> {
 public:
  // `services` must outlive this.
  Exchange(const GatewayServices* services, CallerRequest request,
           TimePoint arrived, std::shared_ptr<ResponseSink> sink);

  // Admits the request and starts to place it, or rejects it at once.
  void Start();

  void OnCallerDisconnected() override;
  void OnCallerReadOn() override;
  void OnMemoryNeeded() override;
  void OnPlaced(const Placement& placement) override;
  void OnRejected(RejectionReason reason, Millis retry_after) override;
  void OnNoEndpoint() override;
  void OnForbidden() override;
  void OnReturnTime(std::optional<Millis> return_after) override;
  void OnWaiting() override;
  void OnSent() override;
  void OnResponseHead(const ResponseHead& head) override;
  void OnResponseBytes(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnFailure(const AttemptFailure& failure) override;
  // Returns the request's fingerprint, which is computed at the first call and
  // cached.
  const RequestFingerprint& Fingerprint() override;
  const std::vector<PromptPartId>& Parts() const override { return parts_; }
  void OnQuarantined() override;

 private:
  void TryNext();
  std::string HeadFor(const Placement& placement) const;
  SendingHistory History() const;
  // Returns the priority of the request, where zero is the most urgent: that of
  // its account, or of its route if the account has none.
  int Priority() const;
  void OnErrorAnswer();
  void OnFirstEvent();
  // Reports trouble of the engines that prefill the prompt, if there are
  // several.
  void OnGroupTrouble(const char* cause);

  // Handles the head of a response. Distinguishes rejections of requests that
  // have not run, unsigned responses, errors that are retried, event streams,
  // and all other responses.
  void HandleResponseHead(const EndpointResponse& response,
                          const ResponseHead& head);
  void OnNotRunResponse(const EndpointResponse& response);
  // Retries the request on another endpoint after an error response, or gives
  // it up if it cannot be retried and a stream to the caller has begun. Returns
  // false if it cannot be retried and no stream has begun; the error response
  // is then forwarded to the caller.
  bool RetryElsewhere(unsigned status);
  void OnNotSent(const AttemptNotSent& failure);
  void OnMalformed(HeadFault fault);
  // Reports the aborted attempt to the crash guard, which checks whether the
  // endpoint has crashed. A request that may be repeated is retried after this
  // check; any other is given up at once.
  void HandleBroken(const AttemptBroken& broken);
  // Sends the end of a response, or all of it, to the caller.
  void Complete();
  void CompleteStream();
  void CompleteBuffered();
  // Completes a response without Content-Length or chunked encoding whose
  // connection has ended, if the endpoint's process runs on. If it does not, or
  // this cannot be found out, the response was broken off. Until then the
  // request may have run.
  void ConfirmEnd();
  void OnEndConfirmed();
  nlohmann::json BrokenFields(const AttemptBroken& broken);
  // Ends the attempt because its endpoint sent bytes that are no piece of the
  // stream. The stream goes on elsewhere after the last piece, or is cut off.
  void OnGarbled(PieceFault fault);
  // Logs and counts an answer that is not passed on.
  void LogGarbled(const char* fault);
  // Ends a request that is quarantined because it crashes endpoints.
  void RejectQuarantined();
  // Ends a request that would be rejected again if its caller sent it again. It
  // is rejected without a Retry-After time, or given up if it may have run.
  void RejectForGood(const char* code);
  // Reports a complete response to the crash guard.
  void ReportCompletion();
  // Reports to the crash guard, once in each attempt, that the endpoint did not
  // crash on the request.
  void ReportSound();
  // Returns, for the log, why the current attempt was made.
  const char* AttemptKind() const;

  // Both functions handle a failed attempt by retrying the request or giving it
  // up. OnNotRun is called if no endpoint ran the request in this attempt,
  // OnMayHaveRun if one may have run it.
  void OnNotRun(const std::string& reason);
  void OnMayHaveRun(const std::string& reason);
  // Returns whether the request may be sent again. If so, takes a permit for a
  // repeat, unless the last one was not used.
  bool MayRetry(RepeatCause cause);
  bool TakeRepeat(RepeatCause cause);
  // Both end the permit, if there is one: the request was sent, or will not be
  // sent again.
  void OnRepeatSent();
  void WithdrawRepeat();
  void AbandonAttempt();

  // The functions from here to TimeLeft enforce the request's time limits with
  // a timer.
  void ArmTimer();
  void OnTimer();
  // Ends the wait for a placement if this host is about to stop, if all
  // endpoints have asked for a back-off, or if the wait limit of the request
  // has been reached. Returns whether the wait was ended.
  bool EndWaitIfDue(TimePoint now);
  // Cancels an attempt whose response is overdue and retries the request on
  // another endpoint. Returns whether the attempt was cancelled.
  bool RetryOverdue();
  std::optional<TimePoint> AttemptOverdueAt() const;
  Millis TimeLeft() const;

  // Functions that end the request: Reject and Respond send an error response
  // of the gateway, GiveUp chooses the response by whether the request may have
  // run, RejectNotRun finds the time to return of one that has not, and Finish
  // releases everything and logs the outcome.
  void Reject(unsigned status, const std::string& code,
              std::optional<Millis> retry_after);
  void Respond(const GatewayResponse& response);
  void GiveUp(const std::string& reason);
  void RejectNotRun(const std::string& reason);
  void Finish(const char* outcome, unsigned status, const std::string& reason);
  // Returns whether an endpoint may have run the request, in the current
  // attempt or an earlier one.
  bool MayHaveRun() const;

  const GatewayServices* services_;
  CallerRequest request_;
  TimePoint arrived_;
  std::shared_ptr<ResponseSink> sink_;
  Timer timer_;
  std::string id_;
  ExchangeLog log_;
  ResponseRelay relay_;
  std::optional<RequestFingerprint> fingerprint_;
  std::unique_ptr<CrashGuard::Registration> crash_guard_registration_;
  std::shared_ptr<const std::string> body_;
  std::shared_ptr<const RoutingTable> table_;
  const RouteRule* route_ = nullptr;
  const ServiceProfile* service_ = nullptr;
  const AccountEntry* account_ = nullptr;
  bool strip_key_ = false;
  TimePoint deadline_{};
  Tokens prompt_;
  std::vector<PromptPartId> parts_;
  // `search_` and `sender_` are set once the request has been admitted.
  std::shared_ptr<PlacementSearch> search_;
  std::optional<RequestSender> sender_;
  int connect_failures_ = 0;
  // Whether an endpoint may have run the request in an earlier attempt.
  bool may_have_run_ = false;
  CrashGuard::Trial trial_;
  // Whether the current attempt was reported as sound.
  bool sound_reported_ = false;
  // Whether the retry budget has denied the last retry, or an overdue attempt
  // could not be retried for any reason. While set, overdue attempts are not
  // retried.
  bool budget_exhausted_ = false;
  // Whether the head of the last response states where its body ends; see
  // ConfirmEnd.
  bool has_framed_end_ = false;
  // Whether a response has ended and ConfirmEnd has not found out yet whether
  // it is whole.
  bool is_confirming_ = false;
  // Error code of the rejection, while the planner is asked when the caller
  // should return.
  std::optional<std::string> rejection_code_;
  bool finished_ = false;
  // The permit for a repeat that was not sent yet, and since when it is held.
  std::optional<RepeatPermit> unsent_repeat_;
  TimePoint unsent_repeat_since_{};
  // Registration with the back-off notifier; set once the request has begun to
  // wait for a placement.
  std::optional<BackoffNotifier::Id> backoff_watch_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_EXCHANGE_H_
