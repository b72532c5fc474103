#include "harecrank/core/snapshot_admission.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <queue>
#include <vector>

namespace harecrank {
namespace {

const HostAddress kOther{"10.0.0.2:1"};

class SnapshotAdmissionFixture {
 protected:
  bool IsServed(const SnapshotDecision& decision) {
    return std::holds_alternative<ServeSnapshot>(decision);
  }

  TimePoint now_{std::chrono::hours(1)};
  SnapshotAdmission admission_{CpuShare{0.25}, [this] { return now_; }};
};

TEST_CASE_METHOD(
    SnapshotAdmissionFixture,
    "The number of concurrent transfers is limited by the CPU share") {
  CHECK(IsServed(admission_.OnRequest(std::nullopt)));
  CHECK(IsServed(admission_.OnRequest(kOther)));
  CHECK_FALSE(IsServed(admission_.OnRequest(std::nullopt)));
  admission_.OnTransferEnded();
  CHECK(IsServed(admission_.OnRequest(std::nullopt)));
}

TEST_CASE_METHOD(SnapshotAdmissionFixture,
                 "Requests beyond the limit are redirected to a peer") {
  admission_.OnRequest(std::nullopt);
  admission_.OnRequest(std::nullopt);
  const SnapshotDecision decision = admission_.OnRequest(kOther);
  REQUIRE(std::holds_alternative<RedirectToPeer>(decision));
  CHECK(std::get<RedirectToPeer>(decision).host == kOther);
}

TEST_CASE_METHOD(
    SnapshotAdmissionFixture,
    "Without a peer, requesters are told to retry after increasing delays") {
  admission_.OnRequest(std::nullopt);
  admission_.OnRequest(std::nullopt);
  now_ += Millis(10);
  admission_.OnTransferEnded();
  admission_.OnRequest(std::nullopt);
  const auto first =
      std::get<RetryLater>(admission_.OnRequest(std::nullopt)).delay;
  const auto second =
      std::get<RetryLater>(admission_.OnRequest(std::nullopt)).delay;
  CHECK(first < second);
  CHECK(second <= SnapshotAdmission::kMaxRetryDelay);
}

TEST_CASE_METHOD(SnapshotAdmissionFixture,
                 "The smallest host runs one transfer at a time") {
  SnapshotAdmission admission(CpuShare{0.09}, [this] { return now_; });
  CHECK(IsServed(admission.OnRequest(std::nullopt)));
  CHECK_FALSE(IsServed(admission.OnRequest(std::nullopt)));
}

// A fleet that starts at once: host 0 has a snapshot, and all others request
// it. The first `serving_hosts` hosts serve snapshots to others once they have
// one.
class SnapshotFleet {
 public:
  SnapshotFleet(int hosts, int serving_hosts) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.emplace_back(i < serving_hosts);
      if (i > 0) {
        events_.push(Event{now_, i, 0});
      }
    }
    At(0).has_snapshot = true;
  }

  // Runs until every host has a snapshot and returns the time that this took.
  Millis Run() {
    const TimePoint began = now_;
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at;
      Process(event);
    }
    return std::chrono::duration_cast<Millis>(now_ - began);
  }

  int MaxConcurrentTransfers() const { return max_concurrent_transfers_; }
  int MaxRequestsPerHost() const { return max_requests_per_host_; }

 private:
  struct Host {
    explicit Host(bool can_serve) : can_serve(can_serve) {}
    bool can_serve;
    bool has_snapshot = false;
    int request_count = 0;
    std::unique_ptr<SnapshotAdmission> admission;
  };
  struct Event {
    TimePoint at;
    int from;
    int to;
    // The snapshot from `to` has arrived; otherwise a request to `to`.
    bool is_arrival = false;
    friend bool operator<(const Event& a, const Event& b) {
      return b.at < a.at;
    }
  };

  static constexpr Millis kNetworkDelay{2};
  // Concurrent transfers of a host share one link.
  static constexpr Millis kTransferTime{8};

  Host& At(int host) { return hosts_[static_cast<std::size_t>(host)]; }

  static HostAddress AddressOf(int host) {
    return HostAddress{std::to_string(host)};
  }

  void Process(const Event& event) {
    if (event.is_arrival) {
      At(event.to).admission->OnTransferEnded();
      At(event.from).has_snapshot = true;
      if (At(event.from).can_serve) {
        servers_.push_back(event.from);
      }
      return;
    }
    Host& server = At(event.to);
    ++server.request_count;
    max_requests_per_host_ =
        std::max(max_requests_per_host_, server.request_count);
    if (server.admission == nullptr) {
      server.admission = std::make_unique<SnapshotAdmission>(
          CpuShare{1.0}, [this] { return now_; });
    }
    const bool knows_peer = event.to == 0 && !servers_.empty();
    const SnapshotDecision decision = server.admission->OnRequest(
        knows_peer ? std::make_optional(AddressOf(NextServer()))
                   : std::nullopt);
    max_concurrent_transfers_ = std::max(max_concurrent_transfers_,
                                         server.admission->ActiveTransfers());
    if (std::holds_alternative<ServeSnapshot>(decision)) {
      const Millis duration =
          kTransferTime * server.admission->ActiveTransfers() + kNetworkDelay;
      events_.push(Event{now_ + duration, event.from, event.to, true});
    } else if (const auto* other = std::get_if<RedirectToPeer>(&decision)) {
      events_.push(Event{now_ + kNetworkDelay, event.from,
                         std::stoi(other->host.value)});
    } else {
      events_.push(
          Event{now_ + std::get<RetryLater>(decision).delay, event.from, 0});
    }
  }

  int NextServer() {
    servers_.push_back(servers_.front());
    servers_.pop_front();
    return servers_.back();
  }

  TimePoint now_{std::chrono::hours(1)};
  std::vector<Host> hosts_;
  std::deque<int> servers_;
  std::priority_queue<Event> events_;
  int max_concurrent_transfers_ = 0;
  int max_requests_per_host_ = 0;
};

TEST_CASE("A fleet that starts at once is served in rounds of doubling size") {
  const int hosts = GENERATE(402, 804, 3216);
  SnapshotFleet fleet(hosts, hosts / 7);
  const Millis elapsed = fleet.Run();
  CHECK(fleet.MaxConcurrentTransfers() <=
        static_cast<int>(SnapshotAdmission::kTransfersPerCore));
  // A single host would need eight milliseconds for each snapshot.
  CHECK(elapsed.count() <= 1000);
  CHECK(elapsed.count() < 8 * hosts / 2);
}

}  // namespace
}  // namespace harecrank
