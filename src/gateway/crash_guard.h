// Keeps requests that crash endpoints away from them, together with the other
// hosts.
//
// An aborted response does not prove a crash: a network link may have failed,
// or an overloaded endpoint may have reset the connection. Therefore the
// endpoint's address is probed first, and a crash is counted against the
// requests that the endpoint was starting only if the connection is refused.

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

// A request in progress on this host.
class GuardedRequest {
 public:
  GuardedRequest() = default;
  GuardedRequest(const GuardedRequest&) = delete;
  GuardedRequest& operator=(const GuardedRequest&) = delete;
  virtual ~GuardedRequest() = default;

  virtual const RequestFingerprint& Fingerprint() = 0;
  // Called when the request has been quarantined.
  virtual void OnQuarantined() = 0;
};

// Not thread-safe; runs on its io_context.
class CrashGuard {
 public:
  // Sends the other hosts what is known of `request`.
  using ShareRecord = std::function<void(const RequestFingerprint& request)>;
  // Returns whether an endpoint has asked this host to back off.
  using IsBackingOff = std::function<bool(const EndpointId& endpoint)>;

  // All pointers must outlive this.
  CrashGuard(RequestQuarantine* quarantine, EndpointProber* prober,
             const EndpointDirectory* directory, IsBackingOff is_backing_off,
             ShareRecord share_record, EventLog* log, Metrics* metrics);

  // The requests in progress. Requests that are aborted when the host stops
  // outlive the CrashGuard, hence the shared ownership.
  using RequestSet = std::set<GuardedRequest*>;

  // Registers `request` for the lifetime of this object.
  class Registration {
   public:
    Registration(const std::shared_ptr<RequestSet>& requests,
                 GuardedRequest* request);
    ~Registration();
    Registration(const Registration&) = delete;
    Registration& operator=(const Registration&) = delete;

   private:
    std::weak_ptr<RequestSet> requests_;
    GuardedRequest* request_;
  };

  // Registers `request` until the returned object is destroyed.
  std::unique_ptr<Registration> Watch(GuardedRequest* request) const {
    return std::make_unique<Registration>(requests_, request);
  }

  // Returns whether `request` must not be sent to any endpoint now. Computes
  // its fingerprint only if any request is suspect.
  bool IsQuarantined(GuardedRequest* request) const;

  // To be called right before `request` is sent. Returns whether it may be
  // sent. A request that was quarantined is admitted alone, as a trial;
  // `is_trial` is set accordingly.
  bool TryAdmit(GuardedRequest* request, bool* is_trial);
  // Records whether a trial has reached its endpoint.
  void OnTrialSent(const RequestFingerprint& request);
  void OnTrialNotSent(const RequestFingerprint& request);

  // Handles a response of `endpoint` to `request` that was aborted. Probes the
  // endpoint's address and then calls `on_probed` with the result, never from
  // within this call. If the endpoint has ended and was starting the request
  // (`was_starting`), the crash is counted against the request first. An
  // endpoint that is in a drained data centre, has announced its leave, or has
  // asked for back-off is not probed, and no crash is counted.
  void OnResponseAborted(const RequestFingerprint& request,
                         const EndpointRecord& endpoint, bool was_starting,
                         std::function<void(ProbeResult result)> on_probed);

  // Records that an endpoint has answered the request completely.
  void OnCompleted(GuardedRequest* request);

  // Merges the reports of another host. Returns the merged reports that were
  // new, to be passed on, and adds to `missing` the reports that the sender
  // lacks.
  std::vector<CrashReport> OnReports(const std::vector<CrashReport>& reports,
                                     std::vector<CrashReport>* missing);

 private:
  void OnCrash(const RequestFingerprint& request,
               const EndpointRecord& endpoint);
  // Notifies the requests in progress that are quarantined now.
  void NotifyQuarantined(const RequestFingerprint& request);

  RequestQuarantine* quarantine_;
  EndpointProber* prober_;
  // Returns whether `endpoint` may be probed for whether it has ended.
  bool MayProbe(const EndpointRecord& endpoint) const;

  const EndpointDirectory* directory_;
  IsBackingOff is_backing_off_;
  ShareRecord share_record_;
  EventLog* log_;
  Metrics* metrics_;
  std::shared_ptr<RequestSet> requests_ = std::make_shared<RequestSet>();
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_CRASH_GUARD_H_
