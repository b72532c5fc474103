#include "src/gateway/fleet_member.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <limits>
#include <utility>

#include "harecrank/core/http_status.h"

namespace harecrank {
namespace {

// How often this looks after itself: words, silence, prompts that wait.
constexpr Millis kTick{40};
// How soon after a change the planner is told.
constexpr Millis kSoon{1};
// The pause between two words to strangers: while no planner is known, and
// then.
constexpr Millis kSearchInterval{100};
constexpr Millis kLongestSearch{800};
constexpr Millis kStrangerInterval{1000};
// A planner that has not been heard for this long has missed a word.
constexpr Millis kMissedWord{400};
// The pause between two questions to others for what they know of the platform,
// and how long an answer may take.
constexpr Millis kAskInterval{100};
constexpr Millis kAskTimeout{1500};
// What a host takes to send all that is known of some hundred endpoints.
constexpr Millis kSendTime{1};
// How long another host may know more before it is asked: what it tells by
// itself is on its way, or, for a host that reads, the service's own answer.
constexpr Millis kToldWithin{30};
constexpr Millis kReadWithin{450};
// Changes go by datagram up to this size. Larger ones, such as a configuration
// of many routes, are asked for over a connection.
constexpr std::size_t kMostTold = 16384;

}  // namespace

struct FleetMember::Receiver {
  FleetMember* member;

