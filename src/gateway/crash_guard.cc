#include "src/gateway/crash_guard.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

// Some seconds of crashes, with some dozens of requests each.
constexpr std::size_t kMaxRecentCrashes = 512;

}  // namespace

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

CrashGuard::CrashGuard(RequestQuarantine* quarantine, PartQuarantine* parts,
                       EndpointProber* prober, EndpointIdentifier* identifier,
                       const EndpointDirectory* directory,
                       IsBackingOff is_backing_off, Share share, EventLog* log,
                       Metrics* metrics)
    : quarantine_(quarantine),
      parts_(parts),
      prober_(prober),
      identifier_(identifier),
      directory_(directory),
      is_backing_off_(std::move(is_backing_off)),
      share_(std::move(share)),
      log_(log),
      metrics_(metrics) {}

bool CrashGuard::IsQuarantined(GuardedRequest* request) const {
  return parts_->IsHeld(request->Parts()) ||
         (!quarantine_->IsEmpty() &&
          quarantine_->IsQuarantined(request->Fingerprint()));
}

bool CrashGuard::TryAdmit(GuardedRequest* request, Trial* trial) {
  *trial = Trial{};
  const PartAdmission admission = parts_->TryAdmit(request->Parts());
  if (admission == PartAdmission::kHeld) {
    return false;
  }
  trial->of_part = admission == PartAdmission::kTrial;
  const bool admitted =
      quarantine_->IsEmpty() ||
      quarantine_->TryAdmit(request->Fingerprint(), &trial->of_request);
  if (!admitted && trial->of_part) {
    parts_->CancelTrial(request->Parts());
  }
  return admitted;
}

void CrashGuard::OnSent(GuardedRequest* request, const Trial& trial) {
  parts_->OnSent(request->Parts());
  if (trial.of_part) {
    log_->Write("part_tried",
                {{"parts", DescribeParts(*request, parts_->Now())}},
                LogRateLimit::kExempt);
    share_.parts(parts_->OnTrialSent(request->Parts()));
  }
  if (trial.of_request) {
    const RequestFingerprint& fingerprint = request->Fingerprint();
    log_->Write("request_tried",
                {{"fingerprint", LogName(fingerprint)},
                 {"crashes", quarantine_->CrashCount(fingerprint)}},
                LogRateLimit::kExempt);
    share_.record(fingerprint);
  }
}

void CrashGuard::OnNotSent(GuardedRequest* request, const Trial& trial) {
  if (trial.of_part) {
    parts_->CancelTrial(request->Parts());
  }
  if (trial.of_request) {
    quarantine_->CancelTrial(request->Fingerprint());
  }
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
    const Suspect& suspect, const EndpointRecord& endpoint, bool was_starting,
    std::function<void(ProbeResult result)> on_probed) {
  if (!MayProbe(endpoint)) {
    prober_->Skip(std::move(on_probed));
    return;
  }
  prober_->Probe(endpoint.address,
                 [this, suspect, endpoint, was_starting,
                  on_probed = std::move(on_probed)](ProbeResult result) {
                   if (was_starting && result == ProbeResult::kRefused) {
                     OnCrash(suspect, endpoint);
                   }
                   on_probed(result);
                 });
}

void CrashGuard::ConfirmEnd(const Suspect& suspect,
                            const EndpointRecord& endpoint, bool was_starting,
                            IdentityCheck check,
                            std::function<void(ProbeResult result)> on_probed) {
  const bool is_drained = directory_->Drained().IsDrained(endpoint.data_centre);
  if (is_drained) {
    prober_->Skip(std::move(on_probed));
    return;
  }
  const bool counts = was_starting && MayProbe(endpoint);
  identifier_->Ask({endpoint.id, endpoint.address, std::move(check.health_path),
                    check.patience},
                   [this, suspect, endpoint, counts,
                    on_probed = std::move(on_probed)](ProbeResult result) {
                     const bool has_ended = result == ProbeResult::kRefused ||
                                            result == ProbeResult::kReplaced;
                     if (counts && has_ended) {
                       OnCrash(suspect, endpoint);
                     }
                     on_probed(result);
                   });
}

