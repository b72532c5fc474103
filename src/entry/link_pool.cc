#include "src/entry/link_pool.h"

#include <utility>

namespace harecrank {
namespace {

constexpr Millis kRedialBackoff{500};
// How long a link without streams may be unused before it is closed.
constexpr Millis kIdleTimeout{30000};

// Returns the ID of the stream that a message from a sidecar belongs to, or
// zero.
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
      last_received_at_(clock_()),
      last_used_at_(last_received_at_),
      next_dial_at_(last_received_at_) {}

bool Link::IsUsable() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return open_ && remote_clock_.Convert(last_received_at_).has_value() &&
         clock_() - last_received_at_ <=
             heartbeat_interval_ * kMissedBeforeSilent;
}

bool Link::IsSilent() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return clock_() - last_received_at_ >
         heartbeat_interval_ * kMissedBeforeSilent;
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
      heartbeats_(metrics->GetCounter("harecrank_pulses_received_total")) {
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
  bool is_new = false;
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    auto& current = links_[endpoint];
    // There is no link yet, or the endpoint's address has changed.
    if (current == nullptr || current->Address() != address) {
      current = std::make_shared<Link>(endpoint, address, clock_);
      is_new = true;
    }
    link = current;
  }
  {
    const std::lock_guard<std::mutex> lock(link->mutex_);
    link->last_used_at_ = clock_();
  }
  if (is_new) {
    DialLink(link);
  }
  return link;
}

void LinkPool::Maintain(const std::map<EndpointId, std::string>& endpoints) {
  for (const auto& [endpoint, address] : endpoints) {
    Get(endpoint, address);
  }
  const TimePoint now = clock_();
  for (const auto& link : All()) {
    bool redial = false;
    bool timed_out = false;
    bool idle = false;
    DialId dial;
    {
      const std::lock_guard<std::mutex> lock(link->mutex_);
      dial = link->dial_;
      redial = dial.value == 0 && now >= link->next_dial_at_;
      timed_out = link->open_ &&
                  now - link->last_received_at_ >
                      link->heartbeat_interval_ * Link::kMissedBeforeClose;
      idle = link->streams_.empty() && now - link->last_used_at_ > kIdleTimeout;
    }
    if (idle) {
      const std::lock_guard<std::mutex> lock(mutex_);
      links_.erase(link->Endpoint());
    }
    if (idle || timed_out) {
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
  link->last_used_at_ = clock_();
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
    link->last_received_at_ = clock_();
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
    link->last_received_at_ = now;
    if (const auto* heartbeat = std::get_if<wire::SidecarHeartbeat>(&message)) {
      heartbeats_->Add();
      link->remote_clock_.OnPulse(heartbeat->clock, now);
      link->load_ = heartbeat->load;
      link->draining_ = heartbeat->draining;
      link->unreported_ = Tokens{0};
    }
    if (const auto* welcome = std::get_if<wire::Welcome>(&message)) {
      link->heartbeat_interval_ = welcome->pulse_interval;
    }
    const auto found = link->streams_.find(stream);
    if (found != link->streams_.end()) {
      inbox = found->second;
    }
  }
  // A message of a stream that has been closed is dropped.
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
  std::unordered_map<std::uint64_t, std::shared_ptr<StreamInbox>> open_streams;
  {
    const std::lock_guard<std::mutex> lock(link->mutex_);
    if (link->open_) {
      lost_->Add();
    }
    link->open_ = false;
    link->dial_ = DialId{};
    link->remote_clock_ = RemoteClock();
    link->next_dial_at_ = clock_() + kRedialBackoff;
    open_streams.swap(link->streams_);
  }
  for (const auto& open_stream : open_streams) {
    open_stream.second->Put(LinkLost{StreamId{open_stream.first}});
  }
}

void LinkPool::DialLink(const std::shared_ptr<Link>& link) {
  // The lock is held while dialling. The handlers of this dial look the link up
  // under the same lock, so they cannot run before it is in `by_dial_`.
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
