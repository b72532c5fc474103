// Which requests end the endpoints that begin them, and are kept from others.
//
// The load that it answers: a request on which an endpoint crashes, sent again
// and again by its caller, at any host and under new ids. Each try ends another
// endpoint with all that runs there; without this, one such request a second
// takes a fleet of 18 engines away for as long as it comes.
//
// An endpoint that ends takes dozens of requests with it, and all but one of
// them are harmless. They are told apart by what follows: a request that was
// answered whole by any endpoint ends none, and all that was counted against
// it is dropped. One that is held is let through alone, once the endpoints of
// an outage are back, so that many ends at one time do not shut out a request
// that half of all callers make. Held requests are let through one after the
// other: on one endpoint with the one that ends it, a harmless one would be
// taken for another such.
//
// What hosts know is merged by set union and by the latest time, so that words
// which are lost, come twice or come late do not count an end twice. Nothing is
// kept on disk: a fleet that starts anew begins to count anew.

#ifndef HARECRANK_CORE_REQUEST_QUARANTINE_H_
#define HARECRANK_CORE_REQUEST_QUARANTINE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "harecrank/core/clock.h"
#include "harecrank/core/endpoint_directory.h"
#include "harecrank/core/request_fingerprint.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// The end of one incarnation of an endpoint. However many hosts and requests
// saw it, it is one.
struct EndpointCrash {
  EndpointId endpoint;
  // Zero where the platform does not tell lives apart.
  EndpointIncarnation incarnation;

  friend bool operator==(const EndpointCrash& a, const EndpointCrash& b) {
    return std::tie(a.endpoint, a.incarnation.value) ==
           std::tie(b.endpoint, b.incarnation.value);
  }
  friend bool operator<(const EndpointCrash& a, const EndpointCrash& b) {
    return std::tie(a.endpoint, a.incarnation.value) <
           std::tie(b.endpoint, b.incarnation.value);
  }
};

// What one host tells another of one request. Times are told as ages, since no
// two hosts share a clock.
struct CrashReport {
  RequestFingerprint request;
  // Endpoints that ended while they began it.
  std::set<EndpointCrash> crashes;
  // Ends that do not count, since it was answered whole after all.
  std::set<EndpointCrash> cleared;
  // How often it was let through while it was held, and how many of these
  // trials ended an endpoint.
  int trials = 0;
  int failed_trials = 0;
  // Since the last of its crashes.
  Millis age{0};
  // Until it may be let through; zero or less if it may be now.
  Millis quarantined_for{0};
};

// Not thread-safe.
class RequestQuarantine {
 public:
  explicit RequestQuarantine(MonotonicClock clock);

  // Counts the end of an endpoint that was beginning `request`. Returns whether
  // it is news.
  bool OnCrash(const RequestFingerprint& request, const EndpointCrash& crash);

  // Notes that `request` was answered whole: it ends no endpoint. Returns
  // whether anything had been counted against it.
  bool OnCompleted(const RequestFingerprint& request);

  // Returns whether `request` may be sent to no endpoint now.
  bool IsQuarantined(const RequestFingerprint& request) const;

  // To be called before each sending. Returns false if the request is held. If
  // it was held, and is let through by this, others are not for kTrialInterval.
  // `is_trial`, if not null, is set to whether that is the case.
  bool TryAdmit(const RequestFingerprint& request, bool* is_trial = nullptr);

  // Takes back a trial that reached no endpoint.
  void CancelTrial(const RequestFingerprint& request);

  // Takes what another host tells. Returns whether anything of it was news.
  bool Merge(const CrashReport& report);

  // Returns whether this host knows anything of the request that `report` does
  // not tell.
  bool KnowsMoreThan(const CrashReport& report) const;

  // Returns what is known of `request`; empty sets if nothing is.
  CrashReport ReportOf(const RequestFingerprint& request) const;

  // Returns how many endpoints have ended under `request`.
  std::size_t CrashCount(const RequestFingerprint& request) const;

