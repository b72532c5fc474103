// Keeps requests that end endpoints away from them, with the other hosts.
//
// An answer that breaks off says little: a link may have been cut, an endpoint
// that is full resets connections. So the endpoint's address is asked first
// whether anybody listens; only where nobody does is the end counted against
// the requests that the endpoint was beginning.

#ifndef HARECRANK_SRC_GATEWAY_CRASH_GUARD_H_
#define HARECRANK_SRC_GATEWAY_CRASH_GUARD_H_

#include <functional>
#include <memory>
#include <set>
#include <vector>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/request_quarantine.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/endpoint_prober.h"

namespace harecrank {

// A request that is under way at this host.
class GuardedRequest {
 public:
  GuardedRequest() = default;
  GuardedRequest(const GuardedRequest&) = delete;
  GuardedRequest& operator=(const GuardedRequest&) = delete;
  virtual ~GuardedRequest() = default;

  virtual const RequestFingerprint& Fingerprint() = 0;
  // It is held from now on.
  virtual void OnQuarantined() = 0;
};

// Not thread-safe; runs on its io_context.
class CrashGuard {
 public:
  // Tells the other hosts what is known of `request`.
  using Tell = std::function<void(const RequestFingerprint& request)>;
  // Returns whether an endpoint has asked this host for rest.
  using IsResting = std::function<bool(const EndpointId& endpoint)>;

  // All pointers must outlive this.
  CrashGuard(RequestQuarantine* quarantine, EndpointProber* prober,
             const EndpointDirectory* directory, IsResting is_resting,
             Tell tell, EventLog* log, Metrics* metrics);

  // The requests under way. Those that a host cuts when it stops outlive it.
  using Watched = std::set<GuardedRequest*>;

  // Watches `request` for as long as this lives.
  class Registration {
   public:
    Registration(const std::shared_ptr<Watched>& watched,
                 GuardedRequest* request);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    std::weak_ptr<Watched> watched_;
    GuardedRequest* request_;
  };

  // Returns what stands for `request` until it ends.
  std::unique_ptr<Registration> Watch(GuardedRequest* request) const {
    return std::make_unique<Registration>(watched_, request);
  }

  // Returns whether `request` may be sent nowhere now. Takes its fingerprint
  // only if any request is suspect.
  bool IsQuarantined(GuardedRequest* request) const;

  // Likewise, right before it is sent. A request that was held is let through
  // alone: `is_trial` is set if this is such a trial.
  bool TryAdmit(GuardedRequest* request, bool* is_trial);
  // The trial has reached its endpoint, or has not.
  void OnTrialSent(const RequestFingerprint& request);
  void OnTrialNotSent(const RequestFingerprint& request);

  // `endpoint` broke off its answer to `request`. Calls `on_judged`, never from
  // within, when its address has told whether it has ended. Where it has and
  // `was_beginning`, its end is counted against the request before that. An
  // endpoint of a closed data centre is not asked, and its end counts for
  // nothing.
  void OnResponseAborted(const RequestFingerprint& request,
                         const EndpointRecord& endpoint, bool was_beginning,
                         std::function<void(ProbeResult result)> on_judged);

  // An endpoint has answered it whole.
  void OnCompleted(GuardedRequest* request);

  // Takes what another host told. Returns what was news, to be passed on, and
  // fills `missing` with what that host does not know.
  std::vector<CrashReport> OnReports(const std::vector<CrashReport>& reports,
                                     std::vector<CrashReport>* missing);

 private:
  void OnCrash(const RequestFingerprint& request,
               const EndpointRecord& endpoint);
  // Ends the requests under way that are held now.
  void EndHeld(const RequestFingerprint& request);

  RequestQuarantine* quarantine_;
  EndpointProber* prober_;
  // Whether a connection may be opened to find out if `endpoint` has ended.
  bool MayProbe(const EndpointRecord& endpoint) const;

  const EndpointDirectory* directory_;
  IsResting is_resting_;
  Tell tell_;
  EventLog* log_;
  Metrics* metrics_;
  std::shared_ptr<Watched> watched_ = std::make_shared<Watched>();
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_CRASH_GUARD_H_
