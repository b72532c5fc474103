#include "src/adapters/wire.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "harecrank/core/cbor_depth.h"

// JSON conversions of strong types and durations, which all messages use.
namespace nlohmann {

template <typename Tag>
struct adl_serializer<harecrank::StrongString<Tag>> {
  static void to_json(json& to, const harecrank::StrongString<Tag>& from) {
    to = from.value;
  }
  static void from_json(const json& from, harecrank::StrongString<Tag>& to) {
    from.get_to(to.value);
  }
};

template <typename Tag, typename Rep>
struct adl_serializer<harecrank::StrongNumber<Tag, Rep>> {
  static void to_json(json& to, harecrank::StrongNumber<Tag, Rep> from) {
    to = from.value;
  }
  static void from_json(const json& from,
                        harecrank::StrongNumber<Tag, Rep>& to) {
    from.get_to(to.value);
  }
};

template <>
struct adl_serializer<harecrank::Millis> {
  static void to_json(json& to, harecrank::Millis from) { to = from.count(); }
  static void from_json(const json& from, harecrank::Millis& to) {
    to = harecrank::Millis(from.get<std::int64_t>());
  }
};

}  // namespace nlohmann

namespace harecrank {

using nlohmann::json;

// A load report is part of each heartbeat, so it is encoded without field names
// to save space.
void to_json(json& to, const LoadReport& from) {
  to = json::array({from.short_backlog.value, from.long_backlog.value,
                    from.free_memory.value, from.memory.value, from.running});
}

void from_json(const json& from, LoadReport& to) {
  std::size_t field = 0;
  from.at(field++).get_to(to.short_backlog.value);
  from.at(field++).get_to(to.long_backlog.value);
  from.at(field++).get_to(to.free_memory.value);
  from.at(field++).get_to(to.memory.value);
  from.at(field++).get_to(to.running);
}

NLOHMANN_JSON_SERIALIZE_ENUM(LengthClass, {{LengthClass::kShort, "short"},
                                           {LengthClass::kLong, "long"}})

namespace wire {

NLOHMANN_JSON_SERIALIZE_ENUM(Work, {{Work::kGenerate, "generate"},
                                    {Work::kSegment, "segment"},
                                    {Work::kCall, "call"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Hello, version, node, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SegmentRef, engine_address, segment)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Submit, stream, work, account,
                                   account_weight, model, adapter, length,
                                   prompt, answer, resume_from, deadline,
                                   ticket, window, segments, reservation,
                                   method, path, content_type, body_bytes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Revoke, stream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Cancel, stream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Credit, stream, tokens)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TicketRequest, call, account, ttl)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TicketRevoke, call, account, ticket)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Reserve, stream, model, amount, ttl)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Welcome, version, node, incarnation,
                                   pulse_interval)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Accepted, stream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Started, stream)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Finished, stream, length, reason, status,
                                   content_type, segment)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Refused, stream, code, message, retry_after)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Failed, stream, code, message, ended)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(TicketAnswer, call, ticket, outcome)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Reserved, stream)

// Chunks are encoded as bytes, not text, because a chunk may end inside a
// character.
void to_json(json& to, const BodyChunk& from) {
  to = json::array(
      {from.stream.value, json::binary(std::vector<std::uint8_t>(
                              from.bytes.begin(), from.bytes.end()))});
}

void from_json(const json& from, BodyChunk& to) {
  from.at(0).get_to(to.stream.value);
  const auto& bytes = from.at(1).get_binary();
  to.bytes.assign(bytes.begin(), bytes.end());
}

void to_json(json& to, const SidecarHeartbeat& from) {
  to = json::array({from.clock.value, from.load, from.draining});
}

void from_json(const json& from, SidecarHeartbeat& to) {
  from.at(0).get_to(to.clock.value);
  from.at(1).get_to(to.load);
  from.at(2).get_to(to.draining);
}

// Most messages are Output, so it is encoded without field names. Its items are
// encoded as bytes, because the response of a service need not be text.
void to_json(json& to, const Output& from) {
  json tokens = json::array();
  for (const std::string& token : from.tokens) {
    tokens.push_back(
        json::binary(std::vector<std::uint8_t>(token.begin(), token.end())));
  }
  to = json::array({from.stream.value, from.position, std::move(tokens)});
}

void from_json(const json& from, Output& to) {
  from.at(0).get_to(to.stream.value);
  from.at(1).get_to(to.position);
  for (const json& token : from.at(2)) {
    const auto& bytes = token.get_binary();
    to.tokens.emplace_back(bytes.begin(), bytes.end());
  }
}

namespace {

namespace leaf = boost::leaf;

struct Describer {
  std::string operator()(const NotCbor&) const {
    return "the frame holds no CBOR array of a type and its fields";
  }
  std::string operator()(const UnknownMessage& error) const {
    return "there is no message type " + std::to_string(error.type);
  }
  std::string operator()(const BadField& error) const {
    return "a field is wrong: " + error.reason;
  }
};

// Decodes the fields of a message with the type number `type`, which is the
// index of an alternative of Message. Tests the alternatives one by one,
// starting at kIndex.
template <std::size_t kIndex = 0>
leaf::result<Message> DecodeFields(int type, const json& fields) {
  if constexpr (kIndex == std::variant_size_v<Message>) {
    return leaf::new_error(WireError{UnknownMessage{type}});
  } else {
    if (static_cast<std::size_t>(type) != kIndex) {
      return DecodeFields<kIndex + 1>(type, fields);
    }
    return Message(fields.get<std::variant_alternative_t<kIndex, Message>>());
  }
}

}  // namespace

std::string Describe(const WireError& error) {
  return std::visit(Describer{}, error);
}

std::string Encode(const Message& message) {
  const json fields =
      std::visit([](const auto& typed) { return json(typed); }, message);
  std::string bytes;
  json::to_cbor(json::array({message.index(), fields}), bytes);
  return bytes;
}

leaf::result<Message> Decode(const std::string& bytes) {
  constexpr bool kStrict = true;
  constexpr bool kThrow = false;
  if (!IsShallowCbor(bytes)) {
    return leaf::new_error(WireError{NotCbor{}});
  }
  const json frame = json::from_cbor(bytes, kStrict, kThrow);
  if (!frame.is_array() || frame.size() != 2 || !frame[0].is_number()) {
    return leaf::new_error(WireError{NotCbor{}});
  }
  try {
    return DecodeFields(frame[0].get<int>(), frame[1]);
  } catch (const json::exception& error) {
    return leaf::new_error(WireError{BadField{error.what()}});
  }
}

}  // namespace wire
}  // namespace harecrank
