// One caller's request, from its arrival to its final answer.

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

// Decides what follows each attempt. Places are the seeker's matter, bytes the
// relay's. Not thread-safe; runs on its io_context.
class Exchange : public RequestHandle,
                 public AttemptObserver,
                 public PlacementObserver,
                 public GuardedRequest,
                 public std::enable_shared_from_this<Exchange> {
 public:
  // `services` must outlive this.
  Exchange(const GatewayServices* services, CallerRequest request,
           TimePoint arrived, std::shared_ptr<ResponseSink> response);

  // Admits the request and sends it, or answers it at once.
  void Start();

  void OnCallerDisconnected() override;
  void OnPlaced(const Placement& placement) override;
  void OnRejected(RejectionReason reason, Millis retry_after) override;
  void OnNoEndpoint() override;
  void OnWaiting() override;
  void OnSent() override;
  void OnResponseHead(const ResponseHead& head) override;
  void OnResponseBytes(std::string_view bytes) override;
  void OnResponseEnd() override;
  void OnFailure(const AttemptFailure& failure) override;
  // Taken when it is first wanted, and kept.
  const RequestFingerprint& Fingerprint() override;
  void OnQuarantined() override;

 private:
  void TryNext();
  std::string HeadFor(const Placement& placement) const;
  SendingHistory History() const;
  // Returns the account's priority, or else the route's. Zero goes first.
  int Priority() const;
  void OnErrorAnswer();
  void OnFirstEvent();

  // What is made of an answer's head: the first that applies is done.
  void HandleResponseHead(const EndpointResponse& response,
                          const ResponseHead& head);
  void OnNotRunResponse(const EndpointResponse& response);
  // Returns whether another endpoint is asked instead.
  bool RetryElsewhere(unsigned status);
  void OnNotSent(const AttemptNotSent& failure);
  // Finds out whether the endpoint has ended, and goes on from there.
  void HandleBroken(const AttemptBroken& broken);
  nlohmann::json BrokenFields(const AttemptBroken& broken);
  // It ends endpoints, and is sent to no other.
  void RejectQuarantined();
  // The answer has ended. It ended whole only if its head said where it ends:
  // an endpoint that crashes ends its connection, too.
  void ReportCompletion();

  // What follows an attempt.
  void OnNotRun(const std::string& reason);
  void OnMayHaveRun(const std::string& reason);
  bool MayRetry();
  void AbandonAttempt();

  // Time.
  void ArmTimer();
  void OnTimer();
  // Returns whether the request waited and cannot any longer.
  bool EndWaitIfDue(TimePoint now);
  // Sends an overdue request elsewhere. Returns whether it did.
  bool RetryOverdue();
  std::optional<TimePoint> AttemptOverdueAt() const;
  Millis TimeLeft() const;

  // Answers.
  void Reject(unsigned status, const std::string& code,
              std::optional<Millis> retry_after);
  void Respond(const GatewayResponse& response);
  void GiveUp(const std::string& reason);
  void Finish(const char* outcome, unsigned status, const std::string& reason);

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
  // Both are set once the request has been admitted.
  std::shared_ptr<PlacementSearch> search_;
  std::optional<RequestSender> sender_;
  int connect_failures_ = 0;
  bool may_have_run_ = false;
  // It was held, and is let through this once.
  bool is_trial_ = false;
  bool budget_exhausted_ = false;
  bool has_framed_end_ = false;
  bool finished_ = false;
  // While it has waited for a place.
  std::optional<BackoffNotifier::Id> backoff_watch_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_EXCHANGE_H_
