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

// Returns the words of the error that `bytes` give, or "" if they decode.
std::string ErrorOf(const std::string& bytes) {
  return leaf::try_handle_all(
      [&]() -> leaf::result<std::string> {
        BOOST_LEAF_CHECK(Decode(bytes));
        return std::string();
      },
      [](const WireError& error) { return Describe(error); },
      [] { return std::string("another layer"); });
}

TEST_CASE("A submission survives the wire") {
  Submit submit;
  submit.stream = StreamId{7};
  submit.work = Work::kSegment;
  submit.account = AccountId{"tinta"};
  submit.prompt = Tokens{1000000};
  submit.deadline = RemoteMillis{-5};
  submit.segments = {SegmentRef{"127.0.0.1:1", "s"}};
  const Submit read = RoundTrip(submit);
  CHECK(read.stream == submit.stream);
  CHECK(read.work == Work::kSegment);
  CHECK(read.prompt == submit.prompt);
  CHECK(read.deadline == submit.deadline);
  CHECK(read.segments.front().segment == "s");
}

TEST_CASE("A piece may end inside a character") {
  const std::string bytes("\xC3\x28\x00\xFF", 4);
  CHECK(RoundTrip(BodyChunk{StreamId{1}, bytes}).bytes == bytes);
}

TEST_CASE("A pulse is small") {
  SidecarHeartbeat pulse;
  pulse.clock = RemoteMillis{123456789};
  pulse.load.memory = Tokens{500000};
  const std::size_t size = Encode(pulse).size();
  INFO("a pulse takes " << size << " bytes");
  CHECK(size <= 40);
}

TEST_CASE("Bytes that are no message are refused with a reason") {
  CHECK(ErrorOf("") != "");
  CHECK(ErrorOf("not cbor") != "");
  CHECK(ErrorOf("\x82\x18\x63\xA0").find("no message type 99") !=
        std::string::npos);
  CHECK(ErrorOf("\x82\x03\xA0").find("a field is wrong") != std::string::npos);
}

}  // namespace
}  // namespace harecrank::wire
