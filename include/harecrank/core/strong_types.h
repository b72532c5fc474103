// Strong types for ids and units.
//
// An id of one kind never passes for an id of another, and a number of tokens
// never passes for a number of milliseconds.

#ifndef HARECRANK_CORE_STRONG_TYPES_H_
#define HARECRANK_CORE_STRONG_TYPES_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace harecrank {

// A string that names one thing of the kind `Tag`.
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

// A whole number of the kind `Tag`.
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
using ModelId = StrongString<struct ModelTag>;
using NodeId = StrongString<struct NodeTag>;
using ServiceName = StrongString<struct ServiceTag>;

// An amount of text or of KV memory, in tokens.
using Tokens = StrongNumber<struct TokensTag, std::int64_t>;

// Names one incarnation of a process. A restart draws a new one at random.
using Incarnation = StrongNumber<struct IncarnationTag, std::uint64_t>;

// Orders all changes of the platform's service.
using StoreRevision = StrongNumber<struct StoreRevisionTag, std::uint64_t>;

// Names one request on one link, chosen by the entry host.
using StreamId = StrongNumber<struct StreamTag, std::uint64_t>;

// A revision of the published configuration. Zero means none.
using Revision = StrongNumber<struct RevisionTag, std::uint32_t>;

using Millis = std::chrono::milliseconds;
// With fractions: engine steps take under one.
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
