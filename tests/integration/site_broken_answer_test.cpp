// Guards against broken answers of endpoints that real forwarding instances pass on to callers.

#include "platform/names.h"
#include "standins/site.h"
#include "tests/raw_endpoint.h"

#include <functional>
#include <string>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
namespace http = corneltally::http;
namespace platform = corneltally::platform;
using nlohmann::json;
using standins::site;

namespace {

const std::string cSeal = std::string(platform::cSealField) + ": s1\r\n";

/// Sends an order through an instance whose only application endpoint is the given one.
http::response orderAt(const raw_endpoint &inEndpoint, const std::string &inBody)
{
    const std::string binaries = CORNELTALLY_BINARY_DIR;
    site fleet({.binaries = binaries,
                .folder = binaries + "/site_broken_answer_test",
                .instances = 1,
                .engines = 1,
                .applications = 0});
    REQUIRE(fleet.start());
    const json entry{
        {"service", "app"}, {"address", "127.0.0.1:" + std::to_string(inEndpoint.port())},
        {"zone", "north"},  {"capacity", 8},
        {"state", "ready"}, {"born", 1},
        {"sequence", 0}};
    const json announced{{"key", "broken"}, {"entry", entry}};
    REQUIRE(fleet.probe()
                .post(fleet.process("store").port("http"), "/control/heartbeat", announced.dump())
                .status
            == 200);
    const http::call_request call{.target = {"127.0.0.1", fleet.process("edge-1").port("callers")},
                                  .method = "POST",
                                  .path = "/order/1",
                                  .headers
                                  = {{"Host", site::cHost},
                                     {std::string(platform::cRequestIdField), "r1"},
                                     {std::string(platform::cAuthorizationField),
                                      std::string(platform::cAuthorizationScheme) + "key-harbour"},
                                     {std::string(platform::cDeadlineField), "5000"}},
                                  .body = inBody,
                                  .timeout = 20s};
    http::response answer;
    // Refused until the instance knows the endpoint.
    CHECK(site::waitFor([&] {
        answer = fleet.probe().call(call);
        return answer.status != 503;
    }));
    return answer;
}

void checkUnknown(const http::response &inAnswer)
{
    CHECK(inAnswer.outcome == http::call_outcome::completed);
    CHECK(inAnswer.status == 502);
    CHECK(http::findHeader(inAnswer.headers, platform::cSealField).empty());
    CHECK(inAnswer.body.find(R"("run":"unknown")") != std::string::npos);
}

} // namespace

TEST_CASE("callers do not get an answer with a status that HTTP does not define")
{
    raw_endpoint endpoint([](int inSocket) {
        raw_endpoint::sReadSome(inSocket);
        raw_endpoint::sSend(inSocket,
                            "HTTP/1.1 000 \r\n" + cSeal + "Content-Length: 6\r\n\r\nbroken");
        while (raw_endpoint::sReadSome(inSocket)) { }
        close(inSocket);
    });
    checkUnknown(orderAt(endpoint, "order"));
}

TEST_CASE("callers do not get an answer whose connection is reset during an upload")
{
    raw_endpoint endpoint([](int inSocket) {
        // Keeps the rest of the upload at the instance.
        const int buffer = 64 * 1024;
        setsockopt(inSocket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
        raw_endpoint::sReadSome(inSocket);
        raw_endpoint::sSend(inSocket, "HTTP/1.1 200 OK\r\n" + cSeal + "\r\npart");
        std::this_thread::sleep_for(50ms);
        raw_endpoint::sReset(inSocket);
    });
    checkUnknown(orderAt(endpoint, std::string(4'000'000, 'x')));
}

TEST_CASE("callers do not get an answer with a blank in a field name")
{
    raw_endpoint endpoint([](int inSocket) {
        raw_endpoint::sReadSome(inSocket);
        raw_endpoint::sSend(inSocket,
                            "HTTP/1.1 200 OK\r\n" + cSeal
                                + "X Name: v\r\nContent-Length : 3\r\n\r\nbroken");
        while (raw_endpoint::sReadSome(inSocket)) { }
        close(inSocket);
    });
    checkUnknown(orderAt(endpoint, "order"));
}
