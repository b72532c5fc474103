#include "harecrank/core/request_quarantine.h"

#include <xxhash.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace harecrank {
namespace {

Millis ToMillis(TimePoint::duration time) {
  return std::chrono::duration_cast<Millis>(time);
}

bool Contains(const std::set<EndpointCrash>& superset,
              const std::set<EndpointCrash>& subset) {
  return std::includes(superset.begin(), superset.end(), subset.begin(),
                       subset.end());
}

void AppendTo(std::string* text, const std::set<EndpointCrash>& crashes) {
  for (const EndpointCrash& crash : crashes) {
    *text += crash.endpoint.value;
    *text += '/';
    *text += std::to_string(crash.incarnation.value);
    *text += ' ';
  }
  *text += '\n';
}

}  // namespace

RequestQuarantine::RequestQuarantine(MonotonicClock clock)
    : clock_(std::move(clock)) {}

bool RequestQuarantine::OnCrash(const RequestFingerprint& request,
                                const EndpointCrash& crash) {
  CrashHistory* record = FindOrCreate(request);
  const bool is_new = record != nullptr && record->cleared.count(crash) == 0 &&
                      record->crashes.insert(crash).second;
  if (is_new) {
    InvalidateDigest();
    if (record->failed_trials < record->trials) {
      ++record->failed_trials;
    }
    record->last_crash = clock_();
    record->quarantined_until =
        record->last_crash + (record->failed_trials == 0
                                  ? kTrialInterval
                                  : kIntervalAfterFailedTrial);
  }
  return is_new;
}

bool RequestQuarantine::OnExplained(const RequestFingerprint& request,
                                    const EndpointCrash& crash) {
  const auto found = records_.find(request);
  if (found == records_.end() || found->second.crashes.erase(crash) == 0) {
    return false;
  }
  InvalidateDigest();
  CrashHistory& record = found->second;
  if (record.cleared.size() > kMaxCleared) {
    record.cleared.clear();
  }
  record.cleared.insert(crash);
  if (record.crashes.empty()) {
    ClearCrashes(&record);
  }
  return true;
}

bool RequestQuarantine::OnCompleted(const RequestFingerprint& request) {
  const auto found = records_.find(request);
  if (found == records_.end() || found->second.crashes.empty()) {
    return false;
  }
  InvalidateDigest();
  CrashHistory& record = found->second;
  if (record.cleared.size() > kMaxCleared) {
    record.cleared.clear();
  }
  record.cleared.merge(record.crashes);
  ClearCrashes(&record);
  return true;
}

void RequestQuarantine::ClearCrashes(CrashHistory* record) {
  record->crashes.clear();
  record->trials = 0;
  record->failed_trials = 0;
}

bool RequestQuarantine::IsQuarantined(const RequestFingerprint& request) const {
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return false;
  }
  const CrashHistory& record = found->second;
  const TimePoint now = clock_();
  if (record.crashes.size() < kCrashThreshold || IsExpired(record, now)) {
    return false;
  }
  return record.failed_trials >= kMaxFailedTrials ||
         record.trials >= kMaxTrials || now < record.quarantined_until ||
         IsTrialRunning(now);
}

bool RequestQuarantine::IsTrialRunning(TimePoint now) const {
  return last_trial_.has_value() && now - *last_trial_ < kTrialSpacing;
}

bool RequestQuarantine::TryAdmit(const RequestFingerprint& request,
                                 bool* is_trial) {
  if (IsQuarantined(request)) {
    return false;
  }
  const auto found = records_.find(request);
  const bool starts_trial = found != records_.end() &&
                            found->second.crashes.size() >= kCrashThreshold &&
                            !IsExpired(found->second, clock_());
  if (starts_trial) {
    InvalidateDigest();
    ++found->second.trials;
    last_trial_ = clock_();
    found->second.quarantined_until = *last_trial_ + kTrialInterval;
  }
  if (is_trial != nullptr) {
    *is_trial = starts_trial;
  }
  return true;
}

void RequestQuarantine::CancelTrial(const RequestFingerprint& request) {
  const auto found = records_.find(request);
  if (found != records_.end() && found->second.trials > 0) {
    InvalidateDigest();
    --found->second.trials;
    found->second.quarantined_until = clock_();
    last_trial_.reset();
  }
}

bool RequestQuarantine::Merge(const CrashReport& report) {
  if (report.crashes.empty() && report.cleared.empty()) {
    return false;
  }
  CrashHistory* record = FindOrCreate(report.request);
  if (record == nullptr) {
    return false;
  }
  InvalidateDigest();
  const std::size_t known = record->crashes.size();
  const std::size_t cleared = record->cleared.size();
  const int trials = record->trials;
  const int failed_trials = record->failed_trials;
  record->cleared.insert(report.cleared.begin(), report.cleared.end());
  record->crashes.insert(report.crashes.begin(), report.crashes.end());
  for (const EndpointCrash& crash : record->cleared) {
    record->crashes.erase(crash);
  }
  record->trials = std::max(trials, report.trials);
  record->failed_trials = std::max(failed_trials, report.failed_trials);
  if (record->crashes.empty()) {
    ClearCrashes(record);
  }
  const TimePoint now = clock_();
  if (record->trials > trials) {
    last_trial_ = now;
  }
  record->last_crash = std::max(record->last_crash, now - report.age);
  record->quarantined_until =
      std::max(record->quarantined_until, now + report.quarantined_for);
  return record->crashes.size() != known || record->cleared.size() != cleared ||
         record->trials != trials;
}

