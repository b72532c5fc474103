#include "src/entry/group_runner.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace harecrank {
namespace {

constexpr Millis kReservationTtl{6000};
constexpr Millis kRenewEvery{2000};
constexpr Millis kAnswerWait{1000};
constexpr Millis kReplaceWait{3000};
constexpr Millis kLook{100};
constexpr int kPercent = 100;
constexpr int kMostGenerations = 4;
constexpr Millis kRetryAfter{2000};

AttemptEnd NoRoom() {
  return AttemptRejected{
      "overloaded", "no group of engines has room for the prompt", kRetryAfter};
}

}  // namespace

GroupRunner::GroupRunner(GroupPorts ports, const CallerRequest& request,
                         std::vector<SubsetEndpoint> candidates,
                         TimePoint deadline)
    : ports_(std::move(ports)),
      request_(request),
      candidates_(std::move(candidates)),
      deadline_(deadline),
      inbox_(std::make_shared<StreamInbox>()) {}

GroupRunner::~GroupRunner() { ReleaseAll(); }

AttemptResult GroupRunner::Run(AttemptEvidence* evidence) {
  if (!CanEverFit()) {
    return AttemptEnd{AttemptRejected{
        "larger_than_engine",
        "no group of the engines that serve this model can hold the prompt",
        std::nullopt}};
  }
  AttemptEnd why = NoRoom();
  if (!ReserveAll(&why)) {
    return why;
  }
  evidence->OnSubmitted();
  AttemptResult result = why;
  for (int i = 0; i < kMostGenerations; ++i) {
    if (!PrefillAll(evidence, &why)) {
      return why;
    }
    result = Generate(evidence);
    const auto* end = std::get_if<AttemptEnd>(&result);
    const bool worth_another =
        end != nullptr && !std::holds_alternative<CallerDisconnected>(*end) &&
        !std::holds_alternative<AttemptTimedOut>(*end);
    if (!worth_another) {
      return result;
    }
    MarkLostMembers();
    const bool any_lost =
        std::any_of(members_.begin(), members_.end(),
                    [](const Member& member) { return member.lost; });
    if (!any_lost) {
      // Some engine lost its segment while its sidecar lives on; which one is
      // not known, so the group is formed anew and finds out in prefill.
      return result;
    }
  }
  return result;
}

EndpointId GroupRunner::DecodeEndpoint() const {
  return members_.empty() ? EndpointId{} : members_.back().segment.member;
}

bool GroupRunner::CanEverFit() const {
  std::vector<SegmentCandidate> empty;
  for (const SubsetEndpoint& endpoint : candidates_) {
    const Tokens usable = WithoutHeadroom(endpoint.memory, endpoint.memory);
    empty.push_back(SegmentCandidate{endpoint.id, usable, endpoint.memory});
  }
  return PlanSegments(request_.prompt_tokens, request_.answer_tokens,
                      std::move(empty))
      .has_value();
}

Tokens GroupRunner::WithoutHeadroom(Tokens free, Tokens memory) const {
  // The sidecar refuses what would take the headroom of short requests.
  return free - Tokens{memory.value * ports_.short_headroom_percent / kPercent};
}

bool GroupRunner::ReserveAll(AttemptEnd* why) {
  GroupReservation reservation(deadline_, ports_.attempt.clock, ports_.random);
  while (!IsOutOfTime(why)) {
    const auto plan =
        PlanSegments(request_.prompt_tokens, request_.answer_tokens,
                     Candidates(), ports_.min_members);
    if (!plan) {
      // Reports are late: what looks full now may be free at the next one.
      if (!ports_.attempt.sink->OnIdle()) {
        *why = CallerDisconnected{};
        return false;
      }
      std::this_thread::sleep_for(kLook);
      continue;
    }
    const GroupStep step = AskAll(&reservation, *plan);
    if (std::holds_alternative<GroupReserved>(step)) {
      return true;
    }
    ReleaseAll();
    const auto* back = std::get_if<ReleaseMembers>(&step);
    if (back == nullptr) {
      return false;
    }
    std::this_thread::sleep_for(back->pause);
    ports_.min_members = std::max<std::size_t>(ports_.min_members / 2, 1);
  }
  return false;
}

