// Detects requests that crash endpoints and prevents them from being sent
// again, in cooperation with the other hosts.
//
// An aborted response does not prove a crash: a network link may have failed,
// or an overloaded endpoint may have reset the connection. Therefore the
// endpoint's address is probed first, and a crash is counted against the
// requests that the endpoint was starting, and the parts of their prompts, only
// if the connection is refused.

#ifndef HARECRANK_SRC_GATEWAY_CRASH_GUARD_H_
#define HARECRANK_SRC_GATEWAY_CRASH_GUARD_H_

#include <deque>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <set>
#include <vector>

#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/part_quarantine.h"
#include "harecrank/core/prompt_parts.h"
#include "harecrank/core/request_quarantine.h"
#include "src/adapters/event_log.h"
#include "src/adapters/metrics.h"
#include "src/gateway/endpoint_identifier.h"
#include "src/gateway/endpoint_prober.h"

namespace harecrank {

// Interface of a request in progress on this host, which CrashGuard notifies if
// the request is quarantined.
class GuardedRequest {
 public:
  GuardedRequest() = default;
  GuardedRequest(const GuardedRequest&) = delete;
  GuardedRequest& operator=(const GuardedRequest&) = delete;
  virtual ~GuardedRequest() = default;

  virtual const RequestFingerprint& Fingerprint() = 0;
  // The shared parts of the request's prompt.
  virtual const std::vector<PromptPartId>& Parts() const = 0;
  // Called when the request has been quarantined.
  virtual void OnQuarantined() = 0;
};

// Counts endpoint crashes against the requests that were being started, decides
// whether a request may be sent, and exchanges the counts with the other hosts.
// Not thread-safe; runs on its io_context.
class CrashGuard {
 public:
  // Sends the other hosts this host's crash report on `request`, and evidence
  // on parts.
  struct Share {
    std::function<void(const RequestFingerprint& request)> record;
    std::function<void(PartEvidence evidence)> parts;
  };
  // Returns whether a back-off that `endpoint` has asked of this host has not
  // ended yet.
  using IsBackingOff = std::function<bool(const EndpointId& endpoint)>;

  // All pointers must outlive this.
  CrashGuard(RequestQuarantine* quarantine, PartQuarantine* parts,
             EndpointProber* prober, EndpointIdentifier* identifier,
             const EndpointDirectory* directory, IsBackingOff is_backing_off,
             Share share, EventLog* log, Metrics* metrics);

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

  // What an attempt tries out.
  struct Trial {
    bool of_request = false;
    // Of the held part of its prompt.
    bool of_part = false;
    bool IsAny() const { return of_request || of_part; }
  };

  // Returns whether `request` must not be sent to any endpoint now. Computes
  // the request's fingerprint only if crashes are recorded for any request.
  bool IsQuarantined(GuardedRequest* request) const;

  // To be called right before `request` is sent. Returns whether it may be
  // sent. A quarantined request is admitted from time to time as a trial, never
  // together with the trial of another request, and a request with a held part
  // as a trial of the part; `trial` is set to what this attempt tries out.
  bool TryAdmit(GuardedRequest* request, Trial* trial);
  // Records that the request was sent to its endpoint, as `trial`.
  void OnSent(GuardedRequest* request, const Trial& trial);
  // Cancels the trial of a request that was not sent.
  void OnNotSent(GuardedRequest* request, const Trial& trial);

  // What may have crashed an endpoint.
  struct Suspect {
    RequestFingerprint request;
    std::vector<PromptPartId> parts;
  };

  // Handles the abort of a response of `endpoint` to `suspect`. Probes the
  // endpoint's address and then calls `on_probed` with the result, never from
  // within this call. If the probe shows that the endpoint's process has ended
  // and the endpoint was starting the request (`was_starting`), the crash is
  // counted against the parts of its prompt and, unless one of the other
  // prompts explains it, against the request, before `on_probed` is called. An
  // endpoint that is in a drained data centre, has announced its shutdown, or
  // has asked for back-off is not probed, and no crash is counted.
  void OnResponseAborted(const Suspect& suspect, const EndpointRecord& endpoint,
                         bool was_starting,
                         std::function<void(ProbeResult result)> on_probed);

  // How to ask an endpoint whether it runs on; see EndpointIdentifier.
  struct IdentityCheck {
    std::string health_path;
    Millis patience{0};
  };

  // Like OnResponseAborted, for a response that ended with its connection and
  // has no other end: it is whole only if the endpoint's process runs on, that
  // is, if the result is kSame. Also an endpoint that has announced its
  // shutdown or asked for back-off is asked, without a crash being counted; one
  // in a drained data centre is not.
  void ConfirmEnd(const Suspect& suspect, const EndpointRecord& endpoint,
                  bool was_starting, IdentityCheck check,
                  std::function<void(ProbeResult result)> on_probed);

  // Records that an endpoint has answered the request completely.
  void OnCompleted(GuardedRequest* request);

  // Records that an endpoint began an answer to the request at `began` and did
  // not crash on it.
  void OnSound(const GuardedRequest& request, TimePoint began);

  // Returns, for the log, what is known of the shared parts of the request's
  // prompt.
  nlohmann::json DescribeParts(const GuardedRequest& request,
                               TimePoint now) const;

  // Merges the crash reports of another host. Returns the updated reports on
  // those requests for which `reports` contained new data, to be passed on to
  // other hosts. Adds to `missing` this host's reports that contain data which
  // the sender lacks.
  std::vector<CrashReport> OnReports(const std::vector<CrashReport>& reports,
                                     std::vector<CrashReport>* missing);

  // The same for the evidence on parts: returns what was new.
  PartEvidence OnPartEvidence(const PartEvidence& evidence,
                              PartEvidence* missing);

 private:
  struct RecentCrash {
    EndpointCrash crash;
    Suspect suspect;
  };

  void OnCrash(const Suspect& suspect, const EndpointRecord& endpoint);
  // Does what the hold of a part entails: ends its requests in progress, and
  // clears the requests that were only beside it.
  void OnPartsHeld();
  void EndRequestsWith(PromptPartId part);
  void ClearExplainedRequests();
  // If `request` is quarantined now, notifies all requests in progress with
  // this fingerprint.
  void NotifyQuarantined(const RequestFingerprint& request);

  RequestQuarantine* quarantine_;
  PartQuarantine* parts_;
  EndpointProber* prober_;
  EndpointIdentifier* identifier_;
  // Returns whether a probe of `endpoint` is allowed.
  bool MayProbe(const EndpointRecord& endpoint) const;

  const EndpointDirectory* directory_;
  IsBackingOff is_backing_off_;
  Share share_;
  EventLog* log_;
  Metrics* metrics_;
  std::shared_ptr<RequestSet> requests_ = std::make_shared<RequestSet>();
  // The last crashes that were counted against requests, at most
  // kMaxRecentCrashes.
  std::deque<RecentCrash> recent_crashes_;
};

}  // namespace harecrank

#endif  // HARECRANK_SRC_GATEWAY_CRASH_GUARD_H_
