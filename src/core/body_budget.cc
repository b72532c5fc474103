#include "harecrank/core/body_budget.h"

namespace harecrank {
namespace {

// Share of the limit from which on new callers are refused.
constexpr double kNearlyUsedShare = 0.75;
// Share of the limit beyond which connections are closed.
constexpr double kExceededShare = 1.25;

}  // namespace

BodyBudget::Reservation::Reservation(const BodyBudget& budget,
                                     std::size_t bytes)
    : reserved_(budget.reserved_), bytes_(bytes) {
  *reserved_ += bytes_;
}

BodyBudget::Reservation::~Reservation() { *reserved_ -= bytes_; }

void BodyBudget::Reservation::Resize(std::size_t bytes) {
  *reserved_ += bytes;
  *reserved_ -= bytes_;
  bytes_ = bytes;
}

bool BodyBudget::Fits(std::size_t bytes) const {
  return !limit_.has_value() || Reserved() == 0 ||
         Reserved() + bytes <= *limit_;
}

bool BodyBudget::IsExceeded() const {
  return limit_.has_value() &&
         static_cast<double>(Reserved()) >
             kExceededShare * static_cast<double>(*limit_);
}

bool BodyBudget::IsNearlyUsed() const {
  return limit_.has_value() &&
         static_cast<double>(Reserved()) >=
             kNearlyUsedShare * static_cast<double>(*limit_);
}

}  // namespace harecrank