GroupStep GroupRunner::AskAll(GroupReservation* reservation,
                              const std::vector<Segment>& segments) {
  members_.clear();
  GroupStep step = reservation->Begin(segments);
  for (const Segment& segment : segments) {
    Member member;
    member.segment = segment;
    member.link = LinkTo(segment.member);
    members_.push_back(std::move(member));
  }
  for (Member& member : members_) {
    step = Ask(reservation, &member);
  }
  const TimePoint until = ports_.attempt.clock() + kAnswerWait;
  while (std::holds_alternative<WaitForMembers>(step)) {
    const auto event = inbox_->Take(until);
    if (!event) {
      break;
    }
    const auto* message = std::get_if<wire::Message>(&*event);
    const StreamId stream = message != nullptr
                                ? StreamOf(*message)
                                : std::get<LinkLost>(*event).stream;
    const Member* member = FindByStream(stream);
    if (member == nullptr) {
      continue;
    }
    const bool reserved =
        message != nullptr && std::holds_alternative<wire::Reserved>(*message);
    step = reserved ? reservation->OnReserved(member->segment.member)
                    : reservation->OnRefused(member->segment.member);
  }
  // A member that gave no word in time counts as one that refused; what it may
  // still reserve is cancelled with the others.
  for (const Member& member : members_) {
    if (std::holds_alternative<WaitForMembers>(step)) {
      step = reservation->OnRefused(member.segment.member);
    }
  }
  return step;
}

GroupStep GroupRunner::Ask(GroupReservation* reservation, Member* member) {
  member->reservation = ports_.attempt.links->OpenStream(member->link, inbox_);
  const wire::Reserve reserve{member->reservation, request_.model,
                              member->segment.reserve, kReservationTtl};
  if (!ports_.attempt.links->Send(member->link, reserve)) {
    return reservation->OnRefused(member->segment.member);
  }
  return WaitForMembers{};
}

bool GroupRunner::PrefillAll(AttemptEvidence* evidence, AttemptEnd* why) {
  while (!IsOutOfTime(why)) {
    if (!ReplaceLost(why)) {
      return false;
    }
    bool all = true;
    for (Member& member : members_) {
      if (!member.ready && member.prefill.value == 0) {
        SubmitSegment(&member);
      }
      all = all && member.ready;
    }
    if (all) {
      return true;
    }
    RenewAll();
    const auto event = inbox_->Take(ports_.attempt.clock() + kLook);
    if (event) {
      OnEvent(*event, evidence);
    } else if (!ports_.attempt.sink->OnIdle()) {
      *why = CallerDisconnected{};
      return false;
    }
  }
  return false;
}

void GroupRunner::SubmitSegment(Member* member) {
  const auto deadline = member->link->Convert(deadline_);
  if (!deadline) {
    member->lost = true;
    return;
  }
  const std::size_t begin =
      static_cast<std::size_t>(member->segment.begin.value) * kBytesPerToken;
  const std::size_t bytes =
      static_cast<std::size_t>(member->segment.length.value) * kBytesPerToken;
  const std::string body = request_.prompt.substr(begin, bytes);
  member->prefill = ports_.attempt.links->OpenStream(member->link, inbox_);
  wire::Submit submit;
  submit.stream = member->prefill;
  submit.work = wire::Work::kSegment;
  submit.account = request_.account;
  submit.model = request_.model;
  submit.adapter = request_.adapter;
  submit.length = LengthClass::kLong;
  submit.prompt = member->segment.length;
  submit.deadline = *deadline;
  submit.reservation = member->reservation;
  submit.body_bytes = body.size();
  bool sent = ports_.attempt.links->Send(member->link, submit);
  for (std::size_t at = 0; sent && at < body.size(); at += wire::kChunkBytes) {
    sent = ports_.attempt.links->Send(
        member->link,
        wire::BodyChunk{member->prefill, body.substr(at, wire::kChunkBytes)});
  }
  member->lost = !sent;
}

