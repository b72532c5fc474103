// Tests of an entry host and a sidecar that meet senders who keep to no limit:
// the process must live, stay within the memory of its machine, and an ordinary
// caller must get an answer.

#include <catch2/catch.hpp>

#include "src/adapters/wire.h"
#include "testing/fleet.h"
#include "testing/hostile_client.h"
#include "testing/process_usage.h"

namespace harecrank::testing {
namespace {

using nlohmann::json;

constexpr std::size_t kBytesPerMb = 1000000;
// The memory of the users' small machines for entry hosts and for sidecars.
constexpr std::size_t kEntryMemory = 260 * kBytesPerMb;
constexpr std::size_t kSidecarMemory = 192 * kBytesPerMb;

FleetOptions SmallFleet() {
  FleetOptions options;
  options.entries = 1;
  options.engines = 1;
  options.services = 0;
  return options;
}

// Returns whether an ordinary caller, who returns when refused, gets an answer.
bool AnswersOrdinaryCaller(const Fleet& fleet) {
  return WaitUntil([&fleet] {
    ClientRequest request =
        Completion(fleet.CallersAddress(0), "ordinary", 50, 4, false);
    request.timeout = Millis(5000);
    return Call(request).status == 200;
  });
}

void CheckUnharmed(Fleet* fleet, const std::string& name, std::size_t memory) {
  CHECK(AnswersOrdinaryCaller(*fleet));
  Process& process = fleet->Get(name);
  REQUIRE(process.IsRunning());
  const std::size_t peak = PeakMemory(process.Pid());
  CAPTURE(name, peak);
  CHECK(peak > 0);
  CHECK(peak < memory);
}

std::string Head(const std::string& fields) {
  return std::string("POST /v1/completions HTTP/1.1\r\nHost: a\r\n") +
         "Authorization: Bearer " + kAccountKey + "\r\n" + fields;
}

TEST_CASE("Bodies that do not end are held within an entry host's memory") {
  Fleet fleet(SmallFleet());
  REQUIRE(fleet.WaitReady());
  constexpr std::size_t kBytes = 14U << 20U;
  for (const std::string framing :
       {"Content-Length: 16000000\r\n\r\n",
        "Transfer-Encoding: chunked\r\n\r\nf00000\r\n"}) {
    const Crowd crowd(fleet.CallersAddress(0), 40,
                      [&framing](const HostileConnection& caller) {
                        caller.Send(Head(framing) + "{\"prompt\":\"");
                        caller.SendRepeatedly(std::string(65536, 'x'), kBytes);
                      });
    CheckUnharmed(&fleet, "entry-0", kEntryMemory);
  }
}

std::string LongField(int number) {
  return "X-" + std::to_string(number) + ": " + std::string(8000, 'x') + "\r\n";
}

TEST_CASE("Heads that do not end are held within an entry host's memory") {
  Fleet fleet(SmallFleet());
  REQUIRE(fleet.WaitReady());
  const Crowd crowd(fleet.CallersAddress(0), 440,
                    [](const HostileConnection& caller) {
                      caller.Send(Head(""));
                      for (int i = 0; i < 95; ++i) {
                        caller.Send(LongField(i));
                      }
                    });
  CheckUnharmed(&fleet, "entry-0", kEntryMemory);
}

TEST_CASE("A body of many small values is read within memory") {
  Fleet fleet(SmallFleet());
  REQUIRE(fleet.WaitReady());
  std::string body = "{\"prompt\":[0";
  while (body.size() < (8U << 20U)) {
    body += ",[]";
  }
  body += "]}";
  const std::string request =
      Head("Content-Length: " + std::to_string(body.size()) + "\r\n\r\n") +
      body;
  const Crowd crowd(fleet.CallersAddress(0), 8,
                    [&request](const HostileConnection& caller) {
                      caller.Send(request);
                      caller.ReadSome();
                    });
  CheckUnharmed(&fleet, "entry-0", kEntryMemory);
}

TEST_CASE("Connections that send nothing keep no one out of an entry host") {
  FleetOptions options = SmallFleet();
  options.max_requests = 16;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const PersistentCrowd crowd(fleet.CallersAddress(0), 100,
                              [](const HostileConnection& /*caller*/) {});
  CheckUnharmed(&fleet, "entry-0", kEntryMemory);
}

TEST_CASE("Bodies that do not come keep no one out of an entry host") {
  FleetOptions options = SmallFleet();
  options.max_requests = 16;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  const PersistentCrowd crowd(fleet.CallersAddress(0), 100,
                              [](const HostileConnection& caller) {
                                caller.Send(Head("Content-Length: 9\r\n\r\n"));
                              });
  CheckUnharmed(&fleet, "entry-0", kEntryMemory);
}

TEST_CASE("Idle connections to a node's operations port keep no one out") {
  Fleet fleet(SmallFleet());
  REQUIRE(fleet.WaitReady());
  for (const std::string& node : fleet.Nodes()) {
    const PersistentCrowd crowd(fleet.OperationsAddress(node), 100,
                                [](const HostileConnection& /*asker*/) {});
    CAPTURE(node);
    CHECK(WaitUntil([&] { return !fleet.Metrics(node).empty(); }));
  }
  CHECK(AnswersOrdinaryCaller(fleet));
}

TEST_CASE("Fields of a wrong type are refused, and their caller is told") {
  Fleet fleet(SmallFleet());
  REQUIRE(fleet.WaitReady());
  const json odd_role = {{"model", kModel},
                         {"messages", {{{"role", 5}, {"content", "x"}}}}};
  const json odd_model = {{"model", 5}};
  const json odd_service = {{"service", json::array()}};
  struct Case {
    std::string path;
    json body;
  };
  for (const Case& wrong :
       {Case{"/v1/chat/completions", odd_role}, Case{"/v1/tickets", odd_model},
        Case{"/v1/tickets", odd_service}}) {
    ClientRequest request;
    request.address = fleet.CallersAddress(0);
    request.path = wrong.path;
    request.body = wrong.body;
    CAPTURE(wrong.path, wrong.body);
    CHECK(Call(request).status == 400);
  }
  CheckUnharmed(&fleet, "entry-0", kEntryMemory);
}

std::string HeadOfCoding(const std::string& coding) {
  return Head("Transfer-Encoding: " + coding +
              "\r\nContent-Type: application/json\r\n\r\n");
}

TEST_CASE("A request of an unknown coding is refused by an entry host") {
  Fleet fleet(SmallFleet());
  REQUIRE(fleet.WaitReady());
  const std::string inner =
      "GET /v1/models HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " +
      std::string(kAccountKey) + "\r\n\r\n";
  for (const std::string coding : {"gzip", "identity", "chunked, identity"}) {
    const HostileConnection caller(fleet.CallersAddress(0));
    caller.Send(HeadOfCoding(coding) + inner);
    const std::string answer = caller.ReadAll();
    CAPTURE(coding, answer);
    CHECK(answer.find("HTTP/1.1 200") == std::string::npos);
    CHECK(answer.find("HTTP/1.1 ") != std::string::npos);
  }
}

// CBOR that nests deeper than any stack.
std::vector<std::string> DeepNests() {
  std::vector<std::string> nests;
  for (const std::string unit : {"\x81", "\xa1\x61\x61", "\x9f"}) {
    std::string bytes;
    while (bytes.size() < 1000000) {
      bytes += unit;
    }
    nests.push_back(bytes);
  }
  return nests;
}

std::string PeerRequest(const std::string& path, const std::string& body) {
  return "POST " + path +
         " HTTP/1.1\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

TEST_CASE("What peers send and nests without end does not end a node") {
  Fleet fleet(SmallFleet());
  REQUIRE(fleet.WaitReady());
  for (const std::string& node : fleet.Nodes()) {
    for (const std::string& nest : DeepNests()) {
      for (const std::string path : {"/peer/compare", "/peer/offer"}) {
        const HostileConnection peer(fleet.OperationsAddress(node));
        peer.Send(PeerRequest(path, nest));
        CAPTURE(node, path);
        CHECK(peer.ReadSome().rfind("HTTP/1.1 400", 0) == 0);
      }
    }
    CHECK(fleet.ProcessOf(node).IsRunning());
  }
  CheckUnharmed(&fleet, "entry-0", kEntryMemory);
}

// Opens a websocket on a link's address.
void OpenLink(const HostileConnection& link) {
  link.Send(
      "GET /link HTTP/1.1\r\nHost: a\r\nUpgrade: websocket\r\n"
      "Connection: Upgrade\r\nSec-WebSocket-Version: 13\r\n"
      "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\n\r\n");
  link.ReadSome();
}

// Sends `payload`, of 126 bytes or more, as one frame that is masked by zeros.
// Its size has 2 or 8 bytes, as it needs.
void SendFrame(const HostileConnection& link, const std::string& payload) {
  const bool is_long = payload.size() > 0xffff;
  std::string frame = is_long ? "\x82\xff" : "\x82\xfe";
  for (int shift = is_long ? 56 : 8; shift >= 0; shift -= 8) {
    frame += static_cast<char>((payload.size() >> shift) & 0xffU);
  }
  frame.append(4, '\0');
  link.Send(frame + payload);
}

TEST_CASE("Frames that nest without end do not end a sidecar") {
  Fleet fleet(SmallFleet());
  REQUIRE(fleet.WaitReady());
  for (const std::string& nest : DeepNests()) {
    const HostileConnection link(fleet.LinkAddress(0));
    OpenLink(link);
    SendFrame(link, nest);
    link.ReadAll();
  }
  CheckUnharmed(&fleet, "sidecar-0", kSidecarMemory);
}

TEST_CASE("Bodies on links are held within a sidecar's memory") {
  Fleet fleet(SmallFleet());
  REQUIRE(fleet.WaitReady());
  constexpr std::size_t kAnnounced = 60U << 20U;
  const Crowd crowd(fleet.LinkAddress(0), 8, [](const HostileConnection& link) {
    OpenLink(link);
    wire::Submit submit;
    submit.stream = StreamId{1};
    submit.body_bytes = kAnnounced;
    submit.deadline = RemoteMillis{1000000000000};
    SendFrame(link, wire::Encode(submit));
    wire::BodyChunk chunk;
    chunk.stream = submit.stream;
    chunk.bytes = std::string(wire::kChunkBytes, 'x');
    const std::string bytes = wire::Encode(chunk);
    for (std::size_t sent = 0; sent + wire::kChunkBytes < kAnnounced;
         sent += wire::kChunkBytes) {
      SendFrame(link, bytes);
    }
  });
  CheckUnharmed(&fleet, "sidecar-0", kSidecarMemory);
}

TEST_CASE("Connections that open no link keep no one out of a sidecar") {
  Fleet fleet(SmallFleet());
  REQUIRE(fleet.WaitReady());
  const PersistentCrowd crowd(fleet.LinkAddress(0), 200,
                              [](const HostileConnection& /*link*/) {});
  fleet.Restart("entry-0");
  CheckUnharmed(&fleet, "sidecar-0", kSidecarMemory);
}

}  // namespace
}  // namespace harecrank::testing
