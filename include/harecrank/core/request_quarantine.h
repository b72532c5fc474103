// Quarantines requests that crash the endpoints that start them.
//
// A caller may resend a request that crashes an endpoint, to any host and under
// new ids. Each attempt takes down another endpoint with everything that runs
// there; one such request per second can keep a fleet of 18 engines out of
// service for as long as it is sent.
//
// A crash interrupts dozens of requests, of which only one is the cause. A
// request that any endpoint has answered completely is not the cause of a
// crash, so all crashes counted against it are cleared. A quarantined request
// is retried alone, in a trial, once the endpoints of an outage are in service
// again. Therefore, even if many endpoints crash at once, a request that half
// of all callers send is not locked out. Trials of different requests run one
// after the other, because a harmless request would fail its trial too if it
// ran on the same endpoint as the request that causes the crashes.
//
// State is merged between hosts by set union and by maximum time, so lost,
// duplicate or delayed messages do not count a crash twice. Nothing is
// persisted: after a restart of the whole fleet, counting starts again.

#ifndef HARECRANK_CORE_REQUEST_QUARANTINE_H_
#define HARECRANK_CORE_REQUEST_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/endpoint_crash.h"
#include "harecrank/core/request_fingerprint.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The crashes and trials of one request, as one host reports them to another.
// Times are sent as ages because hosts do not share a clock.
struct CrashReport {
  RequestFingerprint request;
  // Endpoints that crashed while they were starting the request.
  std::set<EndpointCrash> crashes;
  // Crashes that no longer count because the request was answered completely.
  std::set<EndpointCrash> cleared;
  // The number of trials of the request while quarantined, and how many of them
  // crashed an endpoint.
  int trials = 0;
  int failed_trials = 0;
  // Time since the last crash.
  Millis age{0};
  // Time until the next trial is allowed; zero or negative if it is allowed
  // now.
  Millis quarantined_for{0};
};

// Decides which requests this host may send to endpoints, from the endpoint
// crashes that were counted against each request. Not thread-safe.
class RequestQuarantine {
 public:
  explicit RequestQuarantine(MonotonicClock clock);

  // Counts the crash of an endpoint that was starting `request`. Returns
  // whether the crash was not known before.
  bool OnCrash(const RequestFingerprint& request, const EndpointCrash& crash);

  // Notes that `crash` had another cause than `request`, which must not be
  // counted for it. Returns whether it was.
  bool OnExplained(const RequestFingerprint& request,
                   const EndpointCrash& crash);

  // Notes that an endpoint answered `request` completely, and clears the
  // crashes that were counted against the request. Returns whether there were
  // any.
  bool OnCompleted(const RequestFingerprint& request);

  // Returns whether `request` must not be sent to any endpoint now.
  bool IsQuarantined(const RequestFingerprint& request) const;

  // Must be called before each attempt. Returns false if the request is
  // quarantined. If a request with at least kCrashThreshold crashes is
  // admitted, the attempt is a trial: it starts a new trial interval for this
  // request, and trials of other requests wait for kTrialSpacing. Sets
  // `is_trial`, if not null, to whether the attempt is a trial.
  bool TryAdmit(const RequestFingerprint& request, bool* is_trial = nullptr);

  // Reverts a trial that reached no endpoint.
  void CancelTrial(const RequestFingerprint& request);

  // Merges a report from another host. Returns whether it contained anything
  // new.
  bool Merge(const CrashReport& report);

  // Returns whether this host has data on the request that `report` lacks.
  bool KnowsMoreThan(const CrashReport& report) const;

  // Returns the data on `request`, with empty sets if there is none.
  CrashReport ReportOf(const RequestFingerprint& request) const;

  // Returns the number of endpoint crashes counted against `request`.
  std::size_t CrashCount(const RequestFingerprint& request) const;

  // Returns the reports to send to hosts that have missed messages: the reports
  // on requests with at least kMinSharedCrashes crashes, in order of decreasing
  // number of crashes, at most kMaxSharedReports.
  std::vector<CrashReport> SharedReports() const;

  // Returns a digest of the shared reports without their times. Hosts with
  // equal digests need not exchange their reports. Zero if there are no shared
  // reports.
  std::uint64_t SharedDigest() const;

  // Removes records whose retention time has passed.
  void Sweep();