void GroupRunner::OnEvent(const StreamEvent& event, AttemptEvidence* evidence) {
  const auto* message = std::get_if<wire::Message>(&event);
  if (message == nullptr) {
    Member* member = FindByStream(std::get<LinkLost>(event).stream);
    if (member != nullptr) {
      member->lost = true;
    }
    return;
  }
  Member* member = FindByStream(StreamOf(*message));
  if (member == nullptr) {
    return;
  }
  if (const auto* finished = std::get_if<wire::Finished>(message)) {
    member->ready = true;
    member->ref = finished->segment;
    evidence->OnStarted();
  } else if (std::holds_alternative<wire::Refused>(*message) ||
             std::holds_alternative<wire::Failed>(*message)) {
    member->lost = true;
  }
}

bool GroupRunner::ReplaceLost(AttemptEnd* why) {
  for (Member& member : members_) {
    if (!member.lost) {
      continue;
    }
    ports_.segments_redone->Add();
    failed_.insert(member.segment.member);
    Release(&member);
    if (!Replace(&member)) {
      *why =
          AttemptLost{"a member of the group was lost and no other has room"};
      return false;
    }
  }
  return true;
}

bool GroupRunner::Replace(Member* member) {
  // Reports are late, so one look is not enough to say that nobody has room.
  const TimePoint until =
      std::min(deadline_, ports_.attempt.clock() + kReplaceWait);
  constexpr bool kMembersToo = true;
  while (ports_.attempt.clock() < until) {
    if (ReplaceAmong(member, !kMembersToo) ||
        ReplaceAmong(member, kMembersToo)) {
      return true;
    }
    std::this_thread::sleep_for(kLook);
  }
  return false;
}

bool GroupRunner::ReplaceAmong(Member* member, bool members_too) {
  std::set<EndpointId> taken = failed_;
  for (const Member& other : members_) {
    if (!members_too) {
      taken.insert(other.segment.member);
    }
  }
  for (const SegmentCandidate& candidate : Candidates()) {
    if (taken.count(candidate.id) == 0 &&
        !(candidate.free_memory < member->segment.reserve) &&
        ReserveAt(candidate.id, member)) {
      return true;
    }
  }
  return false;
}

bool GroupRunner::ReserveAt(const EndpointId& id, Member* member) {
  Member fresh;
  fresh.segment = member->segment;
  fresh.segment.member = id;
  fresh.link = LinkTo(id);
  GroupReservation one(deadline_, ports_.attempt.clock, ports_.random);
  one.Begin({fresh.segment});
  Ask(&one, &fresh);
  *member = std::move(fresh);
  const TimePoint until = ports_.attempt.clock() + kAnswerWait;
  while (auto event = inbox_->Take(until)) {
    const auto* message = std::get_if<wire::Message>(&*event);
    const bool about_this =
        message != nullptr && StreamOf(*message) == member->reservation;
    if (!about_this) {
      AttemptEvidence ignored;
      OnEvent(*event, &ignored);
      continue;
    }
    if (std::holds_alternative<wire::Reserved>(*message)) {
      return true;
    }
    break;
  }
  Release(member);
  return false;
}

