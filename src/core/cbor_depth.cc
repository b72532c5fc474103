#include "harecrank/core/cbor_depth.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace harecrank {
namespace {

// The major types of RFC 8949, section 3.1.
enum class MajorType : unsigned {
  kUnsigned = 0,
  kNegative = 1,
  kBytes = 2,
  kText = 3,
  kList = 4,
  kMap = 5,
  kTag = 6,
  kSimple = 7
};

constexpr unsigned kMajorTypeShift = 5;
constexpr unsigned kArgumentMask = 0x1f;
// Arguments up to this one are the value itself.
constexpr unsigned kMaxInlineArgument = 23;
constexpr unsigned kMaxLengthArgument = 27;
constexpr unsigned kIndefinite = 31;
constexpr unsigned kBitsPerByte = 8;

// The first bytes of an item. `value` is unset if the length is indefinite, and
// for the byte that ends such an item.
struct ItemHead {
  MajorType type = MajorType::kUnsigned;
  std::optional<std::uint64_t> value;
};

// An item that is not complete yet. `left` is the number of items that it still
// contains; unset if a byte ends it.
struct OpenItem {
  std::optional<std::uint64_t> left;
};

class Scanner {
 public:
  Scanner(std::string_view bytes, std::size_t max_depth)
      : bytes_(bytes), max_depth_(max_depth) {}

  bool Scan() {
    do {
      if (!ScanItem()) {
        return false;
      }
    } while (!open_.empty());
    return true;
  }

 private:
  bool ScanItem() {
    const std::optional<ItemHead> head = TakeHead();
    if (!head.has_value()) {
      return false;
    }
    switch (head->type) {
      case MajorType::kBytes:
      case MajorType::kText:
        return head->value.has_value() ? Skip(*head->value) && Complete()
                                       : Open({std::nullopt});
      case MajorType::kList:
        return Open({head->value});
      case MajorType::kMap:
        return OpenMap(head->value);
      case MajorType::kTag:
        return head->value.has_value() && Open({1});
      case MajorType::kSimple:
        return head->value.has_value() ? Complete() : CloseIndefinite();
      case MajorType::kUnsigned:
      case MajorType::kNegative:
        break;
    }
    return head->value.has_value() && Complete();
  }

  std::optional<ItemHead> TakeHead() {
    if (bytes_.empty()) {
      return std::nullopt;
    }
    const auto first = static_cast<unsigned char>(bytes_.front());
    bytes_.remove_prefix(1);
    ItemHead head;
    head.type = static_cast<MajorType>(first >> kMajorTypeShift);
    const unsigned argument = first & kArgumentMask;
    if (argument <= kMaxInlineArgument) {
      head.value = argument;
      return head;
    }
    if (argument == kIndefinite) {
      return head;
    }
    if (argument > kMaxLengthArgument) {
      return std::nullopt;
    }
    const std::size_t size = std::size_t{1}
                             << (argument - kMaxInlineArgument - 1);
    if (bytes_.size() < size) {
      return std::nullopt;
    }
    std::uint64_t value = 0;
    for (std::size_t i = 0; i < size; ++i) {
      value = (value << kBitsPerByte) | static_cast<unsigned char>(bytes_[i]);
    }
    bytes_.remove_prefix(size);
    head.value = value;
    return head;
  }

  bool Skip(std::uint64_t size) {
    if (bytes_.size() < size) {
      return false;
    }
    bytes_.remove_prefix(static_cast<std::size_t>(size));
    return true;
  }

  bool OpenMap(std::optional<std::uint64_t> pairs) {
    if (pairs.has_value() && *pairs > bytes_.size()) {
      return false;
    }
    return Open({pairs.has_value() ? std::make_optional(2 * *pairs) : pairs});
  }

  bool Open(OpenItem item) {
    if (item.left == std::uint64_t{0}) {
      return Complete();
    }
    if (open_.size() == max_depth_) {
      return false;
    }
    open_.push_back(item);
    return true;
  }

  bool CloseIndefinite() {
    if (open_.empty() || open_.back().left.has_value()) {
      return false;
    }
    open_.pop_back();
    return Complete();
  }

  // An item is complete, and so are those of which it is the last.
  bool Complete() {
    while (!open_.empty() && open_.back().left.has_value()) {
      if (--*open_.back().left > 0) {
        return true;
      }
      open_.pop_back();
    }
    return true;
  }

  std::string_view bytes_;
  std::size_t max_depth_;
  std::vector<OpenItem> open_;
};

}  // namespace

bool IsShallowCbor(std::string_view bytes, std::size_t max_depth) {
  return Scanner(bytes, max_depth).Scan();
}

}  // namespace harecrank