void CrashGuard::OnCrash(const Suspect& suspect,
                         const EndpointRecord& endpoint) {
  const EndpointCrash crash{
      endpoint.id, endpoint.incarnation.value_or(EndpointIncarnation{})};
  share_.parts(parts_->OnCrash(crash, suspect.parts));
  OnPartsHeld();
  const RequestFingerprint& request = suspect.request;
  if (parts_->IsExplained(crash, suspect.parts) ||
      !quarantine_->OnCrash(request, crash)) {
    return;
  }
  recent_crashes_.push_back({crash, suspect});
  if (recent_crashes_.size() > kMaxRecentCrashes) {
    recent_crashes_.pop_front();
  }
  log_->Write("request_suspected",
              {{"fingerprint", LogName(request)},
               {"account", request.account.value},
               {"endpoint", endpoint.id.value},
               {"crashes", quarantine_->CrashCount(request)}},
              LogRateLimit::kExempt);
  share_.record(request);
  NotifyQuarantined(request);
}

void CrashGuard::OnPartsHeld() {
  const std::vector<PartQuarantine::NewHold> held = parts_->TakeNewlyHeld();
  for (const PartQuarantine::NewHold& hold : held) {
    log_->Write("part_held",
                {{"part", LogName(hold.part)},
                 {"crashes", parts_->Crashes().CountAgainst(hold.part)},
                 {"answered_before", hold.was_known}},
                LogRateLimit::kExempt);
    metrics_->GetCounter("harecrank_gateway_parts_held_total")->Add();
    if (!hold.was_known) {
      EndRequestsWith(hold.part);
    }
  }
  if (!held.empty()) {
    ClearExplainedRequests();
  }
}

void CrashGuard::EndRequestsWith(PromptPartId part) {
  // Iterates over a copy, since OnQuarantined may end a request, which removes
  // it from the set.
  const RequestSet requests = *requests_;
  for (GuardedRequest* candidate : requests) {
    if (requests_->count(candidate) == 0) {
      continue;
    }
    const std::vector<PromptPartId>& parts = candidate->Parts();
    if (std::find(parts.begin(), parts.end(), part) != parts.end()) {
      candidate->OnQuarantined();
    }
  }
}

void CrashGuard::ClearExplainedRequests() {
  for (const RecentCrash& recent : recent_crashes_) {
    const Suspect& suspect = recent.suspect;
    if (parts_->IsExplained(recent.crash, suspect.parts) &&
        quarantine_->OnExplained(suspect.request, recent.crash)) {
      share_.record(suspect.request);
    }
  }
}

void CrashGuard::OnCompleted(GuardedRequest* request) {
  if (quarantine_->IsEmpty() ||
      !quarantine_->OnCompleted(request->Fingerprint())) {
    return;
  }
  log_->Write("request_cleared",
              {{"fingerprint", LogName(request->Fingerprint())}},
              LogRateLimit::kExempt);
  share_.record(request->Fingerprint());
}

void CrashGuard::OnSound(const GuardedRequest& request, TimePoint began) {
  PartEvidence told = parts_->OnSound(request.Parts(), began);
  for (const SoundPart& sound : told.sound) {
    log_->Write("part_cleared", {{"part", LogName(sound.part)}},
                LogRateLimit::kExempt);
  }
  share_.parts(std::move(told));
}

nlohmann::json CrashGuard::DescribeParts(const GuardedRequest& request,
                                         TimePoint now) const {
  nlohmann::json parts = nlohmann::json::array();
  for (const PromptPartId part : request.Parts()) {
    nlohmann::json fields = {{"part", LogName(part)},
                             {"sent", parts_->Crashes().SentCount(part)},
                             {"crashes", parts_->Crashes().CountAgainst(part)},
                             {"held", parts_->IsHeld(part)}};
    if (const auto sound_at = parts_->LastSound(part)) {
      fields["sound_ms"] =
          std::chrono::duration_cast<Millis>(now - *sound_at).count();
    }
    parts.push_back(std::move(fields));
  }
  return parts;
}

PartEvidence CrashGuard::OnPartEvidence(const PartEvidence& evidence,
                                        PartEvidence* missing) {
  PartEvidence news = parts_->Merge(evidence, missing);
  OnPartsHeld();
  return news;
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