AttemptResult GroupRunner::Generate(AttemptEvidence* evidence) {
  const Member& lead = members_.back();
  wire::Submit submit;
  submit.work = wire::Work::kGenerate;
  submit.account = request_.account;
  submit.model = request_.model;
  submit.adapter = request_.adapter;
  submit.length = LengthClass::kLong;
  submit.answer = request_.answer_tokens;
  submit.resume_from = ports_.attempt.assembler->NextPosition();
  submit.reservation = lead.reservation;
  for (const Member& member : members_) {
    submit.segments.push_back(member.ref);
  }
  // While the lead generates, the reservations must be renewed from here.
  class RenewingSink : public AnswerSink {
   public:
    RenewingSink(GroupRunner* runner, AnswerSink* inner)
        : runner_(runner), inner_(inner) {}
    bool OnPart(const std::string& part) override {
      runner_->RenewAll();
      return inner_->OnPart(part);
    }
    bool OnIdle() override {
      runner_->RenewAll();
      return inner_->OnIdle();
    }

   private:
    GroupRunner* runner_;
    AnswerSink* inner_;
  };
  RenewingSink sink(this, ports_.attempt.sink);
  AttemptPorts ports = ports_.attempt;
  ports.sink = &sink;
  Attempt attempt(ports, lead.link, AttemptTimes{deadline_});
  return attempt.Run(std::move(submit), "", evidence);
}

void GroupRunner::MarkLostMembers() {
  // Which member broke the generation is not always said: each is asked to
  // renew, and one that cannot is lost.
  next_renewal_ = TimePoint{};
  RenewAll();
  std::set<std::uint64_t> alive;
  const TimePoint until = ports_.attempt.clock() + kAnswerWait;
  while (alive.size() < members_.size()) {
    const auto event = inbox_->Take(until);
    if (!event) {
      break;
    }
    const auto* message = std::get_if<wire::Message>(&*event);
    if (message != nullptr &&
        std::holds_alternative<wire::Reserved>(*message)) {
      alive.insert(StreamOf(*message).value);
    }
  }
  for (Member& member : members_) {
    member.lost = alive.count(member.reservation.value) == 0;
  }
}

void GroupRunner::RenewAll() {
  const TimePoint now = ports_.attempt.clock();
  if (now < next_renewal_) {
    return;
  }
  next_renewal_ = now + kRenewEvery;
  for (const Member& member : members_) {
    ports_.attempt.links->Send(
        member.link, wire::Reserve{member.reservation, request_.model,
                                   member.segment.reserve, kReservationTtl});
  }
}

void GroupRunner::Release(Member* member) {
  LinkPool* links = ports_.attempt.links;
  for (const StreamId stream : {member->prefill, member->reservation}) {
    if (stream.value != 0) {
      links->Send(member->link, wire::Cancel{stream});
      links->CloseStream(member->link, stream);
    }
  }
  member->prefill = StreamId{};
  member->reservation = StreamId{};
}

void GroupRunner::ReleaseAll() {
  for (Member& member : members_) {
    Release(&member);
  }
  members_.clear();
}

GroupRunner::Member* GroupRunner::FindByStream(StreamId stream) {
  for (Member& member : members_) {
    if (member.reservation == stream || member.prefill == stream) {
      return &member;
    }
  }
  return nullptr;
}

std::vector<SegmentCandidate> GroupRunner::Candidates() const {
  std::vector<SegmentCandidate> candidates;
  for (const SubsetEndpoint& endpoint : candidates_) {
    const auto link =
        ports_.attempt.links->Get(endpoint.id, endpoint.link_address);
    if (!link->IsUsable() || link->IsDraining() ||
        !ports_.is_available(endpoint.id) || failed_.count(endpoint.id) > 0) {
      continue;
    }
    const EndpointView view = link->View();
    const Tokens free =
        WithoutHeadroom(view.load.free_memory, view.load.memory);
    candidates.push_back(SegmentCandidate{endpoint.id, free, view.load.memory});
  }
  return candidates;
}

std::shared_ptr<Link> GroupRunner::LinkTo(const EndpointId& id) {
  for (const SubsetEndpoint& endpoint : candidates_) {
    if (endpoint.id == id) {
      return ports_.attempt.links->Get(id, endpoint.link_address);
    }
  }
  return nullptr;
}

bool GroupRunner::IsOutOfTime(AttemptEnd* why) const {
  if (ports_.attempt.clock() < deadline_) {
    return false;
  }
  *why = AttemptTimedOut{};
  return true;
}

}  // namespace harecrank