  void operator()(const HostWord& word) const { member->OnWord(word); }
  void operator()(const PlaceAsk& ask) const { member->OnAsk(ask); }
  void operator()(const PlaceAnswer& answer) const {
    member->book_->OnHeard(answer.from);
    if (answer.from == member->followed_) {
      member->planner_heard_ = member->clock_();
    }
    member->places_.OnAnswer(answer);
  }
  void operator()(const WorkNote& note) const { member->OnNote(note); }
  void operator()(const PublishedChanges& published) const {
    member->OnChanges(published);
  }
  void operator()(const CrashReports& told) const {
    member->OnCrashReports(told);
  }
};

FleetMember::FleetMember(boost::asio::io_context* io, NodeId node,
                         KnownHost self, Incarnation life, HostBook* book,
                         Planner* planner, EndpointHealth* health,
                         FleetSocket* socket, FleetMemberPorts ports,
                         EventLog* log, Metrics* metrics, MonotonicClock clock,
                         RandomSource random)
    : io_(io),
      node_(std::move(node)),
      self_(std::move(self)),
      life_(life),
      book_(book),
      planner_(planner),
      health_(health),
      socket_(socket),
      ports_(std::move(ports)),
      log_(log),
      metrics_(metrics),
      clock_(std::move(clock)),
      random_(std::move(random)),
      places_(io, self_.address, life, MakePlacePorts(), clock_),
      tick_timer_(*io),
      tell_timer_(*io),
      try_timer_(*io) {}

PlaceClientPorts FleetMember::MakePlacePorts() {
  PlaceClientPorts ports;
  ports.planner = [this] { return book_->Planner(); };
  ports.send = [this](const HostAddress& to, const FleetMessage& message) {
    Send(to, message);
  };
  ports.on_silent = [this](const HostAddress& host) {
    book_->OnSilent(host);
    log_->Write("planner_silent", {{"planner", host.value}, {"by", "ask"}},
                LogWeight::kAlwaysKept);
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

void FleetMember::OnWord(const HostWord& word) {
  const TimePoint now = clock_();
  if (book_->OnWord(word)) {
    log_->Write("peer_heard",
                {{"peer", word.node.value}, {"address", word.address.value}});
  }
  if (word.address == followed_) {
    planner_heard_ = now;
  } else if (word.planner == word.address && followed_.has_value() &&
             *followed_ != self_.address &&
             now - planner_heard_ > kMissedWord) {
    // Another host took over, and the old planner has missed a word.
    book_->OnSilent(*followed_);
  }
  if (word.planner != word.address) {
    Probe(word.planner);
  }
  for (const AvoidedEndpoint& endpoint : word.avoided) {
    health_->OnPeerAvoids(endpoint.id, endpoint.left);
  }
  ports_.on_limits(word.limits);
  FollowPlanner();
  if (word.planner == word.address && word.address != followed_) {
    // It plans, for some hosts at least, and must not take this host's engines
    // for idle.
    HostWord account = OwnWord();
    account.work = places_.Work();
    Send(word.address, account);
  }
  HearOfSource(word);
  RepairCrashes(word);
  AskBetterInformed();
  if (IsPlanner()) {
    planner_->OnWord(word);
    TryWaitingSoon();
  }
  if (word.wants_reply) {
    HostWord reply = OwnWord();
    reply.hosts = book_->HostsFor(word.address);
    if (IsPlanner()) {
      const std::vector<HostAddress> readers = book_->SourceReaders();
      reply.should_read = std::find(readers.begin(), readers.end(),
                                    word.address) != readers.end();
    }
    Send(word.address, reply);
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
  HostWord word = OwnWord();
  word.wants_reply = true;
  Send(planner, word);
}

void FleetMember::OnAsk(const PlaceAsk& ask) {
  PlaceAnswer answer{self_.address, ask.life, ask.id, NotPlanner{}};
  if (IsPlanner()) {
    metrics_->GetCounter("harecrank_gateway_asks_planned_total")->Add();
    answer.decision = planner_->OnAsk(ask);
    NoteTurnedAway(ask.host, ask.id, answer.decision);
  } else if (const auto planner = book_->Planner()) {
    answer.decision = NotPlanner{*planner};
  }
  Send(ask.host, answer);
}

void FleetMember::NoteTurnedAway(const HostAddress& host, AskId id,
                                 const PlaceDecision& decision) {
  const auto* refused = std::get_if<AskRefused>(&decision);
  if (refused == nullptr || !refused->return_after.has_value()) {
    return;
  }
  log_->Write("turned_away",
              {{"host", host.value},
               {"ask", id.value},
               {"return_after_ms", refused->return_after->count()},
               {"promises", planner_->PromiseCount()}});
}

void FleetMember::OnNote(const WorkNote& note) {
  if (IsPlanner()) {
    planner_->OnNote(note);
    TryWaitingSoon();
  }
}

void FleetMember::TellCrash(CrashReport report) {
  untold_crashes_.push_back(std::move(report));
  if (untold_crashes_.size() == 1) {
    boost::asio::post(*io_, [this] { TellCrashes(); });
  }
}

void FleetMember::TellCrashes() {
  const CrashReports told{self_.address, std::move(untold_crashes_)};
  untold_crashes_.clear();
  for (const HostAddress& host : book_->AliveOthers()) {
    Send(host, told);
  }
}

void FleetMember::OnCrashReports(const CrashReports& told) {
  book_->OnHeard(told.from);
  CrashReports missing{self_.address, {}};
  std::vector<CrashReport> news =
      ports_.on_crashes(told.reports, &missing.reports);
  if (!missing.reports.empty()) {
    Send(told.from, missing);
  }
  // Other hosts do not know all that are alive; the planner does.
  if (IsPlanner()) {
    for (CrashReport& report : news) {
      TellCrash(std::move(report));
    }
  }
}

void FleetMember::RepairCrashes(const HostWord& word) {
  HostWord own;
  ports_.describe(&own);
  if (own.crash_digest == word.crash_digest || own.crash_digest == 0) {
    return;
  }
  Send(word.address, CrashReports{self_.address, ports_.shared_crashes()});
}

HostWord FleetMember::OwnWord() const {
  HostWord word;
  word.node = node_;
  word.address = self_.address;
  word.life = life_;
  word.power = self_.power;
  word.leaving = book_->IsLeaving();
  word.planner = followed_.value_or(HostAddress{});
  word.alive_hosts = book_->CountedHosts();
  word.avoided = health_->Avoided();
  word.limits = ports_.limits();
  ports_.describe(&word);
  return word;
}

void FleetMember::TellPlanner() {
  told_at_ = clock_();
  if (!followed_.has_value()) {
    return;
  }
  HostWord word = OwnWord();
  word.work = places_.Work();
  word.wants_reply = *followed_ != self_.address;
  if (*followed_ == self_.address) {
    planner_->OnWord(word);
    return;
  }
  Send(*followed_, word);
}

void FleetMember::TellSoon() {
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
  HostWord word = OwnWord();
  word.wants_reply = true;
  for (const HostAddress& stranger : book_->Strangers()) {
    Send(stranger, word);
  }
}

void FleetMember::Announce() {
  const HostWord word = OwnWord();
  for (const HostAddress& host : book_->AliveOthers()) {
    Send(host, word);
  }
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
               {"hosts", book_->CountedHosts()}},
              LogWeight::kAlwaysKept);
  if (planned) {
    planner_->Clear();
  }
  if (planner == self_.address) {
    HostWord own;
    ports_.describe(&own);
    told_up_to_ = own.known_up_to;
    planner_->Begin(book_->AliveOthers());
    Announce();
  }
  // Without a planner nobody else tells what this host has read.
  if (planner.has_value() && (planned || planner == self_.address)) {
    ports_.on_should_read(planner == self_.address);
  }
  TellSoon();
  // Not from within what told of the change.
  boost::asio::post(*io_, [this] { places_.OnPlannerChanged(); });
}

void FleetMember::LookForSilence() {
  const bool follows_other =
      followed_.has_value() && *followed_ != self_.address;
  if (follows_other && clock_() - planner_heard_ > kWordSilence) {
    log_->Write("planner_silent",
                {{"planner", followed_->value}, {"by", "word"}},
                LogWeight::kAlwaysKept);
    book_->OnSilent(*followed_);
  }
  FollowPlanner();
}

void FleetMember::Tick() {
  const TimePoint now = clock_();
  LookForSilence();
  if (now - told_at_ >= kWordInterval) {
    TellPlanner();
  }
  const Millis strangers =
      followed_.has_value() ? kStrangerInterval : search_interval_;
  if (now - strangers_told_ >= strangers) {
    TellStrangers();
  }
  if (IsPlanner()) {
    planner_->DropSilent();
    if (now - tried_at_ >= kTryInterval) {
      TryWaiting();
    }
  }
  AskBetterInformed();
  tick_timer_.expires_after(kTick);
  tick_timer_.async_wait([this](boost::system::error_code error) {
    if (!error) {
      Tick();
    }
  });
}

void FleetMember::TryWaiting() {
  tried_at_ = clock_();
  if (planner_->WaitingCount() == 0) {
    return;
  }
  for (DuePlace& due : planner_->TryWaiting()) {
    NoteTurnedAway(due.host, due.id, due.decision);
    Send(due.host,
         PlaceAnswer{self_.address, due.life, due.id, std::move(due.decision)});
  }
}

void FleetMember::TryWaitingSoon() {
  if (tries_soon_ || planner_->WaitingCount() == 0) {
    return;
  }
  tries_soon_ = true;
  try_timer_.expires_after(kTryPause);
  try_timer_.async_wait([this](boost::system::error_code error) {
    tries_soon_ = false;
    if (!error && IsPlanner()) {
      TryWaiting();
    }
  });
}

void FleetMember::HearOfSource(const HostWord& word) {
  const bool from_planner = word.address == followed_;
  if (from_planner && word.should_read.has_value()) {
    ports_.on_should_read(*word.should_read);
  }
  HostWord own;
  ports_.describe(&own);
  if (own.known_up_to < word.known_up_to) {
    return;
  }
  // The planner tells what it has from others too; it itself believes only
  // those that read, or two hosts would assure each other of what neither sees.
  const bool informs =
      from_planner ? word.source_well
                   : IsPlanner() && word.own_reading == OwnReading::kAnswered;
  if (informs) {
    ports_.on_informed(word.source_age);
  }
}

void FleetMember::OnPublished() {
  if (tells_published_) {
    return;
  }
  tells_published_ = true;
  // What was published together is told together.
  boost::asio::post(*io_, [this] { TellPublished(); });
}

void FleetMember::OnSourceChanged() {
  // Those that follow rely on it; the planner chooses who reads by it.
  if (IsPlanner()) {
    Announce();
  } else {
    TellSoon();
  }
}

void FleetMember::TellPublished() {
  tells_published_ = false;
  HostWord own;
  ports_.describe(&own);
  if (!(told_up_to_ < own.known_up_to)) {
    return;
  }
  const StoreRevision since = told_up_to_;
  told_up_to_ = own.known_up_to;
  const bool is_first = since == StoreRevision{};
  if (is_first && own.own_reading != OwnReading::kNone) {
    // Others that have just started too wait for what this host has read.
    Announce();
    return;
  }
  if (!IsPlanner()) {
    TellSoon();
    return;
  }
  std::string changes = ports_.published(since);
  if (changes.size() > kMostTold) {
    Announce();
    return;
  }
  const PublishedChanges published{self_.address, std::move(changes)};
  for (const HostAddress& host : book_->AliveOthers()) {
    Send(host, published);
  }
}

void FleetMember::OnChanges(const PublishedChanges& published) {
  book_->OnHeard(published.from);
  if (published.from == followed_) {
    planner_heard_ = clock_();
  }
  // Changes that leave a gap are asked for when the next word shows it.
  ports_.on_published(published.changes, true);
}

void FleetMember::AskBetterInformed() {
  const TimePoint now = clock_();
  HostWord own;
  ports_.describe(&own);
  // What this host is reading already need not be asked for.
  const RoutingVersion routing =
      ports_.reads_routing()
          ? RoutingVersion{std::numeric_limits<std::uint64_t>::max()}
          : own.routing;
  const auto host = book_->BetterInformed(routing, own.known_up_to);
  if (!host.has_value()) {
    behind_since_.reset();
    return;
  }
  if (!behind_since_.has_value()) {
    behind_since_ = now;
    // All hosts that have just started ask the same ones for everything.
    const auto spread =
        static_cast<std::uint64_t>(kSendTime.count() * book_->AliveHosts());
    start_spread_ = Millis(static_cast<std::int64_t>(random_() % spread));
  }
  const bool knows_nothing = own.routing == RoutingVersion{};
  const Millis grace = knows_nothing ? start_spread_
                       : own.own_reading == OwnReading::kAnswered ? kReadWithin
                                                                  : kToldWithin;
  if (now - *behind_since_ < grace || now - asked_at_ < kAskInterval || asks_) {
    return;
  }
  asked_at_ = now;
  asks_ = true;
  asking_ = std::make_shared<HttpClient>(io_, host->value);
  asking_->Get(
      kPublishedPath + std::to_string(own.known_up_to.value), kAskTimeout,
      [this, host = *host](const CallResult& result) {
        asks_ = false;
        const auto* reply = std::get_if<HttpReply>(&result);
        const bool taken = reply != nullptr &&
                           reply->result_int() == http_status::kOk &&
                           ports_.on_published(reply->body(), false);
        log_->Write("peer_asked", {{"address", host.value}, {"taken", taken}});
      });
}

}  // namespace harecrank
