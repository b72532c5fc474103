// Adds up what all hosts of a fleet repeat, while hosts are killed, cut off,
// frozen and added, and checks the sum against the limit of the whole fleet.

#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

#include "harecrank/core/fleet_size.h"
#include "harecrank/core/membership.h"
#include "harecrank/core/repeat_budgets.h"

namespace harecrank {
namespace {

constexpr Millis kStep{20};
// Callers' requests begin when hosts that started together know each other.
constexpr Millis kTrafficStart{60000};
constexpr Millis kTrafficEnd{100000};
const RepeatLimit kLimit{0.2, 106, Millis(10000)};
const ServiceName kService{"engines"};
constexpr int kMaxRequestsPerStep = 4;

// What befalls the fleet. Each is drawn again and again for the length of the
// run.
struct Disruptions {
  bool kills = false;
  bool cuts = false;
  bool freezes = false;
  bool joins = false;
  // Only one host gets requests, another one every five seconds.
  bool load_moves = false;
  // A repeat may wait for seconds before it is sent.
  bool repeats_wait = false;
};

// A permitted repeat, and when it is to be sent.
struct WaitingRepeat {
  RepeatPermit permit;
  TimePoint send_at;
};

// One host: its estimate of the fleet's size and its repeat budgets, which a
// restart replaces.
struct Host {
  std::unique_ptr<FleetSize> size;
  std::unique_ptr<RepeatBudgets> budgets;
  // The host is dead or frozen until this time.
  TimePoint resumes_at{};
  bool is_dead = false;
  // Hosts in different groups do not hear each other.
  int group = 0;
  std::vector<WaitingRepeat> waiting;
};

// A fleet whose endpoints answer nearly every request with an error for some
// seconds, and then none for some seconds.
class SimulatedFleet {
 public:
  SimulatedFleet(std::size_t hosts, Disruptions disruptions, unsigned seed)
      : disruptions_(disruptions), random_(seed), hosts_(hosts) {
    for (Host& host : hosts_) {
      Start(&host);
    }
  }

  void Run() {
    const TimePoint begin = now_;
    TimePoint disrupted_at = begin + kTrafficStart;
    while (now_ < begin + kTrafficEnd) {
      now_ += kStep;
      Resume();
      ExchangeSizes();
      SendWaiting();
      if (now_ < begin + kTrafficStart) {
        continue;
      }
      if (now_ >= disrupted_at) {
        Disrupt();
        disrupted_at = now_ + Millis(Draw(100, 3000));
      }
      ServeCallers();
    }
  }

  // Returns the largest excess of the repeats over the limit in any window;
  // negative if all windows kept to it. The limit counts the requests of the
  // window, of the one before it, or of the one half a window before it,
  // whichever has most.
  double WorstExcess() const {
    double worst = -kLimit.allowance;
    for (std::size_t i = 0; i < repeats_.size(); ++i) {
      const TimePoint from = repeats_[i];
      const auto sent =
          static_cast<double>(Count(repeats_, from, from + kLimit.window));
      const std::size_t requests =
          std::max({Count(requests_, from, from + kLimit.window),
                    Count(requests_, from - kLimit.window, from),
                    Count(requests_, from - kLimit.window / 2,
                          from + kLimit.window / 2)});
      worst = std::max(worst, sent - kLimit.allowance -
                                  kLimit.ratio * static_cast<double>(requests));
    }
    return worst;
  }

  std::size_t Repeats() const { return repeats_.size(); }

 private:
  static std::size_t Count(const std::vector<TimePoint>& times, TimePoint from,
                           TimePoint to) {
    return static_cast<std::size_t>(
        std::upper_bound(times.begin(), times.end(), to) -
        std::lower_bound(times.begin(), times.end(), from));
  }

  int Draw(int least, int most) {
    return std::uniform_int_distribution<int>(least, most)(random_);
  }

  void Start(Host* host) {
    const auto clock = [this] { return now_; };
    host->size = std::make_unique<FleetSize>(clock);
    FleetSize* size = host->size.get();
    host->budgets = std::make_unique<RepeatBudgets>(
        kLimit, [size] { return size->MaxHostsSharing(kLimit.window); }, clock);
    host->is_dead = false;
    host->waiting.clear();
  }

  bool Runs(const Host& host) const { return now_ >= host.resumes_at; }

  void Resume() {
    for (Host& host : hosts_) {
      if (host.is_dead && Runs(host)) {
        Start(&host);
      }
    }
    if (now_ >= heals_at_) {
      for (Host& host : hosts_) {
        host.group = 0;
      }
    }
  }

  // Hosts tell each other the largest number of hosts that they have seen.
  void ExchangeSizes() {
    for (const Host& host : hosts_) {
      int seen = 0;
      for (const Host& other : hosts_) {
        seen += Runs(other) && other.group == host.group ? 1 : 0;
      }
      if (Runs(host)) {
        host.size->OnObserved(seen);
      }
    }
    for (const Host& from : hosts_) {
      for (const Host& to : hosts_) {
        if (&from != &to && Runs(from) && Runs(to) && from.group == to.group) {
          to.size->OnReported(from.size->PeakObserved());
        }
      }
    }
  }

