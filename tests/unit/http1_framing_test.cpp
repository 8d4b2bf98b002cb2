// Guards against requests that are smuggled inside the bodies of others, and against answers whose
// end is not known: tables of framings for both directions of both HTTP implementations.

#include "corneltally/http/exchange.h"
#include "corneltally/http/server.h"
#include "corneltally/http1/client_connection.h"
#include "corneltally/http1/listener.h"
#include "corneltally/http1/server_connection.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "tests/broken_heads.h"

#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

const std::string cInner = "POST /inner HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n";

/// Fields of a request whose body holds another request, and that state no valid framing.
const std::vector<std::string> cUnsoundRequests{
    "Transfer-Encoding: identity\r\n",
    "Transfer-Encoding: gzip\r\n",
    "Transfer-Encoding: xchunked\r\n",
    "Transfer-Encoding: chunkedx\r\n",
    "Transfer-Encoding: chunked, identity\r\n",
    "Transfer-Encoding: gzip, chunked\r\n",
    "Transfer-Encoding: chunked, chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
    "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
    "Transfer-Encoding:\r\n",
    "Transfer-Encoding: \"chunked\"\r\n",
    "Transfer-Encoding: \vchunked\r\n",
    "Transfer-Encoding : chunked\r\n",
    "Connection: Transfer-Encoding\r\nTransfer-Encoding: identity\r\n",
    "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
    "Content-Length: 4\r\nContent-Length: 5\r\n",
    "Content-Length: +4\r\n",
    "Content-Length: 4, 4\r\n",
    "Content-Length: -1\r\n",
    "Content-Length: 0x4\r\n",
    "Content-Length: 99999999999999999999\r\n",
};

/// Sends bytes and collects what comes back.
struct raw_caller
{
    http1::socket_stream stream;
    std::string received;
    bool ended = false;

    raw_caller(kernel::event_loop &inLoop, unsigned short inPort, const std::string &inBytes)
        : stream(inLoop, http1::address{"127.0.0.1", inPort}, 5s)
    {
        stream.setEvents({.onConnected = {},
                          .onInput =
                              [this] {
                                  received.append(stream.input());
                                  stream.consume(stream.input().size());
                              },
                          .onDrained = {},
                          .onEnd = [this](http1::stream_end) { ended = true; }});
        stream.write(inBytes);
    }
};

/// Runs the loop until a condition holds, for 5 s at most.
template <typename condition>
void runUntil(kernel::event_loop &ioLoop, condition inCondition)
{
    kernel::timer limit(ioLoop, [&] { ioLoop.stop(); });
    limit.startOnce(5s);
    kernel::timer poll(ioLoop, [&] {
        if (inCondition())
            ioLoop.stop();
    });
    poll.startRepeating(2ms);
    ioLoop.run();
}

std::string outer(const std::string &inFields, const std::string &inVersion = "1.1")
{
    return "POST /outer HTTP/" + inVersion + "\r\nHost: x\r\n" + inFields + "\r\n";
}

} // namespace

