#include "src/node/platform.h"

#include <catch2/catch.hpp>

#include "testing/byte_server.h"

namespace harecrank {
namespace {

namespace leaf = boost::leaf;
using testing::ByteServer;
using testing::SendAndClose;

TEST_CASE("One odd entry in the host list costs the others nothing") {
  const std::string odd[] = {"{}",
                             "7",
                             "null",
                             "[[[[]]]]",
                             "{\"id\":5,\"state\":\"leaving\"}",
                             "{\"id\":\"b\",\"state\":7}",
                             "{\"id\":\"\",\"state\":\"leaving\"}",
                             "{\"state\":\"leaving\"}"};
  for (const std::string& entry : odd) {
    CAPTURE(entry);
    const std::string body =
        "{\"version\":4,\"hosts\":[{\"id\":\"a\",\"state\":\"leaving\"}," +
        entry + ",{\"id\":\"c\",\"state\":\"live\"}]}";
    const ByteServer server(SendAndClose(
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
        "\r\n\r\n" + body));
    HttpHostList list(server.Address());
    const HostListVersion read = leaf::try_handle_all(
        [&] { return list.Read(); }, [] { return HostListVersion(); });
    CHECK(read.version == 4);
    CHECK(read.leaving.count(NodeId{"a"}) == 1);
    CHECK(read.leaving.count(NodeId{"c"}) == 0);
    CHECK(read.leaving.count(NodeId{""}) == 0);
  }
}

}  // namespace
}  // namespace harecrank
