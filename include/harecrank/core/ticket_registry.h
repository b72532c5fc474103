// Tickets: the one place where a request that may not be repeated can run.
//
// A ticket names one endpoint and one incarnation of its sidecar. It is spent
// in the memory of that process and nowhere else, so it can be spent once at
// most: a sidecar that restarted draws a new incarnation and refuses every
// ticket of the incarnation before it. docs/DESIGN.md weighs this against the
// other ways.

#ifndef HARECRANK_CORE_TICKET_REGISTRY_H_
#define HARECRANK_CORE_TICKET_REGISTRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Names the one place where a request may run.
struct Ticket {
  EndpointId endpoint;
  Incarnation incarnation;
  // Drawn at random, so that one caller cannot guess another's.
  std::uint64_t nonce = 0;
};

// Returns the form in which callers carry a ticket. Letters, digits, '.', '-'
// and '_' only, provided the endpoint's id has no others.
std::string FormatTicket(const Ticket& ticket);

// Reads what FormatTicket wrote. Returns nothing if `text` is no ticket.
std::optional<Ticket> ParseTicket(const std::string& text);

// What became of an attempt to spend a ticket.
enum class Redemption {
  // The ticket is spent now, by this call: the holder may run the request.
  kGranted,
  // It was spent before. The request may have run.
  kAlreadySpent,
  // It ended or was revoked unspent: the request did not run.
  kEndedUnspent,
  // It is of another incarnation or endpoint, or of another account, or was
  // forgotten. Nothing is known here of whether the request ran.
  kUnknownTicket,
};

// The tickets that one incarnation of a sidecar has issued.
//
// Not thread-safe; its owner serialises calls.
class TicketRegistry {
 public:
  // At most `limit` tickets are remembered at once.
  TicketRegistry(EndpointId endpoint, Incarnation incarnation,
                 std::size_t limit, MonotonicClock clock, RandomSource random);

  // Issues a ticket that `account` may spend within `ttl`. Returns nothing if
  // the book is full.
  std::optional<Ticket> Issue(const AccountId& account, Millis ttl);

  // Spends a ticket. Grants it once at most, whatever is called in between.
  Redemption Redeem(const Ticket& ticket, const AccountId& account);

  // Ends an unspent ticket. Returns kEndedUnspent if it is now certain that
  // the request did not and will not run; otherwise as Redeem, spending
  // nothing.
  Redemption Revoke(const Ticket& ticket, const AccountId& account);

  std::size_t Count() const { return entries_.size(); }

 private:
  enum class State { kUnspent, kSpent, kEnded };
  struct Entry {
    AccountId account;
    State state = State::kUnspent;
    TimePoint end;
    TimePoint forget_at;
  };

  Entry* Find(const Ticket& ticket, const AccountId& account);
  void ForgetOld(TimePoint now);

  EndpointId endpoint_;
  Incarnation incarnation_;
  std::size_t limit_;
  MonotonicClock clock_;
  RandomSource random_;
  std::unordered_map<std::uint64_t, Entry> entries_;
  TimePoint next_sweep_{};
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_TICKET_REGISTRY_H_