// Failure: a request without a valid framing counts as one without a body, and its body runs as the
// next request of the connection.
TEST_CASE("a forwarding instance refuses requests without a valid framing")
{
    kernel::event_loop loop;
    std::vector<std::string> targets;
    std::vector<std::unique_ptr<http1::server_connection>> connections;
    http1::listener listener(loop, [&](int inSocket) {
        connections.push_back(
            std::make_unique<http1::server_connection>(loop, inSocket, http1::caller_limits{}, 5s));
        http1::server_connection *connection = connections.back().get();
        connection->setEvents({.onRequest =
                                   [&targets, connection](const http1::server_request &inRequest) {
                                       targets.push_back(inRequest.head.target);
                                       connection->respond({.status = 200}, "ok");
                                   },
                               .onDrained = {},
                               .onClosed = {}});
    });
    REQUIRE(listener.listen({"127.0.0.1", 0}));
    const auto check = [&](const std::string &inBytes) {
        INFO(inBytes);
        raw_caller caller(loop, listener.port(), inBytes + cInner);
        runUntil(loop, [&] { return caller.ended; });
        CHECK(targets.empty());
        CHECK(caller.received.starts_with("HTTP/1.1 400 "));
        CHECK(caller.received.find("HTTP/1.1", 1) == std::string::npos);
        CHECK(caller.ended);
        targets.clear();
    };
    for (const std::string &fields : cUnsoundRequests)
        check(outer(fields));
    // HTTP/1.0 has no transfer codings.
    check(outer("Transfer-Encoding: chunked\r\n", "1.0"));
    const std::string body = "4;x=y\r\nbody\r\n0\r\n\r\n" + cInner;
    for (const std::string coding : {"chunked", "Chunked", " chunked "}) {
        INFO(coding);
        raw_caller sound(loop, listener.port(),
                         outer("Transfer-Encoding:" + coding + "\r\n").append(body));
        runUntil(loop, [&] { return targets.size() == 2; });
        CHECK(targets == std::vector<std::string>{"/outer", "/inner"});
        targets.clear();
    }
}

// Failure: the same at instances of the OpenAI interface.
TEST_CASE("an entry instance refuses requests without a valid framing")
{
    kernel::event_loop loop;
    std::vector<std::string> paths;
    http::server server(loop, [&](const std::shared_ptr<http::exchange> &inExchange) {
        paths.push_back(inExchange->path());
        inExchange->reply(200, {}, "ok");
    });
    REQUIRE(server.listen({"127.0.0.1", 0}));
    for (const std::string &fields : cUnsoundRequests) {
        INFO(fields);
        raw_caller caller(loop, server.port(), outer(fields) + cInner);
        runUntil(loop, [&] { return caller.ended; });
        CHECK(paths.empty());
        CHECK(caller.ended);
        paths.clear();
    }
    raw_caller sound(loop, server.port(),
                     outer("Transfer-Encoding: chunked\r\n") + "4\r\nbody\r\n0\r\n\r\n");
    runUntil(loop, [&] { return !paths.empty(); });
    CHECK(paths == std::vector<std::string>{"/outer"});
}

// Failure: an answer whose framing is not valid looks whole, empty or too long.
TEST_CASE("answers without a valid framing are broken")
{
    kernel::event_loop loop;
    std::string answer;
    std::vector<std::unique_ptr<http1::socket_stream>> streams;
    http1::listener listener(loop, [&](int inSocket) {
        streams.push_back(std::make_unique<http1::socket_stream>(loop, inSocket, 5s));
        http1::socket_stream *stream = streams.back().get();
        stream->setEvents({.onConnected = {},
                           .onInput =
                               [&answer, stream] {
                                   stream->consume(stream->input().size());
                                   stream->write(answer);
                                   stream->shutdownWrite();
                               },
                           .onDrained = {},
                           .onEnd = {}});
    });
    REQUIRE(listener.listen({"127.0.0.1", 0}));
    for (const std::string &fields : broken_heads::cFramings) {
        for (const std::string body : {"", "4\r\nbody\r\n0\r\n\r\n"}) {
            INFO(fields << body);
            answer = "HTTP/1.1 200 OK\r\n" + fields;
            answer.append("\r\n").append(body);
            http1::client_connection connection(loop, {"127.0.0.1", listener.port()}, 5s);
            std::optional<http1::exchange_end> end;
            connection.start({.method = "GET", .target = "/"}, "",
                             {.accepts = {},
                              .onHead = {},
                              .onBody = {},
                              .onEnd = [&](const http1::exchange_end &inEnd) { end = inEnd; }});
            runUntil(loop, [&] { return end.has_value(); });
            REQUIRE(end.has_value());
            CHECK(end->outcome == http1::exchange_end::kind::broken);
        }
    }
}
