#include "src/entry/link_pool.h"

#include <utility>

namespace harecrank {
namespace {

constexpr Millis kRedialPause{500};
constexpr Millis kIdleClose{30000};

// Returns the stream that a message from a sidecar belongs to, or zero.
struct StreamOfMessage {
  std::uint64_t operator()(const wire::Accepted& m) const {
    return m.stream.value;
  }
  std::uint64_t operator()(const wire::Started& m) const {
    return m.stream.value;
  }
  std::uint64_t operator()(const wire::Output& m) const {
    return m.stream.value;
  }
  std::uint64_t operator()(const wire::Finished& m) const {
    return m.stream.value;
  }
  std::uint64_t operator()(const wire::Refused& m) const {
    return m.stream.value;
  }
  std::uint64_t operator()(const wire::Failed& m) const {
    return m.stream.value;
  }
  std::uint64_t operator()(const wire::TicketAnswer& m) const {
    return m.call.value;
  }
  std::uint64_t operator()(const wire::Reserved& m) const {
    return m.stream.value;
  }
  template <typename Other>
  std::uint64_t operator()(const Other&) const {
    return 0;
  }
};

}  // namespace

StreamId StreamOf(const wire::Message& message) {
  return StreamId{std::visit(StreamOfMessage{}, message)};
}

void StreamInbox::Put(StreamEvent event) {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    events_.push_back(std::move(event));
  }
  added_.notify_one();
}

std::optional<StreamEvent> StreamInbox::Take(TimePoint until) {
  std::unique_lock<std::mutex> lock(mutex_);
  added_.wait_until(lock, until, [this] { return !events_.empty(); });
  if (events_.empty()) {
    return std::nullopt;
  }
  StreamEvent event = std::move(events_.front());
  events_.pop_front();
  return event;
}

Link::Link(EndpointId endpoint, std::string address, MonotonicClock clock)
    : endpoint_(std::move(endpoint)),
      address_(std::move(address)),
      clock_(std::move(clock)),
      last_heard_(clock_()),
      last_used_(last_heard_),
      next_dial_(last_heard_) {}

bool Link::IsUsable() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return open_ && remote_clock_.Convert(last_heard_).has_value() &&
         clock_() - last_heard_ <= pulse_interval_ * kMissedBeforeSilent;
}

bool Link::IsSilent() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return clock_() - last_heard_ > pulse_interval_ * kMissedBeforeSilent;
}

bool Link::IsDraining() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return draining_;
}

EndpointView Link::View() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  EndpointView view;
  view.id = endpoint_;
  view.load = load_;
  view.unreported = unreported_;
  return view;
}

std::optional<RemoteMillis> Link::Convert(TimePoint deadline) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return remote_clock_.Convert(deadline);
}

void Link::AddUnreported(Tokens tokens) {
  const std::lock_guard<std::mutex> lock(mutex_);
  unreported_ = unreported_ + tokens;
}

LinkPool::LinkPool(NodeId self, Incarnation incarnation, MonotonicClock clock,
                   Metrics* metrics)
    : self_(std::move(self)),
      incarnation_(incarnation),
      clock_(std::move(clock)),
      opened_(metrics->GetCounter("harecrank_links_opened_total")),
      lost_(metrics->GetCounter("harecrank_links_lost_total")),
      pulses_(metrics->GetCounter("harecrank_pulses_received_total")) {
  LinkClient::Handlers handlers;
  handlers.on_open = [this](DialId dial) { OnOpen(dial); };
  handlers.on_message = [this](DialId dial, wire::Message message) {
    OnMessage(dial, std::move(message));
  };
  handlers.on_close = [this](DialId dial) { OnClose(dial); };
  client_ = std::make_unique<LinkClient>(std::move(handlers));
}

LinkPool::~LinkPool() { Stop(); }

std::shared_ptr<Link> LinkPool::Get(const EndpointId& endpoint,
                                    const std::string& address) {
  std::shared_ptr<Link> link;
  bool fresh = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& held = links_[endpoint];
    // An endpoint that moved to another host gets a new link.
    if (held == nullptr || held->Address() != address) {
      held = std::make_shared<Link>(endpoint, address, clock_);
      fresh = true;
    }
    link = held;
  }
  {
    const std::lock_guard<std::mutex> lock(link->mutex_);
    link->last_used_ = clock_();
  }
  if (fresh) {
    DialLink(link);
  }
  return link;
}

