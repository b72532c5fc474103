#include "src/adapters/wire.h"

#include <catch2/catch.hpp>

namespace harecrank::wire {
namespace {

namespace leaf = boost::leaf;

template <typename T>
T RoundTrip(const T& message) {
  const auto decoded = Decode(Encode(message));
  REQUIRE(decoded);
  REQUIRE(std::holds_alternative<T>(decoded.value()));
  return std::get<T>(decoded.value());
}

// Returns the message of the error from decoding `bytes`, or "" if they decode.
std::string ErrorOf(const std::string& bytes) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(Decode(bytes));
        return std::string();
      },
      [](const WireError& error) { return Describe(error); },
      [] { return std::string("unexpected error type"); });
}

TEST_CASE("A submission is unchanged by encoding and decoding") {
  Submit submit;
  submit.stream = StreamId{7};
  submit.work = Work::kSegment;
  submit.account = AccountId{"tinta"};
  submit.prompt = Tokens{1000000};
  submit.deadline = RemoteMillis{-5};
  submit.segments = {SegmentRef{"127.0.0.1:1", "s"}};
  const Submit decoded_submit = RoundTrip(submit);
  CHECK(decoded_submit.stream == submit.stream);
  CHECK(decoded_submit.work == Work::kSegment);
  CHECK(decoded_submit.prompt == submit.prompt);
  CHECK(decoded_submit.deadline == submit.deadline);
  CHECK(decoded_submit.segments.front().segment == "s");
}

TEST_CASE("A body chunk may end inside a character") {
  const std::string bytes("\xC3\x28\x00\xFF", 4);
  CHECK(RoundTrip(BodyChunk{StreamId{1}, bytes}).bytes == bytes);
}

TEST_CASE("An encoded heartbeat is at most 40 bytes long") {
  SidecarHeartbeat heartbeat;
  heartbeat.clock = RemoteMillis{123456789};
  heartbeat.load.memory = Tokens{500000};
  const std::size_t size = Encode(heartbeat).size();
  INFO("a heartbeat takes " << size << " bytes");
  CHECK(size <= 40);
}

TEST_CASE("Invalid messages are rejected with a reason") {
  CHECK(ErrorOf("") != "");
  CHECK(ErrorOf("not cbor") != "");
  CHECK(ErrorOf("\x82\x18\x63\xA0").find("no message type 99") !=
        std::string::npos);
  CHECK(ErrorOf("\x82\x03\xA0").find("a field is wrong") != std::string::npos);
}

}  // namespace
}  // namespace harecrank::wire