  bool IsEmpty() const { return records_.empty(); }
  std::size_t Count() const { return records_.size(); }
  std::size_t QuarantinedCount() const;

  // Number of crashes at which a request is quarantined: the platform's limit.
  // A harmless request that was interrupted by two crashes is still served.
  static constexpr std::size_t kCrashThreshold = 3;
  // Time from the quarantine to the first trial, and between trials that did
  // not crash an endpoint. A shorter interval rejects fewer harmless requests:
  // while callers send two requests that crash endpoints and hosts are
  // suspended, an interval of 2 s rejects about 1% of the harmless requests,
  // and one of 5 s rejects 1.6%.
  static constexpr Millis kTrialInterval{2000};
  // Time to the next trial after a trial has crashed an endpoint. The next
  // trial is needed since one failed trial may be a coincidence: if one of 18
  // endpoints crashes each second for other reasons, about one trial of 0.3 s
  // in 60 coincides with a crash.
  static constexpr Millis kIntervalAfterFailedTrial{60000};
  // Minimum time between trials of different requests; several times as long as
  // an engine takes to crash on a request, and as hosts take to inform each
  // other.
  static constexpr Millis kTrialSpacing{500};
  // Number of failed trials after which the request is not tried again.
  static constexpr int kMaxFailedTrials = 2;
  // Maximum number of trials of a request: the platform's limit on how often a
  // request that is known to crash endpoints may reach one.
  static constexpr int kMaxTrials = 3;
  // How long a request's crashes count against it, measured from its last
  // crash. A request that crashes three endpoints in this time, each of which
  // takes three seconds to restart, costs the fleet one engine for 1.5% of the
  // time.
  static constexpr Millis kCrashRetention{600000};
  // How long a request's crashes count against it, measured from its last
  // crash, if there are more than kCrashThreshold of them. Callers who have
  // fixed their request wait no longer than this.
  static constexpr Millis kProvenRetention{3600000};
  // Maximum number of requests with a record. A record with one crash takes 290
  // bytes. Each crash adds as many records as the endpoint had requests in
  // progress, which is some dozens.
  static constexpr std::size_t kMaxRecords = 4096;
  // Number of cleared crashes per request above which they are all discarded,
  // so that a report fits into a datagram. A discarded crash would be counted
  // again only if a report of it arrived minutes late.
  static constexpr std::size_t kMaxCleared = 64;
  // Minimum number of crashes of a request whose report is sent to hosts that
  // have missed messages. A single crash says little about a request, and many
  // requests have one.
  static constexpr std::size_t kMinSharedCrashes = 2;
  // Maximum number of shared reports: they must fit into a datagram of 16 KB.
  static constexpr std::size_t kMaxSharedReports = 96;

 private:
  // Crashes and trials of one request.
  struct CrashHistory {
    std::set<EndpointCrash> crashes;
    std::set<EndpointCrash> cleared;
    int trials = 0;
    int failed_trials = 0;
    TimePoint last_crash{};
    TimePoint quarantined_until{};
  };
  using CrashHistories = std::map<RequestFingerprint, CrashHistory>;

  static bool IsExpired(const CrashHistory& record, TimePoint now);
  // Returns whether a trial of any request started within kTrialSpacing.
  bool IsTrialRunning(TimePoint now) const;
  // Removes the counted crashes from the record and sets its numbers of trials
  // to zero. Keeps `cleared`.
  static void ClearCrashes(CrashHistory* record);
  // Returns the record of `request`, or null if it is new and there is no space
  // for it.
  CrashHistory* FindOrCreate(const RequestFingerprint& request);
  // Removes expired records, and the older half of the other records with fewer
  // than kMinSharedCrashes crashes.
  void EvictOldRecords();
  CrashReport MakeReport(const CrashHistories::value_type& entry) const;
  std::vector<const CrashHistories::value_type*> SharedRecords() const;

  // Must be called whenever a record changes.
  void InvalidateDigest() { digest_.reset(); }

  MonotonicClock clock_;
  CrashHistories records_;
  // Start of the last trial of any request, on this host or another.
  std::optional<TimePoint> last_trial_;
  // Cached result of SharedDigest, since hosts send the digest with every
  // message; unset if it must be computed again.
  mutable std::optional<std::uint64_t> digest_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REQUEST_QUARANTINE_H_
