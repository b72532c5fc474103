#include "src/node/config_feed.h"

#include <google/protobuf/util/json_util.h>
#include <malloc.h>

#include <algorithm>
#include <future>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/adapters/http.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using google::protobuf::util::JsonStringToMessage;
using google::protobuf::util::MessageToJsonString;

constexpr char kDocumentKey[] = "document";
constexpr char kChangesKey[] = "changes";
// Maximum duration of one watch. Stop waits for the current watch to end, and a
// watcher reads the host list only between two watches, so this value limits
// the delay of Stop and the age of the host list. The resulting call rate is
// far below the rate limit of the configuration service.
constexpr Millis kWatchWait{2000};
constexpr Millis kMinBackoff{250};
constexpr Millis kMaxBackoff{8000};
constexpr Millis kPeerTimeout{800};
constexpr int kBootstrapRounds = 4;
// Number of consecutive unanswered comparisons after which a node counts as
// isolated and polls the configuration service more often, because its data
// centre may have lost all its watchers.
constexpr int kFailuresBeforePoll = 5;
// Maximum poll interval of an isolated node. It is long enough that a fleet of
// the planned size stays within the rate limit of the configuration service
// even if all nodes are isolated at the same time.
constexpr Millis kIsolatedPollInterval{5000};
constexpr std::size_t kBootstrapPeers = 3;
constexpr Millis kBootstrapPause{250};
constexpr Millis kPollCheckInterval{250};

std::string ToJson(const v1::ChangeLog& log) {
  std::string text;
  const auto status = MessageToJsonString(log, &text);
  return status.ok() ? text : std::string();
}

std::optional<std::string> Post(const std::string& address,
                                const std::string& path,
                                const std::string& body) {
  HttpCall call;
  call.address = address;
  call.method = "POST";
  call.path = path;
  call.body = body;
  call.content_type = "application/cbor";
  call.timeout = kPeerTimeout;
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::optional<std::string>> {
        BOOST_LEAF_AUTO(answer, SendHttpRequest(call));
        if (answer.status != http_status::kOk) {
          return std::optional<std::string>();
        }
        return std::optional<std::string>(std::move(answer.body));
      },
      [] { return std::optional<std::string>(); });
}

}  // namespace

ConfigFeed::ConfigFeed(const NodeSettings& settings, ConfigFeedPorts ports)
    : settings_(settings),
      ports_(std::move(ports)),
      service_calls_(
          ports_.metrics->GetCounter("harecrank_config_service_calls_total")),
      service_errors_(
          ports_.metrics->GetCounter("harecrank_config_service_errors_total")),
      peer_calls_(ports_.metrics->GetCounter("harecrank_peer_calls_total")),
      peer_errors_(ports_.metrics->GetCounter("harecrank_peer_errors_total")),
      bytes_sent_(
          ports_.metrics->GetCounter("harecrank_peer_bytes_sent_total")),
      bytes_received_(
          ports_.metrics->GetCounter("harecrank_peer_bytes_received_total")),
      log_(GetLog("config")) {
  ports_.metrics->AddGauge("harecrank_config_revision", [this] {
    return static_cast<double>(ports_.active_config->State().revision.value);
  });
  ports_.metrics->AddGauge("harecrank_config_in_force_since_ms", [this] {
    return static_cast<double>(in_force_since_.load());
  });
}

ConfigFeed::~ConfigFeed() { Stop(); }

void ConfigFeed::Start() {
  threads_.emplace_back([this] { RunService(); });
  threads_.emplace_back([this] { RunCompare(); });
  threads_.emplace_back([this] { RunPush(); });
}

void ConfigFeed::Stop() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stopping_ = true;
  }
  wake_.notify_all();
  for (std::thread& thread : threads_) {
    thread.join();
  }
  threads_.clear();
}

PeerUpdate ConfigFeed::OnCompare(const PeerState& theirs) {
  return UpdateFor(theirs);
}

PeerState ConfigFeed::OnPush(const PeerUpdate& update) {
  ApplyUpdate(update);
  return MyState();
}

