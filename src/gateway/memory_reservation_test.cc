#include "src/gateway/memory_reservation.h"

#include <catch2/catch.hpp>
#include <map>
#include <utility>

namespace harecrank {
namespace {

// Engines that answer when the test says so.
class ScriptedOrders : public MemoryOrders {
 public:
  void Reserve(const std::string& address, const MemoryTicket&, Tokens, Millis,
               OnResult on_result) override {
    ++reserved_[address];
    answers_.push_back(std::move(on_result));
  }
  void Release(const std::string& address, const MemoryTicket&,
               OnResult on_result) override {
    ++released_[address];
    releases_.push_back(std::move(on_result));
  }

  void Answer(std::size_t which, bool held) {
    answers_.at(which)(OrderResult{held, EndpointResponse{}});
  }
  void AnswerRelease(std::size_t which) {
    releases_.at(which)(OrderResult{true, EndpointResponse{}});
  }

  std::map<std::string, int> reserved_;
  std::map<std::string, int> released_;

 private:
  std::vector<OnResult> answers_;
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

class HoldFixture {
 protected:
  std::shared_ptr<MemoryReservation> Acquire() {
    auto hold = std::make_shared<MemoryReservation>(
        &io_, &orders_,
        std::vector<MemoryNeed>{Need("a", "t1"), Need("b", "t2")},
        [this](const EndpointRecord& endpoint, const EndpointResponse&) {
          heard_.push_back(endpoint.id.value);
        });
    hold->Acquire([this](bool held) { outcomes_.push_back(held); });
    return hold;
  }

  boost::asio::io_context io_;
  ScriptedOrders orders_;
  std::vector<bool> outcomes_;
  // Whose answers were told.
  std::vector<std::string> heard_;
};

TEST_CASE_METHOD(HoldFixture, "Every answer of an engine to an order is told") {
  const auto hold = Acquire();
  orders_.Answer(0, true);
  orders_.Answer(1, true);
  hold->Release();
  orders_.AnswerRelease(1);
  CHECK(heard_ == std::vector<std::string>{"engine-a", "engine-b", "engine-b"});
}

TEST_CASE_METHOD(HoldFixture, "Memory is held when every engine has given it") {
  const auto hold = Acquire();
  orders_.Answer(0, true);
  CHECK(outcomes_.empty());
  orders_.Answer(1, true);
  CHECK(outcomes_ == std::vector<bool>{true});
  CHECK(orders_.released_.empty());
  hold->Release();
  hold->Release();
  CHECK(orders_.released_ == std::map<std::string, int>{{"a", 1}, {"b", 1}});
}

TEST_CASE_METHOD(HoldFixture,
                 "When one engine gives nothing, all is given back at once, "
                 "also where no answer came") {
  const auto hold = Acquire();
  orders_.Answer(0, true);
  orders_.Answer(1, false);
  CHECK(outcomes_ == std::vector<bool>{false});
  CHECK(orders_.released_ == std::map<std::string, int>{{"a", 1}, {"b", 1}});
}

TEST_CASE_METHOD(HoldFixture,
                 "A request that ends before the engines answer leaves nothing "
                 "held and hears nothing") {
  const auto hold = Acquire();
  hold->Release();
  orders_.Answer(0, true);
  orders_.Answer(1, true);
  CHECK(outcomes_.empty());
  CHECK(orders_.released_.size() == 2);
}

TEST_CASE_METHOD(HoldFixture, "What is held is renewed until it is released") {
  const auto hold = Acquire();
  orders_.Answer(0, true);
  orders_.Answer(1, true);
  // Runs the one timer that waits.
  io_.run_one();
  CHECK(orders_.reserved_ == std::map<std::string, int>{{"a", 2}, {"b", 2}});
  hold->Release();
  io_.restart();
  io_.run();
  CHECK(orders_.reserved_ == std::map<std::string, int>{{"a", 2}, {"b", 2}});
}

}  // namespace
}  // namespace harecrank
