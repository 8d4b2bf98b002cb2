// Guards against requests that are lost when their connection is closed: what a caller has sent in
// full before it could know of the close gets an answer.

#include "corneltally/http1/listener.h"
#include "corneltally/http1/server_connection.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view cRequest = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";

/// Server with one connection, whose requests are answered on demand or at once.
struct closing_server
{
    kernel::event_loop loop;
    http1::caller_limits limits;
    std::unique_ptr<http1::server_connection> connection;
    bool answersAtOnce = true;
    std::string answer = "ok";
    int requests = 0;
    bool closed = false;
    http1::listener listener{loop, [this](int inSocket) { accept(inSocket); }};

    explicit closing_server(http1::caller_limits inLimits = {})
        : limits(inLimits)
    {
        REQUIRE(listener.listen({"127.0.0.1", 0}));
    }

    void accept(int inSocket)
    {
        connection = std::make_unique<http1::server_connection>(loop, inSocket, limits, 5s);
        connection->setEvents({.onRequest =
                                   [this](const http1::server_request &) {
                                       ++requests;
                                       if (answersAtOnce)
                                           connection->respond({.status = 200}, answer);
                                   },
                               .onDrained = {},
                               .onClosed = [this] { closed = true; }});
    }

    void run(core::duration inTime)
    {
        kernel::timer end(loop, [this] { loop.stop(); });
        end.startOnce(inTime);
        loop.run();
    }
};

/// Caller that writes to its socket at once, whether or not the server's loop runs.
class direct_caller
{
public:
    explicit direct_caller(closing_server &ioServer, int inReceiveBuffer = 0)
        : mSocket(::socket(AF_INET, SOCK_STREAM, 0))
    {
        if (inReceiveBuffer > 0)
            ::setsockopt(mSocket, SOL_SOCKET, SO_RCVBUF, &inReceiveBuffer, sizeof(inReceiveBuffer));
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(ioServer.listener.port());
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(mSocket, reinterpret_cast<sockaddr *>(&target), sizeof(target)) == 0);
        ioServer.run(20ms);
        REQUIRE(ioServer.connection);
    }
    ~direct_caller() { ::close(mSocket); }
    direct_caller(const direct_caller &) = delete;
    direct_caller &operator=(const direct_caller &) = delete;

    void send(std::string_view inBytes)
    {
        REQUIRE(::send(mSocket, inBytes.data(), inBytes.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(inBytes.size()));
    }

    /// Reads what has arrived and counts the answers in it.
    int answers()
    {
        std::array<char, 4096> bytes{};
        ssize_t count = 0;
        while ((count = ::recv(mSocket, bytes.data(), bytes.size(), MSG_DONTWAIT)) > 0)
            mReceived.append(bytes.data(), static_cast<std::size_t>(count));
        mEnded = mEnded || count == 0;
        int found = 0;
        for (std::size_t at = mReceived.find("HTTP/1.1 200"); at != std::string::npos;
             at = mReceived.find("HTTP/1.1 200", at + 1))
            ++found;
        return found;
    }

    std::size_t receivedBytes() const { return mReceived.size(); }
    /// Whether the server closed the connection in an orderly way, as far as answers() read.
    bool ended() const { return mEnded; }
    bool toldOfClose() const
    {
        return mReceived.find("Connection: close\r\n") != std::string::npos;
    }

private:
    int mSocket;
    std::string mReceived;
    bool mEnded = false;
};

} // namespace

// Failure: a draining instance whose loop is late closes a connection as idle although a request
// waits in its socket, reads the request afterwards and drops it.
TEST_CASE("a request that waits in the socket when the connection is closed as idle is answered")
{
    // A connection that has had a request is closed at once when it has been idle for long.
    const bool hadRequest = GENERATE(false, true);
    closing_server server;
    direct_caller caller(server);
    if (hadRequest) {
        caller.send(cRequest);
        server.run(300ms);
    }
    caller.send(cRequest);
    server.connection->closeWhenIdle();
    CHECK(server.connection->unfinished());
    server.run(100ms);
    CHECK(caller.answers() == (hadRequest ? 2 : 1));
    CHECK(caller.toldOfClose());
    CHECK(caller.ended());
}

// Failure: the answer began before the drain and did not announce the close; the caller's next
// request, sent once the answer is complete, is dropped.
TEST_CASE("a request that follows an answer which did not announce the close is answered")
{
    const core::duration pause = GENERATE(0ms, 20ms);
    closing_server server;
    server.answersAtOnce = false;
    direct_caller caller(server);
    caller.send(cRequest);
    server.run(20ms);
    REQUIRE(server.requests == 1);
    server.connection->startResponse({.status = 200}, 4);
    server.connection->sendBody("ok");
    server.connection->closeWhenIdle();
    server.connection->sendBody("ok");
    server.connection->endResponse();
    server.answersAtOnce = true;
    if (pause > 0ms)
        server.run(pause);
    caller.send(cRequest);
    server.run(100ms);
    CHECK(caller.answers() == 2);
    CHECK(caller.toldOfClose());
    CHECK(caller.ended());
}

// Failure: the time limit of an idle connection ends it although a request waits in its socket.
TEST_CASE("a request that waits in the socket when the idle time is over is answered")
{
    http1::caller_limits limits;
    limits.idleTimeout = 40ms;
    closing_server server(limits);
    direct_caller caller(server);
    caller.send(cRequest);
    limits.idleTimeout = 0ms;
    server.connection->setLimits(limits);
    // A late loop: the timer is due when the request can be read.
    usleep(60'000);
    server.run(20ms);
    CHECK(caller.answers() == 1);
}

// Failure: the socket still holds an answer for a slow caller when the connection is closed as
// idle; the caller's next request is reset, and the reset discards the rest of that answer.
TEST_CASE("an answer that the caller has not received yet outlives the close of its connection")
{
    closing_server server;
    server.answer.assign(150'000, 'x');
    direct_caller caller(server, 4096);
    caller.send(cRequest);
    server.run(20ms);
    REQUIRE(server.connection->unsentBytes() == 0);
    server.connection->closeWhenIdle();
    server.run(400ms);
    caller.send(cRequest);
    for (int round = 0; round < 200; ++round) {
        caller.answers();
        server.run(2ms);
    }
    CHECK(caller.receivedBytes() > server.answer.size());
}

TEST_CASE("a connection on which nothing arrives is closed when it is closed as idle")
{
    const bool hadRequest = GENERATE(false, true);
    closing_server server;
    direct_caller caller(server);
    if (hadRequest) {
        caller.send(cRequest);
        server.run(20ms);
    }
    server.connection->closeWhenIdle();
    // The first request on a new connection may take longer.
    CHECK(server.connection->unfinished() == !hadRequest);
    server.run(hadRequest ? 300ms : 1100ms);
    CHECK(server.closed);
    CHECK(caller.answers() == (hadRequest ? 1 : 0));
    CHECK(caller.ended());
}