PeerState ConfigFeed::MyState() const {
  const ActiveConfigState state = ports_.active_config->State();
  return PeerState{settings_.node_id.value, state.revision.value,
                   state.digest.value, ports_.hosts->Current()->version,
                   ready_.load()};
}

void ConfigFeed::RunService() {
  ReadDocument();
  Bootstrap();
  while (!stopping_) {
    ReadHosts();
    const auto plan = Plan();
    if (plan == nullptr) {
      ReadDocument();
      Sleep(Jittered(std::max(service_backoff_, kMinBackoff)));
    } else if (plan->IsWatcher()) {
      WatchOnce();
      Sleep(Jittered(service_backoff_));
    } else {
      PollOnce();
    }
  }
}

void ConfigFeed::RunCompare() {
  while (Sleep(Jittered(settings_.compare_interval))) {
    const auto plan = Plan();
    if (plan == nullptr) {
      continue;
    }
    const NodeAddress* peer = plan->PickPeer(ports_.random);
    if (peer != nullptr) {
      const bool answered = CompareWith(peer->operations);
      compare_failures_ = answered ? 0 : compare_failures_ + 1;
    }
  }
}

bool ConfigFeed::WaitForPoll(Millis interval) {
  const TimePoint due = ports_.clock() + interval;
  const TimePoint isolated_due =
      ports_.clock() + std::min(interval, kIsolatedPollInterval);
  while (ports_.clock() < due) {
    const bool isolated = compare_failures_ >= kFailuresBeforePoll;
    if (isolated && ports_.clock() >= isolated_due) {
      return true;
    }
    if (!Sleep(kPollCheckInterval)) {
      return false;
    }
  }
  return true;
}

void ConfigFeed::RunPush() {
  while (!stopping_) {
    {
      std::unique_lock<std::mutex> lock(mutex_);
      wake_.wait(lock, [this] { return push_due_ || stopping_.load(); });
      push_due_ = false;
    }
    const auto plan = Plan();
    if (plan == nullptr || stopping_) {
      continue;
    }
    // Pushes run in parallel, so that a child that does not respond does not
    // delay the others.
    std::vector<std::future<void>> pushes;
    for (const NodeAddress& child : plan->Children()) {
      pushes.push_back(std::async(std::launch::async,
                                  [this, child] { PushTo(child.operations); }));
    }
  }
}

void ConfigFeed::ReadDocument() {
  service_calls_->Add();
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(value, ports_.service->Read(kDocumentKey));
        service_backoff_ = Millis(0);
        OfferDocument(value.value, ConfigSource::kService);
        return {};
      },
      [&] {
        service_errors_->Add();
        service_backoff_ =
            std::min(kMaxBackoff, std::max(kMinBackoff, service_backoff_ * 2));
      });
}

void ConfigFeed::WatchOnce() {
  service_calls_->Add();
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(value, ports_.service->Watch(
                                   kChangesKey, watch_version_, kWatchWait));
        service_backoff_ = Millis(0);
        if (value) {
          watch_version_ = value->version;
          ApplyChanges(value->value, ConfigSource::kService);
        }
        return {};
      },
      [&] {
        service_errors_->Add();
        service_backoff_ =
            std::min(kMaxBackoff, std::max(kMinBackoff, service_backoff_ * 2));
      });
}

void ConfigFeed::PollOnce() {
  const auto plan = Plan();
  if (!WaitForPoll(Jittered(plan->FallbackPollInterval()))) {
    return;
  }
  service_calls_->Add();
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(value, ports_.service->Read(kChangesKey));
        ApplyChanges(value.value, ConfigSource::kService);
        return {};
      },
      [&] { service_errors_->Add(); });
}

