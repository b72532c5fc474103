#include "src/gateway/publication_relay.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <limits>
#include <utility>

#include "harecrank/core/http_status.h"
#include "src/gateway/endpoint_request.h"
#include "src/gateway/response_decoder.h"
#include "src/gateway/snapshot_server.h"

namespace harecrank {
namespace {

// The next fetch of a snapshot may start half of kFetchInterval to
// kFetchInterval after the previous one has ended, unless the response had a
// Retry-After header. kFetchTimeout is the time-out of a fetch.
constexpr Millis kFetchInterval{100};
constexpr Millis kFetchTimeout{1500};
// After this host has learned that another host has newer data, it waits this
// long to receive them before it fetches them. kPeerUpdateDelay applies to a
// host that the store does not answer, since the planner's changes usually
// arrive within this time. kPollDelay applies to a host whose polls the store
// answers, since it gets the data with the next answer.
constexpr Millis kPeerUpdateDelay{30};
constexpr Millis kPollDelay{300};
// Maximum size of a message with changes that is sent as a datagram. Larger
// changes, such as a configuration with many routes, are fetched over a
// connection.
constexpr std::size_t kMaxChangesBytes = 16384;
// How long this host may be behind another one before the log tells it. New
// data usually arrive within a tenth of this time.
constexpr Millis kLogBehindAfter{2000};

namespace http = boost::beast::http;

// Returns the host to which `reply` redirects, or nothing if it names none.
std::optional<HostAddress> RedirectTarget(const HttpReply& reply) {
  constexpr std::string_view kScheme = "http://";
  const std::string location(reply[http::field::location]);
  const std::size_t end = location.find('/', kScheme.size());
  if (location.compare(0, kScheme.size(), kScheme) != 0 ||
      end == std::string::npos) {
    return std::nullopt;
  }
  return HostAddress{location.substr(kScheme.size(), end - kScheme.size())};
}

// Returns the delay in the Retry-After header of `reply`, or nothing if it has
// none.
std::optional<Millis> RetryAfter(const HttpReply& reply) {
  const auto field = reply.find(http::field::retry_after);
  if (field == reply.end()) {
    return std::nullopt;
  }
  const BackoffHint hint = ParseRetryAfter(View(field->value()), "");
  const auto* after = std::get_if<Millis>(&hint);
  return after == nullptr ? std::nullopt : std::make_optional(*after);
}

}  // namespace

PublicationRelay::PublicationRelay(boost::asio::io_context* io,
                                   HostAddress self, Membership* membership,
                                   FleetSocket* socket,
                                   PublicationRelayPorts ports, EventLog* log,
                                   MonotonicClock clock, RandomSource random)
    : io_(io),
      self_(std::move(self)),
      membership_(membership),
      socket_(socket),
      ports_(std::move(ports)),
      log_(log),
      clock_(std::move(clock)),
      random_(std::move(random)),
      catch_up_(clock_) {}

void PublicationRelay::OnPublished() {
  if (changes_scheduled_) {
    return;
  }
  changes_scheduled_ = true;
  // Posted, so that changes that arrive in the same turn of the event loop are
  // sent together.
  boost::asio::post(*io_, [this] { SendChanges(); });
}

void PublicationRelay::OnBecamePlanner() {
  sent_up_to_ = ports_.describe().known_up_to;
}

void PublicationRelay::SendChanges() {
  changes_scheduled_ = false;
  const Heartbeat own = ports_.describe();
  if (!(sent_up_to_ < own.known_up_to)) {
    return;
  }
  const StoreRevision since = sent_up_to_;
  sent_up_to_ = own.known_up_to;
  const bool is_first_data = since == StoreRevision{};
  if (is_first_data && own.poll_state != PollState::kNone) {
    // These are the first data of a host that polls the store. Other hosts that
    // have just started need them, too, and fetch them after the announcement.
    ports_.announce();
    return;
  }
  if (!ports_.is_planner()) {
    ports_.send_heartbeat();
    return;
  }
  const std::vector<std::string> parts =
      ports_.published(since, kMaxChangesBytes);
  const bool fits = std::all_of(
      parts.begin(), parts.end(),
      [](const std::string& part) { return part.size() <= kMaxChangesBytes; });
  if (!fits) {
    ports_.announce();
    return;
  }
  const std::vector<HostAddress> others = membership_->OtherAliveHosts();
  for (const std::string& part : parts) {
    socket_->SendToAll(others, PublishedChanges{self_, part});
  }
}

void PublicationRelay::OnChanges(const PublishedChanges& published) {
  // If changes between this host's data and the received ones are missing, this
  // host fetches them once the next heartbeat shows that it is behind.
  ports_.on_published(published.changes, true);
}

void PublicationRelay::FetchIfBehind(const Heartbeat& own) {
  const auto host = FindNewer(own);
  LogProgress(host);
  if (!host.has_value() || is_fetching_ || clock_() < next_fetch_at_ ||
      catch_up_.BehindFor() < FetchDelay(own)) {
    return;
  }
  Fetch(*host, catch_up_.AskAfter(), false);
}

std::optional<HostAddress> PublicationRelay::FindNewer(const Heartbeat& own) {
  // A routing table that is being parsed need not be fetched.
  const RoutingVersion routing =
      ports_.is_parsing_routing()
          ? RoutingVersion{std::numeric_limits<std::uint64_t>::max()}
          : own.routing;
  auto host = membership_->FindMoreUpToDate(routing, own.known_up_to);
  if (!host.has_value()) {
    catch_up_.OnCaughtUp();
    return host;
  }
  const StoreRevision any{std::numeric_limits<std::uint64_t>::max()};
  const bool lacks_configuration =
      membership_->FindMoreUpToDate(routing, any).has_value();
  catch_up_.OnBehind({own.routing, own.known_up_to}, lacks_configuration);
  return host;
}

void PublicationRelay::LogProgress(const std::optional<HostAddress>& newer) {
  const bool is_behind = catch_up_.BehindFor() >= kLogBehindAfter;
  if (is_behind == behind_logged_) {
    return;
  }
  behind_logged_ = is_behind;
  const Heartbeat own = ports_.describe();
  nlohmann::json fields = {{"configuration", own.routing.value},
                           {"known_up_to", own.known_up_to.value}};
  if (is_behind) {
    fields["behind_ms"] = catch_up_.BehindFor().count();
    fields["lacks_configuration"] = catch_up_.LacksConfiguration();
    fields["newer_at"] = newer.value_or(HostAddress{}).value;
  }
  log_->Write(is_behind ? "behind" : "caught_up", std::move(fields),
              LogRateLimit::kExempt);
}

Millis PublicationRelay::FetchDelay(const Heartbeat& own) const {
  if (own.routing == RoutingVersion{}) {
    return Millis(0);
  }
  return own.poll_state == PollState::kAnswered ? kPollDelay : kPeerUpdateDelay;
}

void PublicationRelay::Fetch(const HostAddress& host, StoreRevision since,
                             bool is_redirected) {
  is_fetching_ = true;
  fetch_client_ = std::make_shared<HttpClient>(io_, host.value);
  fetch_client_->Get(
      SnapshotServer::kPath + std::to_string(since.value), kFetchTimeout,
      [this, host, since, is_redirected](const CallResult& result) {
        OnFetched(host, since, is_redirected, result);
      });
}

void PublicationRelay::OnFetched(const HostAddress& host, StoreRevision since,
                                 bool is_redirected, const CallResult& result) {
  is_fetching_ = false;
  const auto* reply = std::get_if<HttpReply>(&result);
  const unsigned status = reply == nullptr ? 0 : reply->result_int();
  const bool imported =
      status == http_status::kOk && ports_.on_published(reply->body(), false);
  if (status == http_status::kOk) {
    catch_up_.OnAnswer();
  }
  log_->Write("peer_asked", {{"address", host.value},
                             {"after", since.value},
                             {"status", status},
                             {"taken", imported}});
  const auto redirect =
      status == http_status::kTemporaryRedirect && !is_redirected
          ? RedirectTarget(*reply)
          : std::nullopt;
  if (!redirect.has_value()) {
    ScheduleNextFetch(reply);
  }
  // The connection is closed, since otherwise a host that serves many others
  // would keep one open for each. Posted, since the client must not be
  // destroyed from within its callback.
  boost::asio::post(*io_, [this, redirect, since] {
    if (is_fetching_) {
      return;
    }
    fetch_client_.reset();
    if (redirect.has_value()) {
      Fetch(*redirect, since, true);
    }
  });
}

void PublicationRelay::ScheduleNextFetch(const HttpReply* reply) {
  const auto retry_after = reply == nullptr ? std::nullopt : RetryAfter(*reply);
  // Adds jitter, so that hosts that were rejected together do not retry
  // together.
  const Millis jitter(static_cast<std::int64_t>(
      random_() % static_cast<std::uint64_t>(kFetchInterval.count())));
  const Millis pause =
      std::max(retry_after.value_or(kFetchInterval / 2), catch_up_.Pause());
  next_fetch_at_ = clock_() + pause + jitter / 2;
}

}  // namespace harecrank