  Host& AnyHost() {
    return hosts_[static_cast<std::size_t>(
        Draw(0, static_cast<int>(hosts_.size()) - 1))];
  }

  void Disrupt() {
    switch (Draw(0, 3)) {
      case 0:
        if (disruptions_.kills) {
          Kill();
        }
        break;
      case 1:
        if (disruptions_.cuts) {
          Cut();
        }
        break;
      case 2:
        if (disruptions_.freezes) {
          AnyHost().resumes_at = now_ + Millis(Draw(500, 4000));
        }
        break;
      default:
        if (disruptions_.joins && Draw(0, 9) == 0) {
          hosts_.emplace_back();
          Start(&hosts_.back());
        }
        break;
    }
  }

  // Kills some hosts, or all, which start again soon.
  void Kill() {
    const int share = Draw(2, 10);
    for (Host& host : hosts_) {
      if (Draw(1, 10) <= share) {
        host.is_dead = true;
        host.waiting.clear();
        host.resumes_at = now_ + Millis(Draw(20, 600));
      }
    }
  }

  // Cuts the fleet in two.
  void Cut() {
    for (Host& host : hosts_) {
      host.group = Draw(0, 1);
    }
    heals_at_ = now_ + Millis(Draw(1000, 9000));
  }

  // Callers of hosts that are dead or frozen go to another host.
  void ServeCallers() {
    for (int i = Draw(0, kMaxRequestsPerStep); i > 0; --i) {
      requests_.push_back(now_);
      Host& host = disruptions_.load_moves ? LoadedHost() : AnyHost();
      if (!Runs(host)) {
        continue;
      }
      host.budgets->OnFirstAttempt(kService);
      if (!EndpointFails()) {
        continue;
      }
      const auto permit = host.budgets->TryRepeat(kService).permit;
      if (permit.has_value()) {
        const int wait = disruptions_.repeats_wait ? Draw(0, 8000) : 0;
        host.waiting.push_back({*permit, now_ + Millis(wait)});
      }
    }
    SendWaiting();
  }

  bool EndpointFails() {
    if (now_ >= phase_ends_at_) {
      is_failing_ = !is_failing_;
      phase_ends_at_ = now_ + Millis(Draw(1000, 12000));
    }
    return is_failing_ && Draw(1, 10) > 1;
  }

  Host& LoadedHost() {
    const auto turn = now_.time_since_epoch() / Millis(5000);
    return hosts_[static_cast<std::size_t>(turn) % hosts_.size()];
  }

  void SendWaiting() {
    for (Host& host : hosts_) {
      if (!Runs(host)) {
        continue;
      }
      const auto due = std::partition(host.waiting.begin(), host.waiting.end(),
                                      [this](const WaitingRepeat& repeat) {
                                        return repeat.send_at > now_;
                                      });
      for (auto sent = due; sent != host.waiting.end(); ++sent) {
        host.budgets->OnRepeatSent(kService, sent->permit);
      }
      repeats_.insert(repeats_.end(),
                      static_cast<std::size_t>(host.waiting.end() - due), now_);
      host.waiting.erase(due, host.waiting.end());
    }
  }

  Disruptions disruptions_;
  std::mt19937 random_;
  TimePoint now_{std::chrono::hours(1)};
  TimePoint heals_at_{};
  bool is_failing_ = false;
  TimePoint phase_ends_at_{};
  std::vector<Host> hosts_;
  // Times of the callers' requests and of the repeats, oldest first.
  std::vector<TimePoint> requests_;
  std::vector<TimePoint> repeats_;
};

constexpr unsigned kSeeds = 20;

void CheckSum(Disruptions disruptions) {
  for (unsigned seed = 1; seed <= kSeeds; ++seed) {
    for (const std::size_t hosts : {3U, 5U, 27U}) {
      INFO(hosts << " hosts, seed " << seed);
      SimulatedFleet fleet(hosts, disruptions, seed);
      fleet.Run();
      CHECK(fleet.WorstExcess() <= 0);
      CHECK(fleet.Repeats() > 0);
    }
  }
}

TEST_CASE("Hosts that are killed in series repeat no more than is allowed") {
  Disruptions disruptions;
  disruptions.kills = true;
  CheckSum(disruptions);
}

TEST_CASE("Load that moves between hosts earns no repeats twice") {
  Disruptions disruptions;
  disruptions.load_moves = true;
  CheckSum(disruptions);
}

TEST_CASE("Hosts that are cut off, frozen and added keep to the limit") {
  Disruptions disruptions;
  disruptions.kills = true;
  disruptions.cuts = true;
  disruptions.freezes = true;
  disruptions.joins = true;
  disruptions.repeats_wait = true;
  CheckSum(disruptions);
}

}  // namespace
}  // namespace harecrank
