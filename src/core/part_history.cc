#include "harecrank/core/part_history.h"

#include <algorithm>
#include <utility>

namespace harecrank {

PartHistory::Record* PartHistory::Entry(PromptPartId part) {
  const auto found = recent_.find(part);
  if (found != recent_.end()) {
    return &found->second;
  }
  const Record* known = Find(part);
  const Record record = known == nullptr ? Record{} : *known;
  if (recent_.size() >= kGenerationSize) {
    older_ = std::exchange(recent_, {});
  }
  older_.erase(part);
  return &recent_.emplace(part, record).first->second;
}

void PartHistory::OnSound(PromptPartId part, TimePoint began) {
  Record* record = Entry(part);
  record->last_sound = std::max(began, record->last_sound.value_or(began));
}

const PartHistory::Record* PartHistory::Find(PromptPartId part) const {
  for (const Generation* generation : {&recent_, &older_}) {
    const auto found = generation->find(part);
    if (found != generation->end()) {
      return &found->second;
    }
  }
  return nullptr;
}

std::uint64_t PartHistory::SentCount(PromptPartId part) const {
  const Record* record = Find(part);
  return record == nullptr ? 0 : record->sent;
}

std::optional<TimePoint> PartHistory::LastSound(PromptPartId part) const {
  const Record* record = Find(part);
  return record == nullptr ? std::nullopt : record->last_sound;
}

}  // namespace harecrank
