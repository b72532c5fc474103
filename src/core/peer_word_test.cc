#include "harecrank/core/peer_word.h"

#include <catch2/catch.hpp>

namespace harecrank {
namespace {

PeerWord Word(const std::string& address) {
  PeerWord word;
  word.node = NodeId{"n" + address};
  word.operations_address = address;
  word.routing = RoutingVersion{3};
  word.known_up_to = StoreRevision{40};
  word.source_well = true;
  return word;
}

class BookFixture {
 protected:
  TimePoint now_{std::chrono::hours(1)};
  PeerBook book_{"self",
                 {"self", "seed"},
                 [this] { return now_; },
                 [] { return std::uint64_t{0}; }};
};

TEST_CASE("A word comes back as it was told") {
  PeerWord word = Word("10.0.0.1:1");
  EndpointLoad load;
  load.read_backlog = FractionalMillis(12.5);
  load.unread_parts = 2;
  load.long_members = 1;
  load.memory = Tokens{7};
  load.tightest_gap = FractionalMillis(600);
  word.loads = {{EndpointId{"e"}, load}};
  word.avoided = {AvoidedEndpoint{EndpointId{"f"}, Millis(70)}};
  word.urgency = Urgency(33);
  word.least_late_work = FractionalMillis(2500);
  word.peers = {"10.0.0.2:1"};
  const auto read = DecodePeerWord(EncodePeerWord(word));
  REQUIRE(read.has_value());
  CHECK(read->node == word.node);
  CHECK(read->routing == word.routing);
  CHECK(read->loads.at(EndpointId{"e"}).unread_parts == 2);
  CHECK(read->loads.at(EndpointId{"e"}).read_backlog == load.read_backlog);
  CHECK(read->loads.at(EndpointId{"e"}).tightest_gap == load.tightest_gap);
  REQUIRE(read->avoided.size() == 1);
  CHECK(read->avoided.front().id == EndpointId{"f"});
  CHECK(read->avoided.front().left == Millis(70));
  CHECK(read->urgency == word.urgency);
  CHECK(read->least_late_work == word.least_late_work);
  CHECK(read->peers == word.peers);
}

TEST_CASE("Bytes that are no word are refused") {
  CHECK_FALSE(DecodePeerWord("").has_value());
  CHECK_FALSE(DecodePeerWord("\xff noise").has_value());
  const std::string whole = EncodePeerWord(Word("a"));
  for (std::size_t size = 0; size < whole.size(); ++size) {
    CHECK_FALSE(DecodePeerWord(whole.substr(0, size)).has_value());
  }
}

TEST_CASE_METHOD(BookFixture,
                 "Seeds are told until peers are known, and "
                 "peers' peers become known") {
  CHECK(book_.Targets() == std::vector<std::string>{"seed"});
  PeerWord word = Word("seed");
  word.peers = {"third", "self"};
  CHECK(book_.OnWord(word));
  CHECK_FALSE(book_.OnWord(word));
  CHECK(book_.Targets().size() == 2);
  CHECK(book_.AliveHosts() == 2);
  now_ += PeerBook::kAliveFor + Millis(1);
  CHECK(book_.AliveHosts() == 1);
}

TEST_CASE_METHOD(BookFixture, "A host tells a bounded number of peers") {
  for (int i = 0; i < 30; ++i) {
    book_.OnWord(Word(std::to_string(i)));
  }
  CHECK(book_.Targets().size() == PeerBook::kMostTold);
}

TEST_CASE_METHOD(BookFixture,
                 "Only a living peer that knows more is asked for it") {
  book_.OnWord(Word("seed"));
  CHECK(book_.BetterInformed(RoutingVersion{2}, StoreRevision{50}) == "seed");
  CHECK(book_.BetterInformed(RoutingVersion{3}, StoreRevision{39}) == "seed");
  CHECK_FALSE(book_.BetterInformed(RoutingVersion{3}, StoreRevision{40}));
  now_ += PeerBook::kAliveFor + Millis(1);
  CHECK_FALSE(book_.BetterInformed(RoutingVersion{2}, StoreRevision{0}));
}

TEST_CASE_METHOD(BookFixture, "Peers with something more urgent go first") {
  PeerWord word = Word("seed");
  word.urgency = Urgency(100);
  book_.OnWord(word);
  CHECK(book_.PeersAhead(Urgency(150)) == 1);
  CHECK(book_.PeersAhead(Urgency(50)) == 0);
  now_ += PeerBook::kUrgencyHolds + Millis(1);
  CHECK(book_.PeersAhead(Urgency(150)) == 0);
}

TEST_CASE_METHOD(BookFixture,
                 "The least late work of peers counts while it is fresh") {
  CHECK_FALSE(book_.LeastLateWork().has_value());
  PeerWord word = Word("a");
  word.least_late_work = FractionalMillis(900);
  book_.OnWord(word);
  word = Word("b");
  word.least_late_work = FractionalMillis(400);
  book_.OnWord(word);
  book_.OnWord(Word("c"));
  CHECK(book_.LeastLateWork() == FractionalMillis(400));
  now_ += PeerBook::kUrgencyHolds + Millis(1);
  CHECK_FALSE(book_.LeastLateWork().has_value());
}

}  // namespace
}  // namespace harecrank
