#include "harecrank/core/ticket_registry.h"

#include <charconv>
#include <cstdio>
#include <utility>

namespace harecrank {
namespace {

constexpr char kTicketPrefix[] = "hct1.";
constexpr std::size_t kHexDigits = 16;
constexpr Millis kSweepInterval{1000};

std::string Hex(std::uint64_t number) {
  char text[kHexDigits + 1];
  std::snprintf(text, sizeof(text), "%016llx",
                static_cast<unsigned long long>(number));
  return text;
}

std::optional<std::uint64_t> FromHex(const std::string& text) {
  constexpr int kBase = 16;
  std::uint64_t number = 0;
  const char* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number, kBase);
  if (text.size() != kHexDigits || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

}  // namespace

std::string FormatTicket(const Ticket& ticket) {
  return kTicketPrefix + Hex(ticket.incarnation.value) + "." +
         Hex(ticket.nonce) + "." + ticket.endpoint.value;
}

std::optional<Ticket> ParseTicket(const std::string& text) {
  const std::size_t prefix = sizeof(kTicketPrefix) - 1;
  const std::size_t nonce_at = prefix + kHexDigits + 1;
  const std::size_t endpoint_at = nonce_at + kHexDigits + 1;
  if (text.size() <= endpoint_at ||
      text.compare(0, prefix, kTicketPrefix) != 0 ||
      text[nonce_at - 1] != '.' || text[endpoint_at - 1] != '.') {
    return std::nullopt;
  }
  const auto incarnation = FromHex(text.substr(prefix, kHexDigits));
  const auto nonce = FromHex(text.substr(nonce_at, kHexDigits));
  if (!incarnation || !nonce) {
    return std::nullopt;
  }
  return Ticket{EndpointId{text.substr(endpoint_at)}, Incarnation{*incarnation},
                *nonce};
}

TicketRegistry::TicketRegistry(EndpointId endpoint, Incarnation incarnation,
                               std::size_t limit, MonotonicClock clock,
                               RandomSource random)
    : endpoint_(std::move(endpoint)),
      incarnation_(incarnation),
      limit_(limit),
      clock_(std::move(clock)),
      random_(std::move(random)) {}

std::optional<Ticket> TicketRegistry::Issue(const AccountId& account,
                                            Millis ttl) {
  const TimePoint now = clock_();
  DropOld(now);
  if (entries_.size() >= limit_) {
    return std::nullopt;
  }
  std::uint64_t nonce = random_();
  while (entries_.count(nonce) > 0) {
    nonce = random_();
  }
  // The record is kept for a second `ttl` after the ticket expires, so that a
  // caller who asks late still learns whether the ticket was spent.
  entries_.emplace(nonce,
                   Entry{account, State::kUnspent, now + ttl, now + ttl + ttl});
  return Ticket{endpoint_, incarnation_, nonce};
}

Redemption TicketRegistry::Redeem(const Ticket& ticket,
                                  const AccountId& account) {
  Entry* entry = Find(ticket, account);
  if (entry == nullptr) {
    return Redemption::kUnknownTicket;
  }
  if (entry->state == State::kSpent) {
    return Redemption::kAlreadySpent;
  }
  if (entry->state == State::kEnded || entry->expires_at <= clock_()) {
    entry->state = State::kEnded;
    return Redemption::kEndedUnspent;
  }
  entry->state = State::kSpent;
  return Redemption::kGranted;
}

Redemption TicketRegistry::Revoke(const Ticket& ticket,
                                  const AccountId& account) {
  Entry* entry = Find(ticket, account);
  if (entry == nullptr) {
    return Redemption::kUnknownTicket;
  }
  if (entry->state == State::kSpent) {
    return Redemption::kAlreadySpent;
  }
  entry->state = State::kEnded;
  return Redemption::kEndedUnspent;
}

TicketRegistry::Entry* TicketRegistry::Find(const Ticket& ticket,
                                            const AccountId& account) {
  if (ticket.endpoint != endpoint_ || ticket.incarnation != incarnation_) {
    return nullptr;
  }
  const auto found = entries_.find(ticket.nonce);
  if (found == entries_.end() || found->second.account != account) {
    return nullptr;
  }
  return &found->second;
}

void TicketRegistry::DropOld(TimePoint now) {
  if (now < next_sweep_) {
    return;
  }
  next_sweep_ = now + kSweepInterval;
  for (auto entry = entries_.begin(); entry != entries_.end();) {
    entry =
        entry->second.drop_at <= now ? entries_.erase(entry) : std::next(entry);
  }
}

}  // namespace harecrank
