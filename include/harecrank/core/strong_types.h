// Strong types for ids and units.
//
// The compiler rejects an id of one kind where another kind is expected, or a
// number of tokens where milliseconds are expected.

#ifndef HARECRANK_CORE_STRONG_TYPES_H_
#define HARECRANK_CORE_STRONG_TYPES_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace harecrank {

// A string of the kind `Tag`, such as an id.
template <typename Tag>
struct StrongString {
  std::string value;

  friend bool operator==(const StrongString& a, const StrongString& b) {
    return a.value == b.value;
  }
  friend bool operator!=(const StrongString& a, const StrongString& b) {
    return !(a == b);
  }
  friend bool operator<(const StrongString& a, const StrongString& b) {
    return a.value < b.value;
  }
};

// A number of the kind `Tag`.
template <typename Tag, typename Rep>
struct StrongNumber {
  Rep value{};

  friend bool operator==(StrongNumber a, StrongNumber b) {
    return a.value == b.value;
  }
  friend bool operator!=(StrongNumber a, StrongNumber b) {
    return a.value != b.value;
  }
  friend bool operator<(StrongNumber a, StrongNumber b) {
    return a.value < b.value;
  }
  friend StrongNumber operator+(StrongNumber a, StrongNumber b) {
    return StrongNumber{a.value + b.value};
  }
  friend StrongNumber operator-(StrongNumber a, StrongNumber b) {
    return StrongNumber{a.value - b.value};
  }
};

using AccountId = StrongString<struct AccountTag>;
using AdapterName = StrongString<struct AdapterTag>;
using DataCentreId = StrongString<struct DataCentreTag>;
using EndpointId = StrongString<struct EndpointTag>;
// Identifies a host: IP address and port of its server for operators and other
// hosts.
using HostAddress = StrongString<struct HostAddressTag>;
using ModelId = StrongString<struct ModelTag>;
using NodeId = StrongString<struct NodeTag>;
using RegionId = StrongString<struct RegionTag>;
using ServiceName = StrongString<struct ServiceTag>;

// An amount of text, work or KV memory, in tokens.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;

// Identifies one run of a process. A process draws a new incarnation at random
// when it starts.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;

// Revision of the platform's store. Every change in the store increases it.
using StoreRevision = StrongNumber<struct StoreRevisionTag, std::uint64_t>;

// Identifies a request on a link. Chosen by the entry host.
using StreamId = StrongNumber<struct StreamTag, std::uint64_t>;

// Revision of the published configuration. Zero means none.
using Revision = StrongNumber<struct RevisionTag, std::uint32_t>;

using Millis = std::chrono::milliseconds;
// Milliseconds with a fractional part, because an engine step may take less
// than 1 ms.
using FractionalMillis = std::chrono::duration<double, std::milli>;

}  // namespace harecrank

namespace std {

template <typename Tag>
struct hash<harecrank::StrongString<Tag>> {
  size_t operator()(const harecrank::StrongString<Tag>& id) const {
    return hash<string>()(id.value);
  }
};

template <typename Tag, typename Rep>
struct hash<harecrank::StrongNumber<Tag, Rep>> {
  size_t operator()(harecrank::StrongNumber<Tag, Rep> number) const {
    return hash<Rep>()(number.value);
  }
};

}  // namespace std

#endif  // HARECRANK_CORE_STRONG_TYPES_H_
