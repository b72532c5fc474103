// Limits the memory that the bodies of callers' requests occupy.

#ifndef HARECRANK_CORE_BODY_BUDGET_H_
#define HARECRANK_CORE_BODY_BUDGET_H_

#include <cstddef>
#include <memory>
#include <optional>

namespace harecrank {

// The bytes that may be reserved for bodies at once. Bodies are read whole, and
// kept until their requests have ended. Not thread-safe.
class BodyBudget {
 public:
  // Holds bytes of a budget until it is destroyed. May outlive the budget.
  class Reservation {
   public:
    Reservation(const BodyBudget& budget, std::size_t bytes);
    ~Reservation();
    Reservation(const Reservation&) = delete;
    Reservation& operator=(const Reservation&) = delete;

   private:
    std::shared_ptr<std::size_t> reserved_;
    std::size_t bytes_;
  };

  // There is no limit if `limit`, in bytes, is not set.
  explicit BodyBudget(std::optional<std::size_t> limit) : limit_(limit) {}

  // Returns whether `bytes` more may be reserved. A single body always fits, so
  // that a large one is not rejected for ever.
  bool Fits(std::size_t bytes) const;

  // Returns whether so much is reserved that new callers are refused. The rest
  // is left for those who have a connection.
  bool IsNearlyUsed() const;

  std::size_t Reserved() const { return *reserved_; }

 private:
  std::optional<std::size_t> limit_;
  std::shared_ptr<std::size_t> reserved_ = std::make_shared<std::size_t>(0);
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_BODY_BUDGET_H_
