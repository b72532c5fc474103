#include "harecrank/core/ticket_registry.h"

#include <catch2/catch.hpp>
#include <random>
#include <vector>

namespace harecrank {
namespace {

const AccountId kTinta{"tinta"};
const AccountId kTan{"tan"};
constexpr Millis kTtl{100};

struct Fixture {
  TimePoint now{};
  std::uint64_t last_nonce = 0;

  TicketRegistry MakeRegistry(std::uint64_t incarnation,
                              std::size_t limit = 100) {
    return TicketRegistry(
        EndpointId{"e-1"}, Incarnation{incarnation}, limit,
        [this] { return now; }, [this] { return ++last_nonce; });
  }
};

TEST_CASE_METHOD(Fixture, "A ticket is granted once and is spent afterwards") {
  TicketRegistry registry = MakeRegistry(1);
  const Ticket ticket = *registry.Issue(kTinta, kTtl);
  CHECK(registry.Redeem(ticket, kTinta) == Redemption::kGranted);
  CHECK(registry.Redeem(ticket, kTinta) == Redemption::kAlreadySpent);
}

TEST_CASE_METHOD(Fixture,
                 "A new incarnation of the sidecar grants no earlier ticket") {
  TicketRegistry before = MakeRegistry(1);
  const Ticket ticket = *before.Issue(kTinta, kTtl);
  // The new incarnation issues a ticket with the same nonce.
  last_nonce = 0;
  TicketRegistry after = MakeRegistry(2);
  after.Issue(kTinta, kTtl);
  CHECK(after.Redeem(ticket, kTinta) == Redemption::kUnknownTicket);
}

TEST_CASE_METHOD(Fixture, "An expired ticket is never granted") {
  TicketRegistry registry = MakeRegistry(1);
  const Ticket ticket = *registry.Issue(kTinta, kTtl);
  now += kTtl;
  CHECK(registry.Redeem(ticket, kTinta) == Redemption::kEndedUnspent);
}

TEST_CASE_METHOD(Fixture, "A revoked ticket is never granted") {
  TicketRegistry registry = MakeRegistry(1);
  const Ticket ticket = *registry.Issue(kTinta, kTtl);
  CHECK(registry.Revoke(ticket, kTinta) == Redemption::kEndedUnspent);
  CHECK(registry.Redeem(ticket, kTinta) == Redemption::kEndedUnspent);
}

TEST_CASE_METHOD(Fixture, "Revoking a spent ticket reports it as spent") {
  TicketRegistry registry = MakeRegistry(1);
  const Ticket ticket = *registry.Issue(kTinta, kTtl);
  registry.Redeem(ticket, kTinta);
  CHECK(registry.Revoke(ticket, kTinta) == Redemption::kAlreadySpent);
}

TEST_CASE_METHOD(Fixture, "Another account cannot spend a ticket") {
  TicketRegistry registry = MakeRegistry(1);
  const Ticket ticket = *registry.Issue(kTinta, kTtl);
  CHECK(registry.Redeem(ticket, kTan) == Redemption::kUnknownTicket);
  CHECK(registry.Redeem(ticket, kTinta) == Redemption::kGranted);
}

TEST_CASE_METHOD(Fixture,
                 "A dropped ticket is reported as unknown, not as unspent") {
  TicketRegistry registry = MakeRegistry(1);
  const Ticket ticket = *registry.Issue(kTinta, kTtl);
  registry.Redeem(ticket, kTinta);
  now += Millis(10000);
  registry.Issue(kTinta, kTtl);
  CHECK(registry.Redeem(ticket, kTinta) == Redemption::kUnknownTicket);
}

TEST_CASE_METHOD(Fixture, "A full registry issues no ticket") {
  TicketRegistry registry = MakeRegistry(1, 1);
  REQUIRE(registry.Issue(kTinta, kTtl));
  CHECK_FALSE(registry.Issue(kTinta, kTtl));
}

TEST_CASE("Formatting and parsing a ticket round-trips") {
  const Ticket ticket{EndpointId{"e-1_x"}, Incarnation{0xFFFFFFFFFFFFFFFFU}, 7};
  const auto read = ParseTicket(FormatTicket(ticket));
  REQUIRE(read);
  CHECK(read->endpoint == ticket.endpoint);
  CHECK(read->incarnation == ticket.incarnation);
  CHECK(read->nonce == ticket.nonce);
}

TEST_CASE("Text that is not a ticket is rejected") {
  for (const char* text : {"", "hct1.", "hct1.12.34.e", "abc",
                           "hct1.000000000000000g.0000000000000001.e"}) {
    INFO("the text was '" << text << "'");
    CHECK_FALSE(ParseTicket(text));
  }
}

// A sidecar whose process may be replaced.
struct Sidecar {
  std::unique_ptr<TicketRegistry> registry;
  std::uint64_t incarnation = 0;
  std::uint64_t nonce = 0;
};

// Random interleavings of issuing, submission through any entry host, late,
// duplicate or out-of-order delivery, revocation, restart with loss of state,
// and the passing of time.
TEST_CASE("No interleaving of faults runs a ticketed request twice") {
  for (unsigned seed = 0; seed < 400; ++seed) {
    std::mt19937_64 random(seed);
    TimePoint now{};
    std::uint64_t next_incarnation = 1;
    std::vector<Sidecar> sidecars(3);
    const auto restart = [&](std::size_t i) {
      sidecars[i].incarnation = next_incarnation++;
      // All incarnations draw the same nonces, so that only the incarnation
      // distinguishes their tickets.
      sidecars[i].nonce = 0;
      sidecars[i].registry = std::make_unique<TicketRegistry>(
          EndpointId{"e" + std::to_string(i)},
          Incarnation{sidecars[i].incarnation}, 1000, [&] { return now; },
          [&sidecars, i] { return ++sidecars[i].nonce; });
    };
    for (std::size_t i = 0; i < sidecars.size(); ++i) {
      restart(i);
    }
    struct Request {
      Ticket ticket;
      int runs = 0;
      bool told_not_run = false;
    };
    std::vector<Request> requests;
    // Submissions in flight. Each may be delivered many times.
    std::vector<std::size_t> in_flight;
    for (int step = 0; step < 300; ++step) {
      const std::size_t sidecar = random() % sidecars.size();
      switch (random() % 6) {
        case 0: {
          const auto ticket = sidecars[sidecar].registry->Issue(kTinta, kTtl);
          if (ticket) {
            requests.push_back(Request{*ticket});
          }
          break;
        }
        case 1:
          if (!requests.empty()) {
            in_flight.push_back(random() % requests.size());
          }
          break;
        case 2:
        case 3:
          if (!in_flight.empty()) {
            Request& request = requests[in_flight[random() % in_flight.size()]];
            // Entry hosts with different configurations may send a ticket to
            // any sidecar.
            const Redemption result =
                sidecars[sidecar].registry->Redeem(request.ticket, kTinta);
            request.runs += result == Redemption::kGranted ? 1 : 0;
            request.told_not_run |= result == Redemption::kEndedUnspent;
          }
          break;
        case 4:
          if (!requests.empty()) {
            Request& request = requests[random() % requests.size()];
            const Redemption result =
                sidecars[sidecar].registry->Revoke(request.ticket, kTinta);
            request.told_not_run |= result == Redemption::kEndedUnspent;
          }
          break;
        default:
          if (random() % 8 == 0) {
            restart(sidecar);
          }
          now += Millis(static_cast<std::int64_t>(random() % 20));
          break;
      }
    }
    for (const Request& request : requests) {
      INFO("seed " << seed << ", ticket " << FormatTicket(request.ticket));
      REQUIRE(request.runs <= 1);
      REQUIRE_FALSE((request.runs > 0 && request.told_not_run));
    }
  }
}

}  // namespace
}  // namespace harecrank
