// Guards against requests that are lost where the event loop of an entry instance is late.

#include "corneltally/http/exchange.h"
#include "corneltally/http/server.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <array>
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

constexpr std::string_view cRequest
    = "POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody";

} // namespace

// Failure: the time limit of a connection is over when a request that has waited in its socket is
// read; the request is handled and the connection closed before its answer is sent.
TEST_CASE("a request that waits in the socket when a time limit is over is answered")
{
    // Bytes that arrive before the loop is late.
    const std::size_t early = GENERATE(as<std::size_t>{}, 0, 30, cRequest.size() - 1);
    kernel::event_loop loop;
    http::server server(loop, [](const auto &inExchange) { inExchange->reply(200, {}, "ok"); },
                        {.requestTimeout = 100ms, .idleTimeout = 100ms});
    REQUIRE(server.listen({"127.0.0.1", 0}));
    const auto run = [&loop](core::duration inTime) {
        kernel::timer end(loop, [&loop] { loop.stop(); });
        end.startOnce(inTime);
        loop.run();
    };
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(server.port());
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(caller, reinterpret_cast<sockaddr *>(&target), sizeof(target)) == 0);
    const auto send = [caller](std::string_view inBytes) {
        REQUIRE(::send(caller, inBytes.data(), inBytes.size(), MSG_NOSIGNAL)
                == static_cast<ssize_t>(inBytes.size()));
    };
    run(20ms);
    if (early > 0) {
        send(cRequest.substr(0, early));
        run(20ms);
    }
    send(cRequest.substr(early));
    usleep(120'000);
    run(50ms);
    std::array<char, 1024> bytes{};
    const ssize_t count = ::recv(caller, bytes.data(), bytes.size(), MSG_DONTWAIT);
    ::close(caller);
    REQUIRE(count > 0);
    CHECK(std::string_view(bytes.data(), static_cast<std::size_t>(count))
              .starts_with("HTTP/1.1 200 OK\r\n"));
}

TEST_CASE("a connection whose time limit is over is closed")
{
    kernel::event_loop loop;
    http::server server(loop, [](const auto &) {}, {.requestTimeout = 100ms, .idleTimeout = 100ms});
    REQUIRE(server.listen({"127.0.0.1", 0}));
    const int caller = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(server.port());
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(caller, reinterpret_cast<sockaddr *>(&target), sizeof(target)) == 0);
    kernel::timer end(loop, [&loop] { loop.stop(); });
    end.startOnce(150ms);
    loop.run();
    char byte = 0;
    CHECK(::recv(caller, &byte, 1, MSG_DONTWAIT) == 0);
    ::close(caller);
    CHECK(server.connectionCount() == 0);
}
