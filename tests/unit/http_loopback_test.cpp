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
    std::shared_ptr<http::exchange> held;
    http::server server{
        loop, [this](const auto &inExchange) { handle(inExchange); }, {.maxBodyBytes = 4096}};
    http::client client{loop};
    kernel::timer limit{loop, [this] { loop.stop(); }};
    bool callerLeft = false;

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
            held = inExchange;
            inExchange->onClosed([this] {
                callerLeft = true;
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
        std::optional<http::response> answer;
        http::fetch(client, std::move(inRequest), [&](const http::response &inResponse) {
            answer = inResponse;
            loop.stop();
        });
        loop.run();
        REQUIRE(answer.has_value());
        return *answer;
    }
};

} // namespace

TEST_CASE("each response on a reused connection belongs to its request")
{
    loopback fixture;
    for (int round = 0; round < 20; ++round) {
        const std::string body = "body " + std::to_string(round);
        const http::response answer
            = fixture.fetch({.method = "POST", .path = "/echo", .body = body});
        CHECK(answer.outcome == http::call_outcome::completed);
        CHECK(answer.status == 200);
        CHECK(answer.body == body);
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
    const http::response answer = fixture.fetchFrom(
        {.target = {"127.0.0.1", port}, .path = "/echo", .freshConnection = true});
    CHECK(answer.outcome == http::call_outcome::not_sent);
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
    const http::response answer = fixture.fetch({.path = "/hold", .timeout = 50ms});
    CHECK(answer.outcome == http::call_outcome::interrupted);
    if (!fixture.callerLeft)
        fixture.loop.run();
    CHECK(fixture.callerLeft);
    CHECK(fixture.held->isClosed());
}

TEST_CASE("a body over the limit is refused and the server continues to serve")
{
    loopback fixture;
    const http::response answer
        = fixture.fetch({.method = "POST", .path = "/echo", .body = std::string(100'000, 'x')});
    CHECK(answer.status != 200);
    CHECK(fixture.fetch({.method = "POST", .path = "/echo", .body = "next"}).body == "next");
}