void LinkPool::Maintain(const std::map<EndpointId, std::string>& wanted) {
  for (const auto& [endpoint, address] : wanted) {
    Get(endpoint, address);
  }
  const TimePoint now = clock_();
  for (const auto& link : All()) {
    bool redial = false;
    bool cut = false;
    bool idle = false;
    DialId dial;
    {
      const std::lock_guard<std::mutex> lock(link->mutex_);
      dial = link->dial_;
      redial = dial.value == 0 && now >= link->next_dial_;
      cut = link->open_ && now - link->last_heard_ >
                               link->pulse_interval_ * Link::kMissedBeforeClose;
      idle = link->streams_.empty() && now - link->last_used_ > kIdleClose;
    }
    if (idle) {
      const std::lock_guard<std::mutex> lock(mutex_);
      links_.erase(link->Endpoint());
    }
    if (idle || cut) {
      client_->Close(dial);
      OnClose(dial);
    } else if (redial) {
      DialLink(link);
    }
  }
}

StreamId LinkPool::OpenStream(const std::shared_ptr<Link>& link,
                              std::shared_ptr<StreamInbox> inbox) {
  const StreamId stream{next_stream_.fetch_add(1)};
  const std::lock_guard<std::mutex> lock(link->mutex_);
  link->streams_.emplace(stream.value, std::move(inbox));
  link->last_used_ = clock_();
  return stream;
}

void LinkPool::CloseStream(const std::shared_ptr<Link>& link, StreamId stream) {
  const std::lock_guard<std::mutex> lock(link->mutex_);
  link->streams_.erase(stream.value);
}

bool LinkPool::Send(const std::shared_ptr<Link>& link,
                    const wire::Message& message) {
  DialId dial;
  {
    const std::lock_guard<std::mutex> lock(link->mutex_);
    if (!link->open_) {
      return false;
    }
    dial = link->dial_;
  }
  return client_->Send(dial, message);
}

std::vector<std::shared_ptr<Link>> LinkPool::All() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::vector<std::shared_ptr<Link>> all;
  for (const auto& link : links_) {
    all.push_back(link.second);
  }
  return all;
}

void LinkPool::Stop() { client_->Stop(); }

void LinkPool::OnOpen(DialId dial) {
  const auto link = Find(dial);
  if (link == nullptr) {
    return;
  }
  {
    const std::lock_guard<std::mutex> lock(link->mutex_);
    link->open_ = true;
    link->last_heard_ = clock_();
  }
  opened_->Add();
  client_->Send(dial, wire::Hello{wire::kProtocolVersion, self_, incarnation_});
}

void LinkPool::OnMessage(DialId dial, wire::Message message) {
  const auto link = Find(dial);
  if (link == nullptr) {
    return;
  }
  const TimePoint now = clock_();
  const std::uint64_t stream = StreamOf(message).value;
  std::shared_ptr<StreamInbox> inbox;
  {
    const std::lock_guard<std::mutex> lock(link->mutex_);
    link->last_heard_ = now;
    if (const auto* pulse = std::get_if<wire::SidecarHeartbeat>(&message)) {
      pulses_->Add();
      link->remote_clock_.OnPulse(pulse->clock, now);
      link->load_ = pulse->load;
      link->draining_ = pulse->draining;
      link->unreported_ = Tokens{0};
    }
    if (const auto* welcome = std::get_if<wire::Welcome>(&message)) {
      link->pulse_interval_ = welcome->pulse_interval;
    }
    const auto found = link->streams_.find(stream);
    if (found != link->streams_.end()) {
      inbox = found->second;
    }
  }
  // A message for a stream that was closed came late; nobody waits for it.
  if (inbox != nullptr) {
    inbox->Put(std::move(message));
  }
}

void LinkPool::OnClose(DialId dial) {
  std::shared_ptr<Link> link;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto found = by_dial_.find(dial.value);
    if (found == by_dial_.end()) {
      return;
    }
    link = found->second;
    by_dial_.erase(found);
  }
  std::unordered_map<std::uint64_t, std::shared_ptr<StreamInbox>> orphans;
  {
    const std::lock_guard<std::mutex> lock(link->mutex_);
    if (link->open_) {
      lost_->Add();
    }
    link->open_ = false;
    link->dial_ = DialId{};
    link->remote_clock_ = RemoteClock();
    link->next_dial_ = clock_() + kRedialPause;
    orphans.swap(link->streams_);
  }
  for (const auto& orphan : orphans) {
    orphan.second->Put(LinkLost{StreamId{orphan.first}});
  }
}

void LinkPool::DialLink(const std::shared_ptr<Link>& link) {
  // Held while dialling, so that no handler of this dial runs before the link
  // can be found by it.
  const std::lock_guard<std::mutex> lock(mutex_);
  const DialId dial = client_->Dial(link->Address());
  by_dial_.emplace(dial.value, link);
  const std::lock_guard<std::mutex> link_lock(link->mutex_);
  link->dial_ = dial;
}

std::shared_ptr<Link> LinkPool::Find(DialId dial) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  const auto found = by_dial_.find(dial.value);
  return found == by_dial_.end() ? nullptr : found->second;
}

}  // namespace harecrank
