#include "src/gateway/crash_guard.h"

#include <utility>

namespace harecrank {

CrashGuard::Registration::Registration(
    const std::shared_ptr<RequestSet>& requests, GuardedRequest* request)
    : requests_(requests), request_(request) {
  requests->insert(request);
}

CrashGuard::Registration::~Registration() {
  if (const auto requests = requests_.lock()) {
    requests->erase(request_);
  }
}

CrashGuard::CrashGuard(RequestQuarantine* quarantine, PartHistory* history,
                       EndpointProber* prober,
                       const EndpointDirectory* directory,
                       IsBackingOff is_backing_off, ShareRecord share_record,
                       EventLog* log, Metrics* metrics)
    : quarantine_(quarantine),
      history_(history),
      prober_(prober),
      directory_(directory),
      is_backing_off_(std::move(is_backing_off)),
      share_record_(std::move(share_record)),
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
  share_record_(request);
}

void CrashGuard::OnTrialNotSent(const RequestFingerprint& request) {
  quarantine_->CancelTrial(request);
}

bool CrashGuard::MayProbe(const EndpointRecord& endpoint) const {
  // Operators may stop the endpoints of a drained data centre, and an endpoint
  // that has announced its shutdown ends by itself. No request is the cause of
  // such an end. Nothing may be sent to these endpoints any more, not even a
  // probe. An endpoint that has asked for back-off is not probed either.
  return !directory_->Drained().IsDrained(endpoint.data_centre) &&
         !directory_->HasAnnouncedLeave(endpoint.id, endpoint.incarnation) &&
         !is_backing_off_(endpoint.id);
}

void CrashGuard::OnResponseAborted(
    const RequestFingerprint& request, const EndpointRecord& endpoint,
    bool was_starting, std::function<void(ProbeResult result)> on_probed) {
  if (!MayProbe(endpoint)) {
    prober_->Skip(std::move(on_probed));
    return;
  }
  prober_->Probe(endpoint.address,
                 [this, request, endpoint, was_starting,
                  on_probed = std::move(on_probed)](ProbeResult result) {
                   if (was_starting && result == ProbeResult::kRefused) {
                     OnCrash(request, endpoint);
                   }
                   on_probed(result);
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
  share_record_(request);
  NotifyQuarantined(request);
}

void CrashGuard::OnCompleted(GuardedRequest* request) {
  if (quarantine_->IsEmpty() ||
      !quarantine_->OnCompleted(request->Fingerprint())) {
    return;
  }
  log_->Write("request_cleared",
              {{"fingerprint", LogName(request->Fingerprint())}},
              LogRateLimit::kExempt);
  share_record_(request->Fingerprint());
}

void CrashGuard::OnSound(const GuardedRequest& request, TimePoint began) {
  for (const PromptPartId part : request.Parts()) {
    history_->OnSound(part, began);
  }
}

nlohmann::json CrashGuard::DescribeParts(const GuardedRequest& request,
                                         TimePoint now) const {
  nlohmann::json parts = nlohmann::json::array();
  for (const PromptPartId part : request.Parts()) {
    nlohmann::json fields = {{"part", LogName(part)}};
    if (const auto sound_at = history_->LastSound(part)) {
      fields["sound_ms"] =
          std::chrono::duration_cast<Millis>(now - *sound_at).count();
    }
    parts.push_back(std::move(fields));
  }
  return parts;
}

std::vector<CrashReport> CrashGuard::OnReports(
    const std::vector<CrashReport>& reports,
    std::vector<CrashReport>* missing) {
  std::vector<CrashReport> new_reports;
  for (const CrashReport& report : reports) {
    if (quarantine_->Merge(report)) {
      new_reports.push_back(quarantine_->ReportOf(report.request));
      NotifyQuarantined(report.request);
    }
    if (quarantine_->KnowsMoreThan(report)) {
      missing->push_back(quarantine_->ReportOf(report.request));
    }
  }
  return new_reports;
}

void CrashGuard::NotifyQuarantined(const RequestFingerprint& request) {
  if (!quarantine_->IsQuarantined(request)) {
    return;
  }
  log_->Write("request_held",
              {{"fingerprint", LogName(request)},
               {"account", request.account.value},
               {"crashes", quarantine_->CrashCount(request)}},
              LogRateLimit::kExempt);
  metrics_->GetCounter("harecrank_gateway_requests_held_total")->Add();
  // Iterates over a copy, since OnQuarantined may end a request, which removes
  // it from the set.
  const RequestSet requests = *requests_;
  for (GuardedRequest* candidate : requests) {
    if (requests_->count(candidate) != 0 &&
        candidate->Fingerprint() == request) {
      candidate->OnQuarantined();
    }
  }
}

}  // namespace harecrank