bool RequestQuarantine::KnowsMoreThan(const CrashReport& report) const {
  const auto found = records_.find(report.request);
  if (found == records_.end()) {
    return false;
  }
  const CrashHistory& record = found->second;
  return !Contains(report.cleared, record.cleared) ||
         !Contains(report.crashes, record.crashes) ||
         report.trials < record.trials ||
         report.failed_trials < record.failed_trials;
}

CrashReport RequestQuarantine::ReportOf(
    const RequestFingerprint& request) const {
  const auto found = records_.find(request);
  if (found == records_.end()) {
    return CrashReport{request, {}, {}, 0, 0, Millis(0), Millis(0)};
  }
  return MakeReport(*found);
}

CrashReport RequestQuarantine::MakeReport(
    const CrashHistories::value_type& entry) const {
  const TimePoint now = clock_();
  const CrashHistory& record = entry.second;
  return CrashReport{entry.first,
                     record.crashes,
                     record.cleared,
                     record.trials,
                     record.failed_trials,
                     ToMillis(now - record.last_crash),
                     ToMillis(record.quarantined_until - now)};
}

std::size_t RequestQuarantine::CrashCount(
    const RequestFingerprint& request) const {
  const auto found = records_.find(request);
  return found == records_.end() ? 0 : found->second.crashes.size();
}

std::vector<const RequestQuarantine::CrashHistories::value_type*>
RequestQuarantine::SharedRecords() const {
  std::vector<const CrashHistories::value_type*> shared;
  for (const CrashHistories::value_type& entry : records_) {
    if (entry.second.crashes.size() >= kMinSharedCrashes) {
      shared.push_back(&entry);
    }
  }
  // Records with equal numbers of crashes stay in fingerprint order, so that
  // hosts with the same data select the same records.
  std::stable_sort(shared.begin(), shared.end(),
                   [](const auto* a, const auto* b) {
                     return a->second.crashes.size() > b->second.crashes.size();
                   });
  if (shared.size() > kMaxSharedReports) {
    shared.resize(kMaxSharedReports);
  }
  return shared;
}

std::vector<CrashReport> RequestQuarantine::SharedReports() const {
  std::vector<CrashReport> reports;
  for (const CrashHistories::value_type* entry : SharedRecords()) {
    reports.push_back(MakeReport(*entry));
  }
  return reports;
}

std::uint64_t RequestQuarantine::SharedDigest() const {
  if (digest_.has_value()) {
    return *digest_;
  }
  std::uint64_t digest = 0;
  for (const CrashHistories::value_type* entry : SharedRecords()) {
    const auto& [request, record] = *entry;
    std::string text =
        request.account.value + "\n" + std::to_string(request.high) + "\n" +
        std::to_string(request.low) + "\n" + std::to_string(record.trials) +
        "\n" + std::to_string(record.failed_trials) + "\n";
    AppendTo(&text, record.crashes);
    // XOR makes the digest independent of the order of the records.
    digest ^= XXH3_64bits(text.data(), text.size());
  }
  digest_ = digest;
  return digest;
}

std::size_t RequestQuarantine::QuarantinedCount() const {
  return static_cast<std::size_t>(
      std::count_if(records_.begin(), records_.end(),
                    [this](const CrashHistories::value_type& entry) {
                      return IsQuarantined(entry.first);
                    }));
}

bool RequestQuarantine::IsExpired(const CrashHistory& record, TimePoint now) {
  const Millis retention = record.crashes.size() > kCrashThreshold
                               ? kProvenRetention
                               : kCrashRetention;
  return now - record.last_crash > retention;
}

void RequestQuarantine::Sweep() {
  InvalidateDigest();
  const TimePoint now = clock_();
  for (auto it = records_.begin(); it != records_.end();) {
    it = IsExpired(it->second, now) ? records_.erase(it) : std::next(it);
  }
}

RequestQuarantine::CrashHistory* RequestQuarantine::FindOrCreate(
    const RequestFingerprint& request) {
  const auto found = records_.find(request);
  if (found != records_.end()) {
    if (IsExpired(found->second, clock_())) {
      InvalidateDigest();
      found->second = CrashHistory{};
    }
    return &found->second;
  }
  if (records_.size() >= kMaxRecords) {
    EvictOldRecords();
  }
  return records_.size() < kMaxRecords ? &records_[request] : nullptr;
}

void RequestQuarantine::EvictOldRecords() {
  Sweep();
  std::vector<TimePoint> times;
  for (const auto& [request, record] : records_) {
    if (record.crashes.size() < kMinSharedCrashes) {
      times.push_back(record.last_crash);
    }
  }
  if (times.empty()) {
    return;
  }
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  for (auto it = records_.begin(); it != records_.end();) {
    const bool evict = it->second.crashes.size() < kMinSharedCrashes &&
                       !(*middle < it->second.last_crash);
    it = evict ? records_.erase(it) : std::next(it);
  }
}

}  // namespace harecrank
