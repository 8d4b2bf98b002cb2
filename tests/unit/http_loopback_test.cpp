// Guards against responses that the HTTP client and server lose, deliver to the wrong request or
// report as "not sent" although bytes were sent.

#include "corneltally/http/client.h"
#include "corneltally/http/exchange.h"
#include "corneltally/http/server.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <optional>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

/// Server and client on one event loop, with a time limit for the test.
struct loopback
{
    kernel::event_loop loop;
    std::shared_ptr<http::exchange> openExchange;
    http::server server{
        loop, [this](const auto &inExchange) { handle(inExchange); }, {.maxBodyBytes = 4096}};
    http::client client{loop};
    kernel::timer limit{loop, [this] { loop.stop(); }};
    bool callerClosed = false;

    loopback()
    {
        REQUIRE(server.listen({"127.0.0.1", 0}));
        limit.startOnce(20s);
    }

    void handle(const std::shared_ptr<http::exchange> &inExchange)
    {
        if (inExchange->path() == "/echo") {
            inExchange->reply(200, {}, inExchange->body());
        } else if (inExchange->path() == "/stream") {
            inExchange->startStream(200, {});
            for (int part = 0; part < 5; ++part)
                inExchange->sendChunk(std::to_string(part));
            inExchange->endStream();
        } else if (inExchange->path() == "/abort") {
            inExchange->abort();
        } else {
            openExchange = inExchange;
            inExchange->onClosed([this] {
                callerClosed = true;
                loop.stop();
            });
        }
    }

    http::response fetch(http::call_request inRequest)
    {
        inRequest.target = {"127.0.0.1", server.port()};
        return fetchFrom(std::move(inRequest));
    }

    http::response fetchFrom(http::call_request inRequest)
    {
        std::optional<http::response> response;
        http::fetch(client, std::move(inRequest), [&](const http::response &inResponse) {
            response = inResponse;
            loop.stop();
        });
        loop.run();
        REQUIRE(response.has_value());
        return *response;
    }
};

} // namespace

TEST_CASE("each response on a reused connection belongs to its request")
{
    loopback fixture;
    for (int round = 0; round < 20; ++round) {
        const std::string body = "body " + std::to_string(round);
        const http::response response
            = fixture.fetch({.method = "POST", .path = "/echo", .body = body});
        CHECK(response.outcome == http::call_outcome::completed);
        CHECK(response.status == 200);
        CHECK(response.body == body);
    }
    CHECK(fixture.server.connectionCount() == 1);
}

TEST_CASE("a streamed response arrives completely and in order")
{
    loopback fixture;
    CHECK(fixture.fetch({.path = "/stream"}).body == "01234");
}

TEST_CASE("a refused connection is reported as not sent")
{
    loopback fixture;
    const unsigned short port = fixture.server.port();
    fixture.server.stopListening();
    const http::response response = fixture.fetchFrom(
        {.target = {"127.0.0.1", port}, .path = "/echo", .freshConnection = true});
    CHECK(response.outcome == http::call_outcome::not_sent);
}

TEST_CASE("a call whose connection closes without a response is interrupted, not unsent")
{
    loopback fixture;
    CHECK(fixture.fetch({.path = "/abort"}).outcome == http::call_outcome::interrupted);
}

TEST_CASE(
    "a call that times out is interrupted and the server is notified of the closed connection")
{
    loopback fixture;
    const http::response response = fixture.fetch({.path = "/hold", .timeout = 50ms});
    CHECK(response.outcome == http::call_outcome::interrupted);
    if (!fixture.callerClosed)
        fixture.loop.run();
    CHECK(fixture.callerClosed);
    CHECK(fixture.openExchange->isClosed());
}

TEST_CASE("a body over the limit is refused and the server continues to serve")
{
    loopback fixture;
    const http::response response
        = fixture.fetch({.method = "POST", .path = "/echo", .body = std::string(100'000, 'x')});
    CHECK(response.status != 200);
    CHECK(fixture.fetch({.method = "POST", .path = "/echo", .body = "next"}).body == "next");
}
