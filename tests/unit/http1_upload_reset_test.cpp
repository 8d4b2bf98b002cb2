// Guards against answers that count as complete though their connection failed while the request
// was still being written.

#include "corneltally/http1/client_connection.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "tests/raw_endpoint.h"

#include <atomic>
#include <functional>
#include <future>
#include <optional>
#include <string>
#include <thread>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using kind = http1::exchange_end::kind;

namespace {

/// More than the socket buffers of both sides hold.
constexpr std::size_t cUploadBytes = 32 * 1024 * 1024;

struct upload_result
{
    std::string body;
    std::optional<http1::exchange_end> end;
};

/// A task runs in the loop every millisecond.
upload_result upload(const raw_endpoint &inEndpoint, std::size_t inBytes,
                     const std::function<void()> &inTask = {})
{
    kernel::event_loop loop;
    upload_result result;
    http1::client_connection connection(loop, {"127.0.0.1", inEndpoint.port()}, 5s);
    connection.start(
        {.method = "POST", .target = "/", .fields = {{"Content-Length", std::to_string(inBytes)}}},
        std::string(inBytes, 'x'),
        {.accepts = {},
         .onHead = {},
         .onBody =
             [&](std::string_view inData) {
                 result.body.append(inData);
                 return true;
             },
         .onEnd =
             [&](const http1::exchange_end &inEnd) {
                 result.end = inEnd;
                 loop.stop();
             }});
    kernel::timer limit(loop, [&] { loop.stop(); });
    limit.startOnce(10s);
    kernel::timer task(loop, inTask);
    if (inTask)
        task.startRepeating(1ms);
    loop.run();
    REQUIRE(result.end.has_value());
    CHECK_FALSE(connection.reusable());
    return result;
}

} // namespace

// Failure: the write takes the error of the reset, the next read finds only the end of the
// connection, and the end counts as the end of the body.
TEST_CASE("an answer whose connection is reset during an upload is broken")
{
    const std::string part
        = GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\n\r\npart",
                   "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart",
                   "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart");
    const auto pause = GENERATE(0ms, 1ms, 50ms);
    const bool readsOn = GENERATE(false, true);
    CAPTURE(part, pause.count(), readsOn);
    raw_endpoint endpoint([&](int inSocket) {
        raw_endpoint::sReadSome(inSocket);
        raw_endpoint::sSend(inSocket, part);
        std::this_thread::sleep_for(pause);
        if (readsOn)
            raw_endpoint::sReadSome(inSocket);
        raw_endpoint::sReset(inSocket);
    });
    const upload_result result = upload(endpoint, cUploadBytes);
    CHECK(result.end->outcome == kind::broken);
    CHECK(result.end->sent);
    CHECK(result.end->connectionLost);
}

// Failure: an endpoint whose process ends closes its connections in an orderly way, and resets them
// when more of the request arrives.
TEST_CASE("an answer whose connection is closed and then reset during an upload is broken")
{
    // The smaller one fits into the socket buffers.
    const std::size_t bytes = GENERATE(as<std::size_t>{}, 4 * 1024 * 1024, cUploadBytes);
    CAPTURE(bytes);
    raw_endpoint endpoint([&](int inSocket) {
        // Acknowledges only a part of the request.
        const int buffer = 64 * 1024;
        setsockopt(inSocket, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
        raw_endpoint::sReadSome(inSocket);
        raw_endpoint::sSend(inSocket, "HTTP/1.1 200 OK\r\n\r\npart");
        shutdown(inSocket, SHUT_WR);
        std::this_thread::sleep_for(100ms);
        raw_endpoint::sReset(inSocket);
    });
    CHECK(upload(endpoint, bytes).end->outcome == kind::broken);
}

// Failure: an instance that is late finds the end of the connection first and takes it for the end
// of the body, though the connection was reset after it.
TEST_CASE("an answer whose connection is closed and reset before it is read is broken")
{
    std::atomic<bool> received = false;
    std::promise<void> busy;
    std::promise<void> reset;
    raw_endpoint endpoint([&](int inSocket) {
        raw_endpoint::sReadSome(inSocket);
        received = true;
        busy.get_future().wait();
        raw_endpoint::sSend(inSocket, "HTTP/1.1 200 OK\r\n\r\npart");
        shutdown(inSocket, SHUT_WR);
        raw_endpoint::sReset(inSocket);
        reset.set_value();
    });
    const upload_result result = upload(endpoint, 1, [&] {
        if (!received.exchange(false))
            return;
        busy.set_value();
        reset.get_future().wait();
    });
    CHECK(result.end->outcome == kind::broken);
}

// Failure: an early answer is thrown away though its endpoint reads the rest of the request.
TEST_CASE("an early answer that ends with its connection is complete if the upload is received")
{
    const std::size_t bytes = GENERATE(as<std::size_t>{}, 1, cUploadBytes);
    CAPTURE(bytes);
    raw_endpoint endpoint([&](int inSocket) {
        raw_endpoint::sReadSome(inSocket);
        raw_endpoint::sSend(inSocket, "HTTP/1.1 200 OK\r\n\r\npart");
        shutdown(inSocket, SHUT_WR);
        std::this_thread::sleep_for(50ms);
        while (raw_endpoint::sReadSome(inSocket)) { }
        close(inSocket);
    });
    const upload_result result = upload(endpoint, bytes);
    CHECK(result.end->outcome == kind::complete);
    CHECK(result.body == "part");
}
