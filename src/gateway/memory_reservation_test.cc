#include "src/gateway/memory_reservation.h"

#include <catch2/catch.hpp>
#include <map>
#include <utility>

namespace harecrank {
namespace {

// Engines whose responses the test triggers.
class ScriptedOrders : public MemoryOrders {
 public:
  void Reserve(const std::string& address, const MemoryTicket&, Tokens, Millis,
               OnResult on_result) override {
    ++reserve_calls_[address];
    reservations_.push_back(std::move(on_result));
  }
  void Release(const std::string& address, const MemoryTicket&,
               OnResult on_result) override {
    ++released_[address];
    releases_.push_back(std::move(on_result));
  }

  void Respond(std::size_t which, bool reserved) {
    reservations_.at(which)(OrderResult{reserved, EndpointResponse{}});
  }
  void RespondToRelease(std::size_t which) {
    releases_.at(which)(OrderResult{true, EndpointResponse{}});
  }

  std::map<std::string, int> reserve_calls_;
  std::map<std::string, int> released_;

 private:
  std::vector<OnResult> reservations_;
  std::vector<OnResult> releases_;
};

MemoryNeed Need(const std::string& address, const std::string& ticket) {
  MemoryNeed need;
  need.endpoint.id = EndpointId{"engine-" + address};
  need.endpoint.address = address;
  need.ticket = MemoryTicket{ticket};
  need.amount = Tokens{5};
  return need;
}

class ReservationFixture {
 protected:
  std::shared_ptr<MemoryReservation> Acquire() {
    auto reservation = std::make_shared<MemoryReservation>(
        &io_, &orders_,
        std::vector<MemoryNeed>{Need("a", "t1"), Need("b", "t2")},
        [this](const EndpointRecord& endpoint, const EndpointResponse&) {
          responded_.push_back(endpoint.id.value);
        });
    reservation->Acquire(
        [this](bool reserved) { outcomes_.push_back(reserved); });
    return reservation;
  }

  boost::asio::io_context io_;
  ScriptedOrders orders_;
  std::vector<bool> outcomes_;
  // Endpoints whose responses were passed on, in order.
  std::vector<std::string> responded_;
};

TEST_CASE_METHOD(ReservationFixture,
                 "Every response of an engine is passed on") {
  const auto reservation = Acquire();
  orders_.Respond(0, true);
  orders_.Respond(1, true);
  reservation->Release();
  orders_.RespondToRelease(1);
  CHECK(responded_ ==
        std::vector<std::string>{"engine-a", "engine-b", "engine-b"});
}

TEST_CASE_METHOD(
    ReservationFixture,
    "The reservation succeeds when every engine has reserved its memory") {
  const auto reservation = Acquire();
  orders_.Respond(0, true);
  CHECK(outcomes_.empty());
  orders_.Respond(1, true);
  CHECK(outcomes_ == std::vector<bool>{true});
  CHECK(orders_.released_.empty());
  reservation->Release();
  reservation->Release();
  CHECK(orders_.released_ == std::map<std::string, int>{{"a", 1}, {"b", 1}});
}

TEST_CASE_METHOD(
    ReservationFixture,
    "If one engine reserves nothing, the memory of all is released at once") {
  const auto reservation = Acquire();
  orders_.Respond(0, true);
  orders_.Respond(1, false);
  CHECK(outcomes_ == std::vector<bool>{false});
  CHECK(orders_.released_ == std::map<std::string, int>{{"a", 1}, {"b", 1}});
}

TEST_CASE_METHOD(ReservationFixture,
                 "A release before the engines respond releases all memory and "
                 "suppresses the callback") {
  const auto reservation = Acquire();
  reservation->Release();
  orders_.Respond(0, true);
  orders_.Respond(1, true);
  CHECK(outcomes_.empty());
  CHECK(orders_.released_.size() == 2);
}

TEST_CASE_METHOD(ReservationFixture,
                 "A reservation is renewed until it is released") {
  const auto reservation = Acquire();
  orders_.Respond(0, true);
  orders_.Respond(1, true);
  // Runs the handler of the renewal timer.
  io_.run_one();
  CHECK(orders_.reserve_calls_ ==
        std::map<std::string, int>{{"a", 2}, {"b", 2}});
  reservation->Release();
  io_.restart();
  io_.run();
  CHECK(orders_.reserve_calls_ ==
        std::map<std::string, int>{{"a", 2}, {"b", 2}});
}

}  // namespace
}  // namespace harecrank
