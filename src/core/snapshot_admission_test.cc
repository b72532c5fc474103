#include "harecrank/core/snapshot_admission.h"

#include <catch2/catch.hpp>
#include <deque>
#include <map>
#include <queue>
#include <vector>

namespace harecrank {
namespace {

const HostAddress kOther{"10.0.0.2:1"};

class DeskFixture {
 protected:
  bool IsGiven(const SnapshotDecision& decision) {
    return std::holds_alternative<ServeSnapshot>(decision);
  }

  TimePoint now_{std::chrono::hours(1)};
  SnapshotAdmission desk_{CpuShare{0.25}, [this] { return now_; }};
};

TEST_CASE_METHOD(DeskFixture, "As many copies go out as the host bears") {
  CHECK(IsGiven(desk_.OnRequest(std::nullopt)));
  CHECK(IsGiven(desk_.OnRequest(kOther)));
  CHECK_FALSE(IsGiven(desk_.OnRequest(std::nullopt)));
  desk_.OnTransferEnded();
  CHECK(IsGiven(desk_.OnRequest(std::nullopt)));
}

TEST_CASE_METHOD(DeskFixture,
                 "Beyond that hosts are sent to one that gives the same") {
  desk_.OnRequest(std::nullopt);
  desk_.OnRequest(std::nullopt);
  const SnapshotDecision decision = desk_.OnRequest(kOther);
  REQUIRE(std::holds_alternative<RedirectToPeer>(decision));
  CHECK(std::get<RedirectToPeer>(decision).host == kOther);
}

TEST_CASE_METHOD(DeskFixture,
                 "Where there is none they are told when their turn comes, one "
                 "after the other") {
  desk_.OnRequest(std::nullopt);
  desk_.OnRequest(std::nullopt);
  now_ += Millis(10);
  desk_.OnTransferEnded();
  desk_.OnRequest(std::nullopt);
  const auto first = std::get<RetryLater>(desk_.OnRequest(std::nullopt)).delay;
  const auto second = std::get<RetryLater>(desk_.OnRequest(std::nullopt)).delay;
  CHECK(first < second);
  CHECK(second <= SnapshotAdmission::kMaxRetryDelay);
}

TEST_CASE_METHOD(DeskFixture, "The weakest host gives one copy at a time") {
  SnapshotAdmission desk(CpuShare{0.09}, [this] { return now_; });
  CHECK(IsGiven(desk.OnRequest(std::nullopt)));
  CHECK_FALSE(IsGiven(desk.OnRequest(std::nullopt)));
}

// A fleet starts at once: one strong host has a copy, and all others ask it.
class CopyFleet {
 public:
  CopyFleet(int hosts, int strong) {
    for (int i = 0; i < hosts; ++i) {
      hosts_.emplace_back(i < strong);
      if (i > 0) {
        asks_.push(Ask{now_, i, 0});
      }
    }
    At(0).has_copy = true;
  }

  // Plays until every host has a copy, and returns how long that took.
  Millis Run() {
    const TimePoint began = now_;
    while (!asks_.empty()) {
      const Ask ask = asks_.top();
      asks_.pop();
      now_ = ask.at;
      Take(ask);
    }
    return std::chrono::duration_cast<Millis>(now_ - began);
  }

  int MostAtOnce() const { return most_at_once_; }
  int MostAsksOfOne() const { return most_asks_; }

 private:
  struct Host {
    explicit Host(bool is_strong) : is_strong(is_strong) {}
    bool is_strong;
    bool has_copy = false;
    int asks = 0;
    std::unique_ptr<SnapshotAdmission> desk;
  };
  struct Ask {
    TimePoint at;
    int from;
    int to;
    // The copy from `to` has arrived.
    bool arrives = false;
    friend bool operator<(const Ask& a, const Ask& b) { return b.at < a.at; }
  };

  static constexpr Millis kHop{2};
  // A host sends its copies side by side over one link.
  static constexpr Millis kCopy{8};

  Host& At(int host) { return hosts_[static_cast<std::size_t>(host)]; }

  static HostAddress AddressOf(int host) {
    return HostAddress{std::to_string(host)};
  }

  void Take(const Ask& ask) {
    if (ask.arrives) {
      At(ask.to).desk->OnTransferEnded();
      At(ask.from).has_copy = true;
      if (At(ask.from).is_strong) {
        givers_.push_back(ask.from);
      }
      return;
    }
    Host& giver = At(ask.to);
    ++giver.asks;
    most_asks_ = std::max(most_asks_, giver.asks);
    if (giver.desk == nullptr) {
      giver.desk = std::make_unique<SnapshotAdmission>(CpuShare{1.0},
                                                       [this] { return now_; });
    }
    const bool knows_others = ask.to == 0 && !givers_.empty();
    const SnapshotDecision decision = giver.desk->OnRequest(
        knows_others ? std::make_optional(AddressOf(NextGiver()))
                     : std::nullopt);
    most_at_once_ = std::max(most_at_once_, giver.desk->ActiveTransfers());
    if (std::holds_alternative<ServeSnapshot>(decision)) {
      const Millis takes = kCopy * giver.desk->ActiveTransfers() + kHop;
      asks_.push(Ask{now_ + takes, ask.from, ask.to, true});
    } else if (const auto* other = std::get_if<RedirectToPeer>(&decision)) {
      asks_.push(Ask{now_ + kHop, ask.from, std::stoi(other->host.value)});
    } else {
      asks_.push(Ask{now_ + std::get<RetryLater>(decision).delay, ask.from, 0});
    }
  }

  int NextGiver() {
    givers_.push_back(givers_.front());
    givers_.pop_front();
    return givers_.back();
  }

  TimePoint now_{std::chrono::hours(1)};
  std::vector<Host> hosts_;
  std::deque<int> givers_;
  std::priority_queue<Ask> asks_;
  int most_at_once_ = 0;
  int most_asks_ = 0;
};

TEST_CASE("A fleet that starts at once is served in rounds that double") {
  const int hosts = GENERATE(402, 804, 3216);
  CopyFleet fleet(hosts, hosts / 7);
  const Millis took = fleet.Run();
  CHECK(fleet.MostAtOnce() <=
        static_cast<int>(SnapshotAdmission::kTransfersPerCore));
  // One host alone would take eight milliseconds for each.
  CHECK(took.count() <= 1000);
  CHECK(took.count() < 8 * hosts / 2);
}

}  // namespace
}  // namespace harecrank
