#include "src/entry/group_runner.h"

#include <algorithm>
#include <thread>
#include <utility>

namespace harecrank {
namespace {

constexpr Millis kReservationTtl{6000};
constexpr Millis kRenewInterval{2000};
constexpr Millis kReserveTimeout{1000};
constexpr Millis kReplaceTimeout{3000};
constexpr Millis kPollInterval{100};
constexpr int kPercent = 100;
constexpr int kMaxGenerations = 4;
constexpr Millis kRetryAfter{2000};

AttemptEnd NoCapacity() {
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
  if (!FitsWhenIdle()) {
    return AttemptEnd{AttemptRejected{
        "larger_than_engine",
        "no group of the engines that serve this model can hold the prompt",
        std::nullopt}};
  }
  AttemptEnd end_reason = NoCapacity();
  if (!ReserveAll(&end_reason)) {
    return end_reason;
  }
  evidence->OnSubmitted();
  AttemptResult result = end_reason;
  for (int i = 0; i < kMaxGenerations; ++i) {
    if (!PrefillAll(evidence, &end_reason)) {
      return end_reason;
    }
    result = Generate(evidence);
    const auto* end = std::get_if<AttemptEnd>(&result);
    const bool can_retry = end != nullptr &&
                           !std::holds_alternative<CallerDisconnected>(*end) &&
                           !std::holds_alternative<AttemptTimedOut>(*end);
    if (!can_retry) {
      return result;
    }
    MarkLostMembers();
    const bool any_lost =
        std::any_of(members_.begin(), members_.end(),
                    [](const Member& member) { return member.lost; });
    if (!any_lost) {
      // All reservations were renewed, so an engine has lost its segment while
      // its sidecar still runs. It is not known which engine this is, so the
      // dispatcher retries with a new group. Failing engines are then found
      // during prefill.
      return result;
    }
  }
  return result;
}

EndpointId GroupRunner::DecodeEndpoint() const {
  return members_.empty() ? EndpointId{} : members_.back().segment.member;
}

bool GroupRunner::FitsWhenIdle() const {
  std::vector<SegmentCandidate> idle_engines;
  for (const SubsetEndpoint& endpoint : candidates_) {
    const Tokens usable = WithoutHeadroom(endpoint.memory, endpoint.memory);
    idle_engines.push_back(
        SegmentCandidate{endpoint.id, usable, endpoint.memory});
  }
  return PlanSegments(request_.prompt_tokens, request_.answer_tokens,
                      std::move(idle_engines))
      .has_value();
}

Tokens GroupRunner::WithoutHeadroom(Tokens free, Tokens memory) const {
  // The headroom for short requests does not count as free, since the sidecar
  // rejects reservations that would use it.
  return free - Tokens{memory.value * ports_.short_headroom_percent / kPercent};
}

bool GroupRunner::ReserveAll(AttemptEnd* end_reason) {
  GroupReservation reservation(deadline_, ports_.attempt.clock, ports_.random);
  while (!IsPastDeadline(end_reason)) {
    const auto plan =
        PlanSegments(request_.prompt_tokens, request_.answer_tokens,
                     Candidates(), ports_.min_members);
    if (!plan) {
      // The candidates' latest load reports show too little free memory. The
      // reports are delayed, so the next ones may already show enough.
      if (!ports_.attempt.sink->OnIdle()) {
        *end_reason = CallerDisconnected{};
        return false;
      }
      std::this_thread::sleep_for(kPollInterval);
      continue;
    }
    const GroupStep step = ReserveMembers(&reservation, *plan);
    if (std::holds_alternative<GroupReserved>(step)) {
      return true;
    }
    ReleaseAll();
    const auto* release_step = std::get_if<ReleaseMembers>(&step);
    if (release_step == nullptr) {
      return false;
    }
    std::this_thread::sleep_for(release_step->pause);
    ports_.min_members = std::max<std::size_t>(ports_.min_members / 2, 1);
  }
  return false;
}

GroupStep GroupRunner::ReserveMembers(GroupReservation* reservation,
                                      const std::vector<Segment>& segments) {
  members_.clear();
  GroupStep step = reservation->Begin(segments);
  for (const Segment& segment : segments) {
    Member member;
    member.segment = segment;
    member.link = GetLink(segment.member);
    members_.push_back(std::move(member));
  }
  for (Member& member : members_) {
    step = SendReserve(reservation, &member);
  }
  const TimePoint until = ports_.attempt.clock() + kReserveTimeout;
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
  // A member that has not replied in time counts as having rejected its
  // reservation. If it makes the reservation later, ReleaseAll cancels it
  // together with those of the other members.
  for (const Member& member : members_) {
    if (std::holds_alternative<WaitForMembers>(step)) {
      step = reservation->OnRefused(member.segment.member);
    }
  }
  return step;
}

GroupStep GroupRunner::SendReserve(GroupReservation* reservation,
                                   Member* member) {
  member->reservation = ports_.attempt.links->OpenStream(member->link, inbox_);
  const wire::Reserve reserve{member->reservation, request_.model,
                              member->segment.reserve, kReservationTtl};
  if (!ports_.attempt.links->Send(member->link, reserve)) {
    return reservation->OnRefused(member->segment.member);
  }
  return WaitForMembers{};
}

bool GroupRunner::PrefillAll(AttemptEvidence* evidence,
                             AttemptEnd* end_reason) {
  while (!IsPastDeadline(end_reason)) {
    if (!ReplaceLost(end_reason)) {
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
    const auto event = inbox_->Take(ports_.attempt.clock() + kPollInterval);
    if (event) {
      OnEvent(*event, evidence);
    } else if (!ports_.attempt.sink->OnIdle()) {
      *end_reason = CallerDisconnected{};
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
    member->segment_ref = finished->segment;
    evidence->OnStarted();
  } else if (std::holds_alternative<wire::Refused>(*message) ||
             std::holds_alternative<wire::Failed>(*message)) {
    member->lost = true;
  }
}

bool GroupRunner::ReplaceLost(AttemptEnd* end_reason) {
  for (Member& member : members_) {
    if (!member.lost) {
      continue;
    }
    ports_.segments_redone->Add();
    failed_.insert(member.segment.member);
    Release(&member);
    if (!Replace(&member)) {
      *end_reason =
          AttemptLost{"a member of the group was lost and no other has room"};
      return false;
    }
  }
  return true;
}

bool GroupRunner::Replace(Member* member) {
  // The search for a replacement is repeated until a time-out. Load reports are
  // delayed, so one search cannot show that no endpoint has free memory.
  const TimePoint until =
      std::min(deadline_, ports_.attempt.clock() + kReplaceTimeout);
  constexpr bool kReuseMembers = true;
  while (ports_.attempt.clock() < until) {
    if (TryReplace(member, !kReuseMembers) ||
        TryReplace(member, kReuseMembers)) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

bool GroupRunner::TryReplace(Member* member, bool reuse_members) {
  std::set<EndpointId> taken = failed_;
  for (const Member& other : members_) {
    if (!reuse_members) {
      taken.insert(other.segment.member);
    }
  }
  for (const SegmentCandidate& candidate : Candidates()) {
    if (taken.count(candidate.id) == 0 &&
        !(candidate.free_memory < member->segment.reserve) &&
        TryReserve(candidate.id, member)) {
      return true;
    }
  }
  return false;
}

bool GroupRunner::TryReserve(const EndpointId& id, Member* member) {
  Member replacement;
  replacement.segment = member->segment;
  replacement.segment.member = id;
  replacement.link = GetLink(id);
  GroupReservation single_reservation(deadline_, ports_.attempt.clock,
                                      ports_.random);
  single_reservation.Begin({replacement.segment});
  SendReserve(&single_reservation, &replacement);
  *member = std::move(replacement);
  const TimePoint until = ports_.attempt.clock() + kReserveTimeout;
  while (auto event = inbox_->Take(until)) {
    const auto* message = std::get_if<wire::Message>(&*event);
    const bool is_reply =
        message != nullptr && StreamOf(*message) == member->reservation;
    if (!is_reply) {
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
  const Member& decode_member = members_.back();
  wire::Submit submit;
  submit.work = wire::Work::kGenerate;
  submit.account = request_.account;
  submit.model = request_.model;
  submit.adapter = request_.adapter;
  submit.length = LengthClass::kLong;
  submit.answer = request_.answer_tokens;
  submit.resume_from = ports_.attempt.assembler->NextPosition();
  submit.reservation = decode_member.reservation;
  for (const Member& member : members_) {
    submit.segments.push_back(member.segment_ref);
  }
  // Renews the reservations of all members while the decode member generates.
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
  Attempt attempt(ports, decode_member.link, AttemptTimes{deadline_});
  return attempt.Run(std::move(submit), "", evidence);
}

void GroupRunner::MarkLostMembers() {
  // A failed generation does not always identify the member that failed, so
  // each member is asked to renew its reservation. A member that does not
  // confirm the renewal is lost.
  next_renewal_ = TimePoint{};
  RenewAll();
  std::set<std::uint64_t> renewed;
  const TimePoint until = ports_.attempt.clock() + kReserveTimeout;
  while (renewed.size() < members_.size()) {
    const auto event = inbox_->Take(until);
    if (!event) {
      break;
    }
    const auto* message = std::get_if<wire::Message>(&*event);
    if (message != nullptr &&
        std::holds_alternative<wire::Reserved>(*message)) {
      renewed.insert(StreamOf(*message).value);
    }
  }
  for (Member& member : members_) {
    member.lost = renewed.count(member.reservation.value) == 0;
  }
}

void GroupRunner::RenewAll() {
  const TimePoint now = ports_.attempt.clock();
  if (now < next_renewal_) {
    return;
  }
  next_renewal_ = now + kRenewInterval;
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

std::shared_ptr<Link> GroupRunner::GetLink(const EndpointId& id) {
  for (const SubsetEndpoint& endpoint : candidates_) {
    if (endpoint.id == id) {
      return ports_.attempt.links->Get(id, endpoint.link_address);
    }
  }
  return nullptr;
}

bool GroupRunner::IsPastDeadline(AttemptEnd* end_reason) const {
  if (ports_.attempt.clock() < deadline_) {
    return false;
  }
  *end_reason = AttemptTimedOut{};
  return true;
}

}  // namespace harecrank
