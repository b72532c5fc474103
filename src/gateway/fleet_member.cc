#include "src/gateway/fleet_member.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <utility>

namespace harecrank {
namespace {

// How soon after a change the planner is told.
constexpr Millis kSoon{1};
// The pause between two words to strangers: while no planner is known, and
// then.
constexpr Millis kSearchInterval{100};
constexpr Millis kLongestSearch{800};
constexpr Millis kStrangerInterval{1000};
// A planner that has not been heard for this long has missed a word.
constexpr Millis kMissedWord{400};

}  // namespace

struct FleetMember::Receiver {
  FleetMember* member;

  void operator()(const Heartbeat& word) const { member->OnHeartbeat(word); }
  void operator()(const PlacementQuery& ask) const {
    member->desk_.OnQuery(ask);
  }
  void operator()(const PlacementReply& answer) const {
    member->book_->OnMessageReceived(answer.from);
    if (answer.from == member->followed_) {
      member->planner_heard_ = member->clock_();
    }
    member->places_.OnReply(answer);
  }
  void operator()(const ProgressReport& note) const {
    member->desk_.OnProgressReport(note);
  }
  void operator()(const PublishedChanges& published) const {
    member->OnChanges(published);
  }
  void operator()(const CrashReports& told) const {
    member->book_->OnMessageReceived(told.from);
    member->crashes_.OnReports(told);
  }
};

FleetMember::FleetMember(boost::asio::io_context* io, NodeId node,
                         KnownHost self, Incarnation incarnation,
                         Membership* book, Planner* planner,
                         EndpointHealth* health, FleetSocket* socket,
                         FleetMemberPorts ports, EventLog* log,
                         Metrics* metrics, MonotonicClock clock,
                         RandomSource random)
    : io_(io),
      node_(std::move(node)),
      self_(std::move(self)),
      incarnation_(incarnation),
      book_(book),
      planner_(planner),
      health_(health),
      socket_(socket),
      ports_(std::move(ports)),
      log_(log),
      clock_(std::move(clock)),
      random_(std::move(random)),
      places_(io, self_.address, incarnation, MakePlacePorts(), clock_),
      desk_(io, self_.address, planner, MakeDeskPorts(), log, metrics, clock_),
      relay_(io, self_.address, book, socket, MakeRelayPorts(), log, clock_,
             random_),
      crashes_(io, self_.address, book, socket,
               {ports_.on_crashes, ports_.shared_crashes,
                [this] { return IsPlanner(); }}),
      peers_log_(log, clock_),
      tick_timer_(*io),
      tell_timer_(*io) {}

PlacementClientPorts FleetMember::MakePlacePorts() {
  PlacementClientPorts ports;
  ports.planner = [this] { return book_->Planner(); };
  ports.send = [this](const HostAddress& to, const FleetMessage& message) {
    Send(to, message);
  };
  ports.on_silent = [this](const HostAddress& host) {
    book_->OnUnresponsive(host);
    log_->Write("planner_silent", {{"planner", host.value}, {"by", "ask"}},
                LogRateLimit::kExempt);
    FollowPlanner();
  };
  ports.on_redirect = [this](const HostAddress& host,
                             const HostAddress& planner) {
    book_->OnRedirect(host, planner);
    Probe(planner);
    FollowPlanner();
  };
  return ports;
}

PlannerServicePorts FleetMember::MakeDeskPorts() {
  PlannerServicePorts ports;
  ports.planner = [this] { return book_->Planner(); };
  ports.send = [this](const HostAddress& to, const FleetMessage& message) {
    Send(to, message);
  };
  return ports;
}

PublicationRelayPorts FleetMember::MakeRelayPorts() {
  PublicationRelayPorts ports;
  ports.describe = [this] { return Described(); };
  ports.published = ports_.published;
  ports.on_published = ports_.on_published;
  ports.is_parsing_routing = ports_.is_parsing_routing;
  ports.is_planner = [this] { return IsPlanner(); };
  ports.announce = [this] { Announce(); };
  ports.tell_planner = [this] { SendHeartbeatSoon(); };
  return ports;
}

void FleetMember::Start() {
  socket_->Start([this](const FleetMessage& message) { OnMessage(message); });
  Tick();
}

void FleetMember::Leave() {
  book_->Leave();
  FollowPlanner();
  Announce();
}

void FleetMember::Send(const HostAddress& to, const FleetMessage& message) {
  if (to != self_.address) {
    socket_->Send(to, message);
    return;
  }
  // As if it had come from another host, and never from within a call.
  boost::asio::post(*io_, [this, message] { OnMessage(message); });
}

void FleetMember::OnMessage(const FleetMessage& message) {
  std::visit(Receiver{this}, message);
}

void FleetMember::OnHeartbeat(const Heartbeat& word) {
  const TimePoint now = clock_();
  if (book_->OnHeartbeat(word)) {
    peers_log_.OnMessageReceived();
  }
  if (word.address == followed_) {
    planner_heard_ = now;
  } else if (word.planner == word.address && followed_.has_value() &&
             *followed_ != self_.address &&
             now - planner_heard_ > kMissedWord) {
    // Another host took over, and the old planner has missed a word.
    book_->OnUnresponsive(*followed_);
  }
  if (word.planner != word.address) {
    Probe(word.planner);
  }
  for (const AvoidedEndpoint& endpoint : word.avoided) {
    health_->OnAvoidedByPeer(endpoint.id, endpoint.left);
  }
  ports_.on_limits(word.limits);
  FollowPlanner();
  if (word.planner == word.address && word.address != followed_) {
    // It plans, for some hosts at least, and must not take this host's engines
    // for idle.
    Heartbeat account = OwnWord();
    account.work = places_.Work();
    Send(word.address, account);
  }
  const Heartbeat own = Described();
  HearOfSource(word, own);
  crashes_.Repair(word, own.crash_digest);
  relay_.FetchIfBehind(own);
  desk_.OnHeartbeat(word);
  if (word.wants_reply) {
    Reply(word);
  }
}

void FleetMember::Reply(const Heartbeat& word) {
  Heartbeat reply = OwnWord();
  reply.hosts = book_->PartialViewFor(word.address);
  if (IsPlanner()) {
    TellTurn(word.address, &reply);
  }
  Send(word.address, reply);
}

void FleetMember::TellTurn(const HostAddress& reader, Heartbeat* word) const {
  const auto found = std::find(readers_.begin(), readers_.end(), reader);
  word->should_poll = found != readers_.end();
  if (*word->should_poll) {
    // While the platform does not answer this host, the first reads for it.
    word->poll_rank =
        static_cast<int>(found - readers_.begin()) + (is_answered_ ? 1 : 0);
  }
}

void FleetMember::TellReaders() {
  readers_ = book_->StorePollers();
  is_answered_ = Described().poll_state == PollState::kAnswered;
  Heartbeat word = OwnWord();
  for (const HostAddress& reader : readers_) {
    TellTurn(reader, &word);
    Send(reader, word);
  }
}

void FleetMember::Probe(const HostAddress& planner) {
  const TimePoint now = clock_();
  const bool is_known =
      planner.value.empty() || planner == self_.address || planner == followed_;
  if (is_known || now - probed_at_ < kSearchInterval) {
    return;
  }
  probed_at_ = now;
  Heartbeat word = OwnWord();
  word.wants_reply = true;
  Send(planner, word);
}

Heartbeat FleetMember::Described() const {
  Heartbeat own;
  ports_.describe(&own);
  return own;
}

Heartbeat FleetMember::OwnWord() const {
  Heartbeat word = Described();
  word.node = node_;
  word.address = self_.address;
  word.incarnation = incarnation_;
  word.cpu_share = self_.cpu_share;
  word.leaving = book_->IsLeaving();
  word.planner = followed_.value_or(HostAddress{});
  word.alive_hosts = book_->ObservedHosts();
  word.avoided = health_->Avoided();
  word.limits = ports_.limits();
  return word;
}

void FleetMember::TellPlanner() {
  told_at_ = clock_();
  if (!followed_.has_value()) {
    return;
  }
  Heartbeat word = OwnWord();
  word.work = places_.Work();
  word.wants_reply = *followed_ != self_.address;
  if (*followed_ == self_.address) {
    planner_->OnHeartbeat(word);
    return;
  }
  Send(*followed_, word);
}

void FleetMember::SendHeartbeatSoon() {
  if (tells_soon_) {
    return;
  }
  tells_soon_ = true;
  tell_timer_.expires_after(kSoon);
  tell_timer_.async_wait([this](boost::system::error_code error) {
    tells_soon_ = false;
    if (!error) {
      TellPlanner();
    }
  });
}

void FleetMember::TellStrangers() {
  strangers_told_ = clock_();
  // Hundreds of hosts that start together turn to the same few seeds.
  search_interval_ = followed_.has_value()
                         ? kSearchInterval
                         : std::min(2 * search_interval_, kLongestSearch);
  Heartbeat word = OwnWord();
  word.wants_reply = true;
  for (const HostAddress& stranger : book_->GossipTargets()) {
    Send(stranger, word);
  }
}

void FleetMember::Announce() {
  socket_->SendToAll(book_->OtherAliveHosts(), OwnWord());
}

void FleetMember::FollowPlanner() {
  const auto planner = book_->Planner();
  if (planner == followed_) {
    return;
  }
  const bool planned = followed_ == self_.address;
  followed_ = planner;
  planner_heard_ = clock_();
  log_->Write("planner",
              {{"planner", planner.value_or(HostAddress{}).value},
               {"own", planner == self_.address},
               {"hosts", book_->ObservedHosts()}},
              LogRateLimit::kExempt);
  if (planned) {
    planner_->Clear();
  }
  if (planner == self_.address) {
    relay_.OnBecamePlanner();
    planner_->Begin(book_->OtherAliveHosts());
    Announce();
  }
  // Without a planner nobody else tells what this host has read.
  if (planner == self_.address) {
    ports_.on_poll_rank(0);
  } else if (planner.has_value() && planned) {
    ports_.on_poll_rank(std::nullopt);
  }
  SendHeartbeatSoon();
  // Not from within what told of the change.
  boost::asio::post(*io_, [this] { places_.OnPlannerChanged(); });
}

void FleetMember::LookForSilence() {
  const bool follows_other =
      followed_.has_value() && *followed_ != self_.address;
  if (follows_other && clock_() - planner_heard_ > kPlannerTimeout) {
    log_->Write("planner_silent",
                {{"planner", followed_->value}, {"by", "word"}},
                LogRateLimit::kExempt);
    book_->OnUnresponsive(*followed_);
  }
  FollowPlanner();
}

void FleetMember::Tick() {
  const TimePoint now = clock_();
  LookForSilence();
  peers_log_.Tick(book_->ObservedHosts(), IsPlanner());
  if (now - told_at_ >= kHeartbeatInterval) {
    TellPlanner();
  }
  const Millis strangers =
      followed_.has_value() ? kStrangerInterval : search_interval_;
  if (now - strangers_told_ >= strangers) {
    TellStrangers();
  }
  if (IsPlanner()) {
    readers_ = book_->StorePollers();
    is_answered_ = Described().poll_state == PollState::kAnswered;
    desk_.Tick();
  }
  relay_.FetchIfBehind(Described());
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tick();
    }
  });
}

