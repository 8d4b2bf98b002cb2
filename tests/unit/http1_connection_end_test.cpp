// Guards against requests and answers that are lost as the server closes a connection.

#include "corneltally/http1/listener.h"
#include "corneltally/http1/server_connection.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "raw_caller.h"

#include <memory>
#include <string>

using namespace corneltally;
using namespace corneltally::front_test;
using namespace std::chrono_literals;

namespace {

const std::string cRequest = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

struct one_connection_server
{
    kernel::event_loop loop;
    http1::caller_limits limits;
    std::unique_ptr<http1::server_connection> connection;
    bool answers = true;
    int requests = 0;
    http1::listener listener{loop, [this](int inSocket) { accept(inSocket); }};

    one_connection_server() { REQUIRE(listener.listen({"127.0.0.1", 0})); }

    void accept(int inSocket)
    {
        connection = std::make_unique<http1::server_connection>(loop, inSocket, limits, 5s);
        connection->setEvents({.onRequest =
                                   [this](const http1::server_request &) {
                                       ++requests;
                                       if (answers)
                                           connection->respond({.status = 200}, "ok");
                                   },
                               .onDrained = {},
                               .onClosed = {}});
    }

    void settle(core::duration inTime)
    {
        kernel::timer end(loop, [this] { loop.stop(); });
        end.startOnce(inTime);
        loop.run();
    }
};

} // namespace

// Failure: a request that has arrived is discarded because a new configuration shortens the idle
// time of its connection before the event loop has got to the request.
TEST_CASE("a request that has arrived is answered when the idle time is shortened")
{
    one_connection_server server;
    raw_caller caller(server.listener.port());
    server.settle(200ms);
    server.loop.post([&] {
        caller.send(cRequest);
        server.limits.idleTimeout = 100ms;
        server.connection->setLimits(server.limits);
    });
    server.settle(300ms);
    CHECK(server.requests == 1);
    caller.receive(1000);
    CHECK(caller.received.starts_with("HTTP/1.1 200"));
}

// Failure: a caller that sends a request before it has read the last answer does not get the rest
// of that answer when the next one is broken off.
TEST_CASE("an answer that is broken off leaves the answers before it whole")
{
    const std::string body(60'000, 'x');
    one_connection_server server;
    server.answers = false;
    raw_caller caller(server.listener.port(), 4096);
    int answered = 0;
    do {
        caller.send(cRequest);
        server.settle(20ms);
        REQUIRE(server.requests == ++answered);
        server.connection->respond({.status = 200}, body);
        server.settle(20ms);
    } while (server.connection->unsentBytes() == 0 && answered < 1000);
    caller.send(cRequest);
    server.settle(20ms);
    REQUIRE(server.requests == answered + 1);
    server.connection->startResponse({.status = 200}, std::nullopt);
    server.connection->sendBody("a part");
    server.connection->abort();
    for (int step = 0; step < 1000 && caller.receive(60'000); ++step)
        server.settle(1ms);
    int whole = 0;
    for (std::size_t at = caller.received.find(body); at != std::string::npos;
         at = caller.received.find(body, at + body.size()))
        ++whole;
    CHECK(whole == answered);
    CHECK_FALSE(caller.received.ends_with("0\r\n\r\n"));
}