  // Returns what hosts that have missed words need: requests with at least
  // kMinSharedCrashes crashes, those with the most first, kMaxSharedReports at
  // most.
  std::vector<CrashReport> SharedReports() const;

  // Returns a digest of these, but for their times: hosts whose digests are the
  // same have nothing to tell each other. Zero if there are none.
  std::uint64_t SharedDigest() const;

  // Forgets requests under which nothing has ended for long.
  void Sweep();

  bool IsEmpty() const { return records_.empty(); }
  std::size_t Count() const { return records_.size(); }
  std::size_t QuarantinedCount() const;

  // Endpoints that may end under one request: the platform's bound. A request
  // that was caught in two outages by bad luck is still served.
  static constexpr std::size_t kCrashThreshold = 3;
  // How long a request with so many crashes is held before it is let through
  // once, and the pause until the next trial of one that ended nothing. Of some
  // 10,000 harmless requests beside two deadly ones and hosts that sleep, 95
  // were refused in four soaks of 15 s; with 5,000 it was 158.
  static constexpr Millis kTrialInterval{2000};
  // The pause once a trial has ended an endpoint. One such end may still be bad
  // luck: while an endpoint ends each second for other reasons, one trial of
  // 0.3 s in 60 meets an end among 18 of them.
  static constexpr Millis kIntervalAfterFailedTrial{60000};
  // From one trial to the next of another request: several times what an engine
  // takes to end under a request, and what hosts take to tell each other.
  static constexpr Millis kTrialSpacing{500};
  // How often a trial must fail until the request is not tried any more.
  static constexpr int kMaxFailedTrials = 2;
  // Trials of one request: the platform's bound on what reaches endpoints of a
  // request that is known to end them.
  static constexpr int kMaxTrials = 3;
  // How long crashes are counted together. At three crashes in this time, and
  // three seconds for an endpoint to be back, one such request costs a fleet
  // one engine for 1.5 in 100 of the time.
  static constexpr Millis kCrashRetention{600000};
  // How long a request is held that is proven to end endpoints. Operators who
  // have mended theirs wait no longer.
  static constexpr Millis kProvenRetention{3600000};
  // Requests remembered at once, 290 bytes each with one end. One end of an
  // endpoint brings as many as it had in hand, some dozens.
  static constexpr std::size_t kMaxRecords = 4096;
  // Ends that do not count, remembered for one request. With more, all of them
  // are forgotten: a report stays within a datagram, and only one that comes
  // minutes late would count again.
  static constexpr std::size_t kMaxCleared = 64;
  // From how many crashes on hosts tell each other what one of them missed. One
  // crash alone says little, and there are many such requests.
  static constexpr std::size_t kMinSharedCrashes = 2;
  // Reports that fit into a datagram of 16 KB.
  static constexpr std::size_t kMaxSharedReports = 96;

 private:
  struct Record {
    std::set<EndpointCrash> crashes;
    std::set<EndpointCrash> cleared;
    int trials = 0;
    int failed_trials = 0;
    TimePoint last_crash{};
    TimePoint held_until{};
  };
  using Records = std::map<RequestFingerprint, Record>;

  static bool IsForgotten(const Record& record, TimePoint now);
  // Whether a trial is under way, of any request.
  bool IsTrialUnderWay(TimePoint now) const;
  // Drops all that counts against it.
  static void Clear(Record* record);
  // Returns the record of `request`, new or not, or null if there is no room.
  Record* Make(const RequestFingerprint& request);
  // Drops the older half of the requests with one crash at the most.
  void MakeRoom();
  CrashReport Tell(const Records::value_type& entry) const;
  std::vector<const Records::value_type*> Shared() const;

  // Whoever changes a record forgets the digest.
  void OnChanged() { digest_.reset(); }

  MonotonicClock clock_;
  Records records_;
  // When a held request was last let through, by this host or another.
  std::optional<TimePoint> last_trial_;
  // Hosts tell it with every word.
  mutable std::optional<std::uint64_t> digest_;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_REQUEST_QUARANTINE_H_