void ConfigFeed::ApplyChanges(const std::string& changes_json,
                              ConfigSource source) {
  v1::ChangeLog log;
  if (!JsonStringToMessage(changes_json, &log).ok()) {
    LOG4CXX_WARN(log_, "ignored a malformed change log");
    return;
  }
  OfferResult latest = OfferResult::kAlreadyInForce;
  for (const v1::Change& change : log.changes()) {
    // Skips changes up to the active revision. The last change of the log is
    // always offered.
    if (change.revision() <= ports_.active_config->State().revision.value &&
        &change != &*log.changes().rbegin()) {
      continue;
    }
    latest = ports_.active_config->OfferChange(change, source);
    HandleOfferResult(latest);
  }
  if (latest == OfferResult::kMissingBase && source == ConfigSource::kService) {
    ReadDocument();
  }
}

void ConfigFeed::ReadHosts() {
  if (ports_.host_list == nullptr) {
    return;
  }
  const auto plan = Plan();
  if (plan == nullptr || !plan->IsWatcher()) {
    return;
  }
  leaf::try_handle_all(
      [&]() -> leaf::result<void> {
        BOOST_LEAF_AUTO(list, ports_.host_list->Read());
        if (ports_.hosts->Offer(std::move(list))) {
          HandleOfferResult(OfferResult::kAdopted);
        }
        return {};
      },
      [] {});
}

void ConfigFeed::Bootstrap() {
  // The configuration service may return an outdated document without an error,
  // so a new node compares its revision with its peers before it reports that
  // it is ready.
  for (int round = 0; round < kBootstrapRounds && !stopping_; ++round) {
    int answered = 0;
    const std::vector<std::string> peers = BootstrapPeers();
    for (const std::string& peer : peers) {
      answered += CompareWith(peer) ? 1 : 0;
    }
    const bool has_configuration = ports_.active_config->InForce() != nullptr;
    if (has_configuration && (answered > 0 || peers.empty())) {
      break;
    }
    if (!has_configuration) {
      ReadDocument();
      round = 0;
    }
    Sleep(Jittered(kBootstrapPause));
  }
  ready_ = ports_.active_config->InForce() != nullptr;
  LOG4CXX_INFO(log_, "ready with revision "
                         << ports_.active_config->State().revision.value);
}

std::vector<std::string> ConfigFeed::BootstrapPeers() {
  std::vector<std::string> peers = settings_.seed_peers;
  const auto plan = Plan();
  for (std::size_t i = 0; plan != nullptr && i < kBootstrapPeers; ++i) {
    const NodeAddress* peer = plan->PickPeer(ports_.random);
    if (peer != nullptr) {
      peers.push_back(peer->operations);
    }
  }
  return peers;
}

bool ConfigFeed::CompareWith(const std::string& address) {
  peer_calls_->Add();
  const std::string own_state = EncodePeerState(MyState());
  bytes_sent_->Add(own_state.size());
  const auto answer = Post(address, "/peer/compare", own_state);
  const auto update = answer ? DecodePeerUpdate(*answer) : std::nullopt;
  if (!update) {
    peer_errors_->Add();
    return false;
  }
  bytes_received_->Add(answer->size());
  ApplyUpdate(*update);
  const PeerState now = MyState();
  if (update->state.revision < now.revision ||
      update->state.host_version < now.host_version) {
    PushTo(address);
  }
  return true;
}

void ConfigFeed::ApplyUpdate(const PeerUpdate& update) {
  if (!update.changes_json.empty()) {
    ApplyChanges(update.changes_json, ConfigSource::kPeer);
  }
  if (!update.document_json.empty()) {
    OfferDocument(update.document_json, ConfigSource::kPeer);
  }
  if (update.has_hosts) {
    HostListVersion hosts;
    hosts.version = update.state.host_version;
    for (const std::string& id : update.leaving) {
      hosts.leaving.insert(NodeId{id});
    }
    if (ports_.hosts->Offer(std::move(hosts))) {
      HandleOfferResult(OfferResult::kAdopted);
    }
  }
}

void ConfigFeed::PushTo(const std::string& address) {
  // In nearly all cases the peer lacks only the latest change, so only this
  // change is sent at first. The peer's revision is known from its reply.
  const auto theirs = SendUpdate(address, LatestChangeUpdate());
  if (theirs && theirs->revision < MyState().revision) {
    SendUpdate(address, UpdateFor(*theirs));
  }
}

