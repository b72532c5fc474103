#include "src/gateway/crash_guard.h"

#include <utility>

namespace harecrank {

CrashGuard::Registration::Registration(const std::shared_ptr<Watched>& watched,
                                       GuardedRequest* request)
    : watched_(watched), request_(request) {
  watched->insert(request);
}

CrashGuard::Registration::~Registration() {
  if (const auto watched = watched_.lock()) {
    watched->erase(request_);
  }
}

CrashGuard::CrashGuard(RequestQuarantine* quarantine, EndpointProber* prober,
                       const EndpointDirectory* directory, IsResting is_resting,
                       Tell tell, EventLog* log, Metrics* metrics)
    : quarantine_(quarantine),
      prober_(prober),
      directory_(directory),
      is_resting_(std::move(is_resting)),
      tell_(std::move(tell)),
      log_(log),
      metrics_(metrics) {}

bool CrashGuard::IsQuarantined(GuardedRequest* request) const {
  return !quarantine_->IsEmpty() &&
         quarantine_->IsQuarantined(request->Fingerprint());
}

bool CrashGuard::TryAdmit(GuardedRequest* request, bool* is_trial) {
  *is_trial = false;
  return quarantine_->IsEmpty() ||
         quarantine_->TryAdmit(request->Fingerprint(), is_trial);
}

void CrashGuard::OnTrialSent(const RequestFingerprint& request) {
  log_->Write("request_tried",
              {{"fingerprint", LogName(request)},
               {"crashes", quarantine_->CrashCount(request)}},
              LogRateLimit::kExempt);
  tell_(request);
}

void CrashGuard::OnTrialNotSent(const RequestFingerprint& request) {
  quarantine_->CancelTrial(request);
}

bool CrashGuard::MayProbe(const EndpointRecord& endpoint) const {
  // Who empties a data centre may stop its endpoints, and one that leaves ends
  // by itself: that is no request's doing, and nothing more is sent there, not
  // even a probe. One that rests is not disturbed by it either.
  return !directory_->Drained().IsDrained(endpoint.data_centre) &&
         !directory_->HasAnnouncedLeave(endpoint.id, endpoint.incarnation) &&
         !is_resting_(endpoint.id);
}

void CrashGuard::OnResponseAborted(
    const RequestFingerprint& request, const EndpointRecord& endpoint,
    bool was_beginning, std::function<void(ProbeResult result)> on_judged) {
  if (!MayProbe(endpoint)) {
    prober_->Skip(std::move(on_judged));
    return;
  }
  prober_->Probe(endpoint.address,
                 [this, request, endpoint, was_beginning,
                  on_judged = std::move(on_judged)](ProbeResult result) {
                   if (was_beginning && result == ProbeResult::kRefused) {
                     OnCrash(request, endpoint);
                   }
                   on_judged(result);
                 });
}

void CrashGuard::OnCrash(const RequestFingerprint& request,
                         const EndpointRecord& endpoint) {
  const EndpointCrash crash{
      endpoint.id, endpoint.incarnation.value_or(EndpointIncarnation{})};
  if (!quarantine_->OnCrash(request, crash)) {
    return;
  }
  log_->Write("request_suspected",
              {{"fingerprint", LogName(request)},
               {"account", request.account.value},
               {"endpoint", endpoint.id.value},
               {"crashes", quarantine_->CrashCount(request)}},
              LogRateLimit::kExempt);
  tell_(request);
  EndHeld(request);
}

void CrashGuard::OnCompleted(GuardedRequest* request) {
  if (quarantine_->IsEmpty() ||
      !quarantine_->OnCompleted(request->Fingerprint())) {
    return;
  }
  log_->Write("request_cleared",
              {{"fingerprint", LogName(request->Fingerprint())}},
              LogRateLimit::kExempt);
  tell_(request->Fingerprint());
}

std::vector<CrashReport> CrashGuard::OnReports(
    const std::vector<CrashReport>& reports,
    std::vector<CrashReport>* missing) {
  std::vector<CrashReport> news;
  for (const CrashReport& report : reports) {
    if (quarantine_->Merge(report)) {
      news.push_back(quarantine_->ReportOf(report.request));
      EndHeld(report.request);
    }
    if (quarantine_->KnowsMoreThan(report)) {
      missing->push_back(quarantine_->ReportOf(report.request));
    }
  }
  return news;
}

void CrashGuard::EndHeld(const RequestFingerprint& request) {
  if (!quarantine_->IsQuarantined(request)) {
    return;
  }
  log_->Write("request_held",
              {{"fingerprint", LogName(request)},
               {"account", request.account.value},
               {"crashes", quarantine_->CrashCount(request)}},
              LogRateLimit::kExempt);
  metrics_->GetCounter("harecrank_gateway_requests_held_total")->Add();
  // A copy: a request that ends is watched no more.
  const Watched watched = *watched_;
  for (GuardedRequest* one : watched) {
    if (watched_->count(one) != 0 && one->Fingerprint() == request) {
      one->OnQuarantined();
    }
  }
}

}  // namespace harecrank
