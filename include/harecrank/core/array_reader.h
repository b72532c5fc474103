// Reads the arrays of which encoded fleet messages consist.

#ifndef HARECRANK_CORE_ARRAY_READER_H_
#define HARECRANK_CORE_ARRAY_READER_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "harecrank/core/strong_types.h"

namespace harecrank {

// Thrown for a number that is not a value of its enum. A host with a later
// version may send such numbers.
struct UnknownEnumValue {};

// Reads the elements of a JSON array in order. Throws json::exception if an
// element is missing or has the wrong type.
class ArrayReader {
 public:
  explicit ArrayReader(const nlohmann::json& array) : array_(array) {}

  const nlohmann::json& Next() { return array_.at(next_++); }
  bool AtEnd() const { return next_ >= array_.size(); }

  template <typename T>
  T Take() {
    return Next().get<T>();
  }

  template <typename T>
  T TakeString() {
    return T{Take<std::string>()};
  }

  template <typename T>
  T TakeNumber() {
    return T{Take<decltype(T::value)>()};
  }

  Millis TakeMillis() { return Millis(Take<std::int64_t>()); }
  FractionalMillis TakeTime() { return FractionalMillis(Take<double>()); }

  // Reads an array of arrays and calls `read` with a reader for each of them.
  template <typename Read>
  void EachOf(const Read& read) {
    for (const nlohmann::json& entry : Next()) {
      ArrayReader reader(entry);
      read(&reader);
    }
  }

 private:
  const nlohmann::json& array_;
  std::size_t next_ = 0;
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_ARRAY_READER_H_