std::optional<PeerState> ConfigFeed::SendUpdate(const std::string& address,
                                                const PeerUpdate& update) {
  peer_calls_->Add();
  const std::string body = EncodePeerUpdate(update);
  bytes_sent_->Add(body.size());
  const auto answer = Post(address, "/peer/offer", body);
  auto theirs = answer ? DecodePeerState(*answer) : std::nullopt;
  if (!theirs) {
    peer_errors_->Add();
    return std::nullopt;
  }
  bytes_received_->Add(answer->size());
  return theirs;
}

PeerUpdate ConfigFeed::LatestChangeUpdate() const {
  // For a peer that has the same revision but no host list, UpdateFor returns
  // an update with the host list only.
  PeerState same_revision = MyState();
  same_revision.host_version = 0;
  PeerUpdate update = UpdateFor(same_revision);
  const auto latest = ports_.active_config->LatestChange();
  if (latest) {
    v1::ChangeLog log;
    *log.add_changes() = *latest;
    update.changes_json = ToJson(log);
  }
  return update;
}

PeerUpdate ConfigFeed::UpdateFor(const PeerState& theirs) const {
  PeerUpdate update;
  update.state = MyState();
  const auto configuration = ports_.active_config->InForce();
  if (configuration != nullptr && theirs.revision < update.state.revision) {
    const auto changes =
        ports_.active_config->ChangesSince(Digest{theirs.digest});
    if (changes) {
      update.changes_json = ToJson(*changes);
    } else {
      update.document_json = configuration->CanonicalJson();
    }
  }
  const auto hosts = ports_.hosts->Current();
  if (theirs.host_version < hosts->version) {
    update.has_hosts = true;
    for (const NodeId& id : hosts->leaving) {
      update.leaving.push_back(id.value);
    }
  }
  return update;
}

void ConfigFeed::OfferDocument(const std::string& document,
                               ConfigSource source) {
  HandleOfferResult(ports_.active_config->OfferDocument(document, source));
}

void ConfigFeed::HandleOfferResult(OfferResult offer) {
  ports_.metrics
      ->GetCounter("harecrank_config_offers_total",
                   std::string("result=\"") + OfferResultName(offer) + "\"")
      ->Add();
  if (offer == OfferResult::kConflict || offer == OfferResult::kInvalid) {
    LOG4CXX_WARN(log_, "configuration rejected: "
                           << ports_.active_config->State().last_fault);
    return;
  }
  if (offer != OfferResult::kAdopted) {
    return;
  }
  in_force_since_ =
      std::chrono::duration_cast<Millis>(ports_.clock().time_since_epoch())
          .count();
  if (listener_) {
    listener_();
  }
  // Parsing a document temporarily needs many times its size in memory.
  // malloc_trim returns that memory to the operating system, so that it does
  // not permanently count towards the node's memory use.
  malloc_trim(0);
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    push_due_ = true;
  }
  wake_.notify_all();
}

std::shared_ptr<const DisseminationPlan> ConfigFeed::Plan() {
  const auto configuration = ports_.active_config->InForce();
  if (configuration == nullptr) {
    return nullptr;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  if (plan_ == nullptr || plan_revision_ != configuration->GetRevision()) {
    plan_ = std::make_shared<const DisseminationPlan>(
        configuration->Nodes(), settings_.node_id, settings_.data_centre);
    plan_revision_ = configuration->GetRevision();
  }
  return plan_;
}

bool ConfigFeed::Sleep(Millis time) {
  std::unique_lock<std::mutex> lock(mutex_);
  wake_.wait_for(lock, time, [this] { return stopping_.load(); });
  return !stopping_;
}

Millis ConfigFeed::Jittered(Millis time) const {
  // Returns 75% to 125% of `time`. Without jitter, nodes that start together
  // would call the service and their peers at the same times.
  constexpr std::int64_t kQuarters = 4;
  const auto span = static_cast<std::uint64_t>(time.count() / 2 + 1);
  return time - time / kQuarters +
         Millis(static_cast<std::int64_t>(ports_.random() % span));
}

}  // namespace harecrank
