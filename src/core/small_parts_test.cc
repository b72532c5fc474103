// Tests of small components without a test file of their own: rendezvous
// hashing, the answer assembler, the prefix set, the pause guard and weight
// loads.

#include <catch2/catch.hpp>
#include <map>
#include <set>

#include "harecrank/core/answer_assembler.h"
#include "harecrank/core/pause_guard.h"
#include "harecrank/core/recent_prefixes.h"
#include "harecrank/core/rendezvous.h"
#include "harecrank/core/weight_loads.h"

namespace harecrank {
namespace {

std::vector<std::string> MakeMembers(int count) {
  std::vector<std::string> members;
  members.reserve(static_cast<std::size_t>(count));
  for (int i = 0; i < count; ++i) {
    members.push_back("m" + std::to_string(i));
  }
  return members;
}

TEST_CASE("The ranking does not depend on the order of the members") {
  auto members = MakeMembers(20);
  const auto top = RendezvousTop("key", members, 5);
  std::reverse(members.begin(), members.end());
  CHECK(RendezvousTop("key", members, 5) == top);
}

TEST_CASE("Removing a member moves only the keys of that member") {
  const auto members = MakeMembers(10);
  auto fewer = members;
  fewer.erase(fewer.begin() + 3);
  for (int i = 0; i < 200; ++i) {
    const std::string key = "k" + std::to_string(i);
    const std::string before = RendezvousTop(key, members, 1).front();
    if (before != "m3") {
      CHECK(RendezvousTop(key, fewer, 1).front() == before);
    }
  }
}

TEST_CASE("The assembler delivers each token once and in order") {
  AnswerAssembler assembler;
  std::string text;
  const std::vector<AnswerToken> arrivals{
      {0, "a"}, {2, "c"}, {1, "b"}, {1, "b"}, {0, "a"}, {4, "e"}, {3, "d"}};
  for (const AnswerToken& arrival : arrivals) {
    for (const AnswerToken& token : assembler.Accept(arrival)) {
      text += token.text;
    }
  }
  CHECK(text == "abcde");
  CHECK(assembler.NextPosition() == 5);
}

TEST_CASE("A prefix is in the set from its second insertion on") {
  RecentPrefixes memory;
  CHECK_FALSE(memory.TestAndInsert(17));
  CHECK(memory.TestAndInsert(17));
  CHECK_FALSE(memory.TestAndInsert(0));
  CHECK_FALSE(memory.TestAndInsert(0));
}

TEST_CASE("A decision is not acted on after too long a pause") {
  TimePoint now{};
  PauseGuard guard(Millis(100), [&] { return now; });
  guard.OnDecision();
  now += Millis(100);
  CHECK(guard.MayAct());
  now += Millis(1);
  CHECK_FALSE(guard.MayAct());
}

TEST_CASE("No batch of weight loads exceeds the store's limit") {
  const auto endpoints = MakeMembers(11);
  std::map<std::int64_t, int> waves;
  for (const std::string& id : endpoints) {
    const Millis delay =
        WeightLoadDelay("m 2", endpoints, EndpointId{id}, 3, Millis(1000));
    ++waves[delay.count()];
  }
  CHECK(waves.size() == 4);
  for (const auto& wave : waves) {
    CHECK(wave.second <= 3);
  }
}

}  // namespace
}  // namespace harecrank
