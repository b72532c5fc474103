// Tickets give at-most-once execution to requests that must not be repeated.
//
// A ticket names one endpoint and one incarnation of its sidecar. Only the
// memory of that sidecar process records whether the ticket has been spent, so
// it can be spent at most once: a restarted sidecar has a new incarnation and
// does not accept tickets of earlier incarnations. docs/DESIGN.md compares the
// alternatives.

#ifndef HARECRANK_CORE_TICKET_REGISTRY_H_
#define HARECRANK_CORE_TICKET_REGISTRY_H_

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

#include "harecrank/core/clock.h"
#include "harecrank/core/strong_types.h"

namespace harecrank {

// Permission to run one request at one incarnation of an endpoint.
struct Ticket {
  EndpointId endpoint;
  Incarnation incarnation;
  // Random, so that a caller cannot guess the tickets of others.
  std::uint64_t nonce = 0;
};

// Returns the text form of a ticket that is given to callers. It consists of
// letters, digits, '.', '-' and '_' if the endpoint's id does.
std::string FormatTicket(const Ticket& ticket);

// Parses the output of FormatTicket. Returns nothing if `text` is not a ticket.
std::optional<Ticket> ParseTicket(const std::string& text);

// Result of redeeming (spending) or revoking a ticket.
enum class Redemption {
  // This call has spent the ticket. The holder may run the request.
  kGranted,
  // The ticket was spent before. The request may have run.
  kAlreadySpent,
  // The ticket expired or was revoked before it was spent. The request has not
  // run.
  kEndedUnspent,
  // The ticket belongs to another incarnation, endpoint or account, or its
  // record has been dropped. This sidecar does not know whether the request has
  // run.
  kUnknownTicket,
};

// Issues the tickets of one incarnation of a sidecar, and ensures that each is
// spent at most once. Not thread-safe; the owner serialises calls.
class TicketRegistry {
 public:
  // Holds at most `limit` tickets.
  TicketRegistry(EndpointId endpoint, Incarnation incarnation,
                 std::size_t limit, MonotonicClock clock, RandomSource random);

  // Issues a ticket that `account` may spend within `ttl`. Returns nothing if
  // the registry is full. Also drops, from time to time, the records of tickets
  // that expired more than one `ttl` ago.
  std::optional<Ticket> Issue(const AccountId& account, Millis ttl);

  // Spends a ticket. Returns kGranted at most once per ticket.
  Redemption Redeem(const Ticket& ticket, const AccountId& account);

  // Revokes an unspent ticket. Returns kEndedUnspent if the request certainly
  // has not run and will not run, and kAlreadySpent or kUnknownTicket
  // otherwise.
  Redemption Revoke(const Ticket& ticket, const AccountId& account);

  std::size_t Count() const { return entries_.size(); }

 private:
  enum class State { kUnspent, kSpent, kEnded };
  // An issued ticket.
  struct Entry {
    AccountId account;
    State state = State::kUnspent;
    TimePoint expires_at;
    // When the record is dropped.
    TimePoint drop_at;
  };

  Entry* Find(const Ticket& ticket, const AccountId& account);
  void DropOld(TimePoint now);

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
