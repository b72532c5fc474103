// Limits the memory that callers' requests and the answers to them occupy.

#ifndef HARECRANK_CORE_BODY_BUDGET_H_
#define HARECRANK_CORE_BODY_BUDGET_H_

#include <cstddef>
#include <memory>
#include <optional>

namespace harecrank {

// The bytes that all connections of callers may hold at once: heads and bodies
// of requests, and answers that were not sent yet. Bodies are read whole, and
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

    // Changes what is reserved to `bytes`, whether or not they fit.
    void Resize(std::size_t bytes);
    std::size_t Bytes() const { return bytes_; }

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

  // Returns whether so much more is reserved than the limit that connections
  // must be closed. Up to then, answers may be held beside the bodies that were
  // admitted.
  bool IsExceeded() const;

  std::size_t Reserved() const { return *reserved_; }

 private:
  std::optional<std::size_t> limit_;
  std::shared_ptr<std::size_t> reserved_ = std::make_shared<std::size_t>(0);
};

}  // namespace harecrank

#endif  // HARECRANK_CORE_BODY_BUDGET_H_