void FleetMember::HearOfSource(const Heartbeat& word, const Heartbeat& own) {
  const bool from_planner = word.address == followed_;
  if (from_planner && word.should_poll.has_value()) {
    ports_.on_poll_rank(*word.should_poll ? std::make_optional(word.poll_rank)
                                          : std::nullopt);
  }
  if (own.known_up_to < word.known_up_to) {
    return;
  }
  // The planner tells what it has from others too; it itself believes only
  // those that read, or two hosts would assure each other of what neither sees.
  const bool informs =
      from_planner ? word.store_data_fresh
                   : IsPlanner() && word.poll_state == PollState::kAnswered;
  if (informs) {
    ports_.on_peer_freshness(word.store_data_age);
  }
}

void FleetMember::OnPollResult() {
  if (IsPlanner()) {
    TellReaders();
  } else {
    // The planner tells the others, and chooses who reads by it.
    SendHeartbeatSoon();
  }
}

void FleetMember::OnOverdueRefresh() {
  if (IsPlanner()) {
    Announce();
  }
}

void FleetMember::OnChanges(const PublishedChanges& published) {
  book_->OnMessageReceived(published.from);
  if (published.from == followed_) {
    planner_heard_ = clock_();
  }
  relay_.OnChanges(published);
}

}  // namespace harecrank
