#include "harecrank/core/crash_report_decoding.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <utility>

namespace harecrank {
namespace {

using nlohmann::json;

std::set<EndpointCrash> TakeCrashes(ArrayReader* reader) {
  std::set<EndpointCrash> crashes;
  reader->EachOf([&crashes](ArrayReader* entry) {
    EndpointCrash crash;
    crash.endpoint = entry->TakeString<EndpointId>();
    crash.incarnation = entry->TakeNumber<EndpointIncarnation>();
    crashes.insert(std::move(crash));
  });
  return crashes;
}

SuspectCrash TakeSuspectCrash(ArrayReader* reader) {
  SuspectCrash crash;
  crash.crash.endpoint = reader->TakeString<EndpointId>();
  crash.crash.incarnation = reader->TakeNumber<EndpointIncarnation>();
  crash.age = reader->TakeMillis();
  reader->EachOf([&crash](ArrayReader* entry) {
    SuspectPart suspect{entry->TakeNumber<PromptPartId>(), std::nullopt};
    if (!entry->AtEnd()) {
      suspect.sound_age = entry->TakeMillis();
    }
    crash.parts.push_back(suspect);
  });
  return crash;
}

HeldPart TakeHeldPart(ArrayReader* reader) {
  HeldPart held;
  held.part = reader->TakeNumber<PromptPartId>();
  held.first_crash_age = reader->TakeMillis();
  held.last_crash_age = reader->TakeMillis();
  held.held_for = reader->TakeMillis();
  if (!reader->AtEnd()) {
    for (const json& owner : reader->Next()) {
      held.trials.owners.push_back(HostAddress{owner.get<std::string>()});
    }
    held.trials.run = reader->Take<decltype(held.trials.run)>();
  }
  return held;
}

PartEvidence TakeEvidence(const json& element) {
  ArrayReader reader(element);
  PartEvidence evidence;
  reader.EachOf([&evidence](ArrayReader* entry) {
    evidence.crashes.push_back(TakeSuspectCrash(entry));
  });
  reader.EachOf([&evidence](ArrayReader* entry) {
    const auto part = entry->TakeNumber<PromptPartId>();
    evidence.sound.push_back(SoundPart{part, entry->TakeMillis()});
  });
  reader.EachOf([&evidence](ArrayReader* entry) {
    evidence.held.push_back(TakeHeldPart(entry));
  });
  return evidence;
}

}  // namespace

CrashReports TakeCrashReports(ArrayReader* reader) {
  CrashReports crash_reports;
  crash_reports.from = reader->TakeString<HostAddress>();
  reader->EachOf([&crash_reports](ArrayReader* entry) {
    CrashReport report;
    report.request.account = entry->TakeString<AccountId>();
    report.request.high = entry->Take<std::uint64_t>();
    report.request.low = entry->Take<std::uint64_t>();
    report.crashes = TakeCrashes(entry);
    report.cleared = TakeCrashes(entry);
    report.trials = entry->Take<int>();
    report.failed_trials = entry->Take<int>();
    report.age = entry->TakeMillis();
    report.quarantined_for = entry->TakeMillis();
    crash_reports.reports.push_back(std::move(report));
  });
  if (!reader->AtEnd()) {
    crash_reports.parts = TakeEvidence(reader->Next());
  }
  return crash_reports;
}

}  // namespace harecrank
