// Tests of a sidecar whose endpoint sends bytes without end: the process must
// live, stay within the memory of its machine and close the connection, and an
// ordinary caller must get an answer.

#include <atomic>
#include <catch2/catch.hpp>

#include "testing/byte_server.h"
#include "testing/fleet.h"
#include "testing/hostile_client.h"
#include "testing/process_usage.h"

namespace harecrank::testing {
namespace {

constexpr std::size_t kBytesPerMb = 1000000;
// The memory of the users' small machines for entry hosts and for sidecars.
constexpr std::size_t kEntryMemory = 260 * kBytesPerMb;
constexpr std::size_t kSidecarMemory = 192 * kBytesPerMb;
constexpr std::size_t kCallers = 8;

struct Form {
  std::string start;
  std::string unit;
};

const std::vector<Form>& Forms() {
  static const std::string kNoise(65536, 'x');
  static const std::vector<Form> forms = {
      {"", std::string(65536, '\xf1')},
      {"HTTP/1.1 200 OK\r\nX-Filler: ", kNoise},
      {"HTTP/1.1 200 OK\r\nX-Filler: 1", "\r\nX-Filler: 1"},
      {"HTTP/1.1 200 OK\r\n\r\n", kNoise},
      {"HTTP/1.1 500 Odd\r\n\r\n", kNoise},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;a=", kNoise},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
       "8\r\n12345678\r\n"}};
  return forms;
}

void CheckWithinMemory(Fleet* fleet, const std::string& name,
                       std::size_t memory) {
  Process& process = fleet->Get(name);
  REQUIRE(process.IsRunning());
  const std::size_t peak = PeakMemory(process.Pid());
  CAPTURE(name, peak);
  CHECK(peak > 0);
  CHECK(peak < memory);
}

// Puts a server that sends each form in turn in the place of `endpoint`, whose
// sidecar is `sidecar`, and lets callers send `request`.
void CheckForms(Fleet* fleet, const std::string& endpoint,
                const std::string& sidecar, const std::string& address,
                const ClientRequest& request) {
  fleet->Get(endpoint).Kill();
  for (const Form& form : Forms()) {
    CAPTURE(endpoint, form.start, form.unit.size());
    std::atomic<int> endless{0};
    std::atomic<int> closed{0};
    const ByteServer server(
        [&](ByteConnection& connection) {
          if (!connection.ReadHead()) {
            return;
          }
          ++endless;
          connection.Send(form.start);
          connection.SendWithoutEnd(form.unit);
          ++closed;
        },
        address);
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < kCallers; ++i) {
      callers.emplace_back([&request] { CHECK(Call(request).status != 200); });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    CheckWithinMemory(fleet, sidecar, kSidecarMemory);
    CheckWithinMemory(fleet, "entry-0", kEntryMemory);
    CHECK(endless > 0);
    CHECK(WaitUntil([&] { return closed >= endless; }));
  }
  fleet->Restart(endpoint);
  CHECK(WaitUntil([&request] { return Call(request).status == 200; }));
}

TEST_CASE("Bytes without end from a service end with its connection") {
  FleetOptions options;
  options.entries = 1;
  options.engines = 1;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  ClientRequest call;
  call.address = fleet.CallersAddress(0);
  call.path = "/v1/services/orders/confirm";
  call.body = {{"order", 1}};
  call.fields = {{"Harecrank-Time-Limit-Ms", "4000"}};
  CheckForms(&fleet, "service-0", "service-sidecar-0", fleet.ServiceAddress(0),
             call);
}

// Guards against answers that wait for each other's memory until their time is
// over, and keep sound ones waiting.
TEST_CASE("Answers of a service without end do not hold up its sound ones") {
  constexpr int kCrowd = 40;
  constexpr int kSoundCallers = 4;
  constexpr int kSoundCalls = 5;
  FleetOptions options;
  options.entries = 1;
  options.engines = 1;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  fleet.Get("service-0").Kill();
  const std::string noise(65536, 'x');
  const std::string body(1U << 20U, 's');
  const std::string sound =
      "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
      "\r\n\r\n" + body;
  const ByteServer server(
      [&](ByteConnection& connection) {
        if (!connection.ReadHead()) {
          return;
        }
        if (connection.Head().find("/sound") != std::string::npos) {
          connection.Send(sound);
        } else {
          connection.Send("HTTP/1.1 200 OK\r\n\r\n");
          connection.SendWithoutEnd(noise);
        }
      },
      fleet.ServiceAddress(0));
  ClientRequest call;
  call.address = fleet.CallersAddress(0);
  call.body = {{"order", 1}};
  call.fields = {{"Harecrank-Time-Limit-Ms", "6000"}};
  std::atomic<int> served{0};
  std::atomic<int> failed{0};
  std::vector<std::thread> callers;
  callers.reserve(kCrowd + kSoundCallers);
  for (int i = 0; i < kCrowd; ++i) {
    callers.emplace_back([&, endless = call]() mutable {
      endless.path = "/v1/services/orders/endless";
      const int status = Call(endless).status;
      failed += status >= 500 ? 1 : 0;
    });
  }
  for (int i = 0; i < kSoundCallers; ++i) {
    callers.emplace_back([&, one = call]() mutable {
      one.path = "/v1/services/orders/sound";
      for (int j = 0; j < kSoundCalls; ++j) {
        served += Call(one).status == 200 ? 1 : 0;
      }
    });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  CHECK(served == kSoundCallers * kSoundCalls);
  CHECK(failed == kCrowd);
  CheckWithinMemory(&fleet, "service-sidecar-0", kSidecarMemory);
  CheckWithinMemory(&fleet, "entry-0", kEntryMemory);
}

TEST_CASE("Bytes without end from an engine end with its connection") {
  FleetOptions options;
  options.entries = 1;
  options.engines = 1;
  options.services = 0;
  Fleet fleet(options);
  REQUIRE(fleet.WaitReady());
  ClientRequest request =
      Completion(fleet.CallersAddress(0), "endless", 50, 4, false);
  request.fields = {{"Harecrank-Time-Limit-Ms", "4000"}};
  CheckForms(&fleet, "engine-0", "sidecar-0", fleet.EngineAddress(0), request);
}

}  // namespace
}  // namespace harecrank::testing
