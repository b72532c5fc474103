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
  std::uint64_t drawn = 0;

  TicketRegistry MakeBook(std::uint64_t incarnation, std::size_t limit = 100) {
    return TicketRegistry(
        EndpointId{"e-1"}, Incarnation{incarnation}, limit,
        [this] { return now; }, [this] { return ++drawn; });
  }
};

TEST_CASE_METHOD(Fixture, "A ticket is granted once and then known as spent") {
  TicketRegistry book = MakeBook(1);
  const Ticket ticket = *book.Issue(kTinta, kTtl);
  CHECK(book.Redeem(ticket, kTinta) == Redemption::kGranted);
  CHECK(book.Redeem(ticket, kTinta) == Redemption::kAlreadySpent);
}

TEST_CASE_METHOD(Fixture, "A new life of the sidecar grants no old ticket") {
  TicketRegistry before = MakeBook(1);
  const Ticket ticket = *before.Issue(kTinta, kTtl);
  // The new incarnation may draw the same number for a ticket of its own.
  drawn = 0;
  TicketRegistry after = MakeBook(2);
  after.Issue(kTinta, kTtl);
  CHECK(after.Redeem(ticket, kTinta) == Redemption::kUnknownTicket);
}

TEST_CASE_METHOD(Fixture, "A ticket that ended unspent is never granted") {
  TicketRegistry book = MakeBook(1);
  const Ticket ticket = *book.Issue(kTinta, kTtl);
  now += kTtl;
  CHECK(book.Redeem(ticket, kTinta) == Redemption::kEndedUnspent);
}

TEST_CASE_METHOD(Fixture, "A revoked ticket is never granted") {
  TicketRegistry book = MakeBook(1);
  const Ticket ticket = *book.Issue(kTinta, kTtl);
  CHECK(book.Revoke(ticket, kTinta) == Redemption::kEndedUnspent);
  CHECK(book.Redeem(ticket, kTinta) == Redemption::kEndedUnspent);
}

TEST_CASE_METHOD(Fixture, "Revoking a spent ticket does not deny its run") {
  TicketRegistry book = MakeBook(1);
  const Ticket ticket = *book.Issue(kTinta, kTtl);
  book.Redeem(ticket, kTinta);
  CHECK(book.Revoke(ticket, kTinta) == Redemption::kAlreadySpent);
}

TEST_CASE_METHOD(Fixture, "Another account cannot spend a ticket") {
  TicketRegistry book = MakeBook(1);
  const Ticket ticket = *book.Issue(kTinta, kTtl);
  CHECK(book.Redeem(ticket, kTan) == Redemption::kUnknownTicket);
  CHECK(book.Redeem(ticket, kTinta) == Redemption::kGranted);
}

TEST_CASE_METHOD(Fixture, "A forgotten ticket is unknown and never not run") {
  TicketRegistry book = MakeBook(1);
  const Ticket ticket = *book.Issue(kTinta, kTtl);
  book.Redeem(ticket, kTinta);
  now += Millis(10000);
  book.Issue(kTinta, kTtl);
  CHECK(book.Redeem(ticket, kTinta) == Redemption::kUnknownTicket);
}

TEST_CASE_METHOD(Fixture, "A full book issues nothing") {
  TicketRegistry book = MakeBook(1, 1);
  REQUIRE(book.Issue(kTinta, kTtl));
  CHECK_FALSE(book.Issue(kTinta, kTtl));
}

TEST_CASE("A ticket survives being carried as text") {
  const Ticket ticket{EndpointId{"e-1_x"}, Incarnation{0xFFFFFFFFFFFFFFFFU}, 7};
  const auto read = ParseTicket(FormatTicket(ticket));
  REQUIRE(read);
  CHECK(read->endpoint == ticket.endpoint);
  CHECK(read->incarnation == ticket.incarnation);
  CHECK(read->nonce == ticket.nonce);
}

TEST_CASE("Text that is no ticket is refused") {
  for (const char* text : {"", "hct1.", "hct1.12.34.e", "abc",
                           "hct1.000000000000000g.0000000000000001.e"}) {
    INFO("the text was '" << text << "'");
    CHECK_FALSE(ParseTicket(text));
  }
}

// One sidecar's slot, whose process may be replaced, and what it ran.
struct Slot {
  std::unique_ptr<TicketRegistry> book;
  std::uint64_t incarnation = 0;
  std::uint64_t nonce = 0;
};

// Random interleavings of issue, submission through any entry host, delivery
// late, twice or out of order, revocation, restart without memory, and time.
TEST_CASE("No interleaving of faults runs a ticketed request twice") {
  for (unsigned seed = 0; seed < 400; ++seed) {
    std::mt19937_64 random(seed);
    TimePoint now{};
    std::uint64_t next_incarnation = 1;
    std::vector<Slot> slots(3);
    const auto restart = [&](std::size_t i) {
      slots[i].incarnation = next_incarnation++;
      // Each incarnation draws the same numbers: only the incarnation tells
      // them apart.
      slots[i].nonce = 0;
      slots[i].book = std::make_unique<TicketRegistry>(
          EndpointId{"e" + std::to_string(i)},
          Incarnation{slots[i].incarnation}, 1000, [&] { return now; },
          [&slots, i] { return ++slots[i].nonce; });
    };
    for (std::size_t i = 0; i < slots.size(); ++i) {
      restart(i);
    }
    struct Request {
      Ticket ticket;
      int runs = 0;
      bool told_not_run = false;
    };
    std::vector<Request> requests;
    // Submissions that are on their way; one may be delivered many times.
    std::vector<std::size_t> on_the_way;
    for (int step = 0; step < 300; ++step) {
      const std::size_t slot = random() % slots.size();
      switch (random() % 6) {
        case 0: {
          const auto ticket = slots[slot].book->Issue(kTinta, kTtl);
          if (ticket) {
            requests.push_back(Request{*ticket});
          }
          break;
        }
        case 1:
          if (!requests.empty()) {
            on_the_way.push_back(random() % requests.size());
          }
          break;
        case 2:
        case 3:
          if (!on_the_way.empty()) {
            Request& request =
                requests[on_the_way[random() % on_the_way.size()]];
            // Entry hosts with different configurations may send a ticket to
            // any slot at all.
            const Redemption got =
                slots[slot].book->Redeem(request.ticket, kTinta);
            request.runs += got == Redemption::kGranted ? 1 : 0;
            request.told_not_run |= got == Redemption::kEndedUnspent;
          }
          break;
        case 4:
          if (!requests.empty()) {
            Request& request = requests[random() % requests.size()];
            const Redemption got =
                slots[slot].book->Revoke(request.ticket, kTinta);
            request.told_not_run |= got == Redemption::kEndedUnspent;
          }
          break;
        default:
          if (random() % 8 == 0) {
            restart(slot);
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
