#include "harecrank/core/endpoint_loads.h"

#include <algorithm>
#include <utility>

namespace harecrank {
namespace {

int* MembersOf(EndpointLoad* load, WorkClass work_class) {
  switch (work_class) {
    case WorkClass::kShort:
      return &load->short_members;
    case WorkClass::kLong:
      return &load->long_members;
    case WorkClass::kHelper:
      break;
  }
  return nullptr;
}

void Add(EndpointLoad* sum, const EndpointLoad& part) {
  sum->read_backlog += part.read_backlog;
  sum->unread_parts += part.unread_parts;
  sum->short_members += part.short_members;
  sum->long_members += part.long_members;
  sum->memory = sum->memory + part.memory;
  const FractionalMillis none(0);
  if (sum->tightest_gap == none) {
    sum->tightest_gap = part.tightest_gap;
  } else if (part.tightest_gap > none) {
    sum->tightest_gap = std::min(sum->tightest_gap, part.tightest_gap);
  }
}

std::chrono::steady_clock::duration ToSteady(FractionalMillis time) {
  return std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
}

}  // namespace

EndpointLoads::EndpointLoads(MonotonicClock clock) : clock_(std::move(clock)) {}

WorkId EndpointLoads::Begin(const EndpointId& endpoint, WorkClass work_class,
                            FractionalMillis read, Tokens memory, Millis gap) {
  const WorkId id{next_id_++};
  work_.emplace(id, Work{endpoint, work_class, read, memory, gap, false});
  OwnLoad& own = own_[endpoint];
  own.read_until = std::max(own.read_until, clock_()) + ToSteady(read);
  ++own.unread;
  if (gap > Millis(0)) {
    own.gaps.insert(gap);
  }
  own.load.unread_parts += read >= kLongPart ? 1 : 0;
  own.load.memory = own.load.memory + memory;
  if (int* members = MembersOf(&own.load, work_class)) {
    ++*members;
  }
  if (work_class == WorkClass::kShort) {
    NoteShortRead(read);
  }
  return id;
}

void EndpointLoads::NoteShortRead(FractionalMillis read) {
  const TimePoint now = clock_();
  short_reads_.push_back(ShortRead{now, read});
  while (now - short_reads_.front().begun > kRateWindow) {
    short_reads_.pop_front();
  }
}

double EndpointLoads::ShortReadingRate() const {
  const TimePoint now = clock_();
  FractionalMillis sum(0);
  for (const ShortRead& one : short_reads_) {
    if (now - one.begun <= kRateWindow) {
      sum += one.read;
    }
  }
  return sum / FractionalMillis(kRateWindow);
}

void EndpointLoads::OnRead(WorkId id) {
  const auto found = work_.find(id);
  if (found != work_.end()) {
    MarkRead(&found->second);
  }
}

void EndpointLoads::End(WorkId id) {
  const auto found = work_.find(id);
  if (found == work_.end()) {
    return;
  }
  Work& work = found->second;
  MarkRead(&work);
  OwnLoad& own = own_[work.endpoint];
  own.load.memory = own.load.memory - work.memory;
  if (const auto gap = own.gaps.find(work.gap); gap != own.gaps.end()) {
    own.gaps.erase(gap);
  }
  if (int* members = MembersOf(&own.load, work.work_class)) {
    --*members;
  }
  if (own.unread == 0 && own.load.Members() == 0) {
    own_.erase(work.endpoint);
  }
  work_.erase(found);
}

void EndpointLoads::SetPeer(
    const NodeId& peer, std::unordered_map<EndpointId, EndpointLoad> loads) {
  peers_[peer] = PeerWord{std::move(loads), clock_()};
}

EndpointLoad EndpointLoads::Of(const EndpointId& endpoint) const {
  const TimePoint now = clock_();
  EndpointLoad sum;
  const auto own = own_.find(endpoint);
  if (own != own_.end()) {
    sum = OwnAt(own->second, now);
  }
  for (const auto& [peer, word] : peers_) {
    const auto told = word.loads.find(endpoint);
    if (now - word.heard > kPeerWordHolds || told == word.loads.end()) {
      continue;
    }
    EndpointLoad load = told->second;
    load.read_backlog =
        std::max(FractionalMillis(0),
                 FractionalMillis(load.read_backlog - (now - word.heard)));
    Add(&sum, load);
  }
  return sum;
}

int EndpointLoads::ShortMembers() const {
  const TimePoint now = clock_();
  int members = 0;
  for (const auto& [endpoint, own] : own_) {
    members += own.load.short_members;
  }
  for (const auto& [peer, word] : peers_) {
    if (now - word.heard > kPeerWordHolds) {
      continue;
    }
    for (const auto& [endpoint, load] : word.loads) {
      members += load.short_members;
    }
  }
  return members;
}

std::unordered_map<EndpointId, EndpointLoad> EndpointLoads::Own() const {
  const TimePoint now = clock_();
  std::unordered_map<EndpointId, EndpointLoad> loads;
  for (const auto& [endpoint, own] : own_) {
    loads.emplace(endpoint, OwnAt(own, now));
  }
  return loads;
}

EndpointLoad EndpointLoads::OwnAt(const OwnLoad& own, TimePoint now) const {
  EndpointLoad load = own.load;
  load.read_backlog =
      std::max(FractionalMillis(0), FractionalMillis(own.read_until - now));
  if (!own.gaps.empty()) {
    load.tightest_gap = FractionalMillis(*own.gaps.begin());
  }
  return load;
}

void EndpointLoads::MarkRead(Work* work) {
  if (work->is_read) {
    return;
  }
  work->is_read = true;
  OwnLoad& own = own_[work->endpoint];
  --own.unread;
  own.load.unread_parts -= work->read >= kLongPart ? 1 : 0;
  if (own.unread == 0) {
    own.read_until = clock_();
  }
}

}  // namespace harecrank
