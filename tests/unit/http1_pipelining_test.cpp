// Guards against callers that send many requests without waiting for the answers: an instance must
// neither run out of stack nor keep answers without a bound for a caller that does not read them.

#include "corneltally/http1/listener.h"
#include "corneltally/http1/server_connection.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <algorithm>
#include <cerrno>
#include <cstddef>
#include <memory>
#include <string>
#include <string_view>

#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <netinet/in.h>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view cRequest = "GET /a HTTP/1.1\r\nHost: x\r\n\r\n";
constexpr std::string_view cClose = "Connection: close\r\n";
constexpr std::size_t cRequests = 100'000;

std::string manyRequests(std::size_t inCount = cRequests)
{
    std::string text;
    text.reserve(inCount * cRequest.size());
    for (std::size_t count = 0; count < inCount; ++count)
        text.append(cRequest);
    return text;
}

/// Server that answers each request within the handler.
struct answering_server
{
    kernel::event_loop loop;
    std::string body = "no";
    std::unique_ptr<http1::server_connection> connection;
    std::size_t answered = 0;
    int depth = 0;
    int maxDepth = 0;
    std::size_t maxUnsent = 0;
    std::size_t closeAfter = 0;
    http1::listener listener{loop, [this](int inSocket) { accept(inSocket); }};

    answering_server() { REQUIRE(listener.listen({"127.0.0.1", 0})); }

    void accept(int inSocket)
    {
        connection = std::make_unique<http1::server_connection>(loop, inSocket,
                                                                http1::caller_limits{}, 1s);
        connection->setEvents({.onRequest = [this](const http1::server_request &) { answer(); },
                               .onDrained = {},
                               .onClosed = [this] { loop.stop(); }});
    }

    void answer()
    {
        maxDepth = std::max(maxDepth, ++depth);
        ++answered;
        if (answered == closeAfter)
            connection->closeWhenIdle();
        connection->respond({.status = 503}, body);
        maxUnsent = std::max(maxUnsent, connection->unsentBytes());
        --depth;
    }

    void run(core::duration inTime)
    {
        kernel::timer limit(loop, [this] { loop.stop(); });
        limit.startOnce(inTime);
        loop.run();
    }
};

/// Caller that writes all requests at once, and counts the answers if it reads them.
struct pipelining_caller
{
    explicit pipelining_caller(answering_server &ioServer, std::size_t inCount = cRequests)
        : stream(ioServer.loop, http1::address{"127.0.0.1", ioServer.listener.port()}, 20s)
    {
        stream.setEvents(
            {.onConnected = [this, inCount] { stream.write(manyRequests(inCount)); },
             .onInput =
                 [this, &ioServer] {
                     const std::string_view input = stream.input();
                     for (std::size_t at = input.find("HTTP/1.1 503"); at != std::string_view::npos;
                          at = input.find("HTTP/1.1 503", at + 1))
                         ++answers;
                     for (std::size_t at = input.find(cClose); at != std::string_view::npos;
                          at = input.find(cClose, at + 1))
                         ++closesAnnounced;
                     // A status line may be cut at the end of the input.
                     const std::size_t rest = input.rfind('H');
                     stream.consume(rest != std::string_view::npos && input.size() - rest < 12
                                        ? rest
                                        : input.size());
                     if (answers == cRequests)
                         ioServer.loop.stop();
                 },
             .onDrained = {},
             .onEnd =
                 [this, &ioServer](http1::stream_end) {
                     ended = true;
                     ioServer.loop.stop();
                 }});
    }

    http1::socket_stream stream;
    std::size_t answers = 0;
    std::size_t closesAnnounced = 0;
    bool ended = false;
};

/// Caller that writes requests and never reads.
class reluctant_caller
{
public:
    explicit reluctant_caller(const answering_server &inServer)
        : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0))
    {
        sockaddr_in target{};
        target.sin_family = AF_INET;
        target.sin_port = htons(inServer.listener.port());
        target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        const int result
            = ::connect(mSocket, reinterpret_cast<sockaddr *>(&target), sizeof(target));
        REQUIRE((result == 0 || errno == EINPROGRESS));
    }
    ~reluctant_caller() { ::close(mSocket); }
    reluctant_caller(const reluctant_caller &) = delete;
    reluctant_caller &operator=(const reluctant_caller &) = delete;

    void send()
    {
        const ssize_t sent
            = ::send(mSocket, mText.data() + mSent, mText.size() - mSent, MSG_NOSIGNAL);
        mSent += sent > 0 ? static_cast<std::size_t>(sent) : 0;
    }

private:
    int mSocket;
    std::string mText = manyRequests();
    std::size_t mSent = 0;
};

} // namespace

// Failure: each answer begins with the next request inside the handler of the last.
TEST_CASE("100,000 requests that are refused at once are all answered, one after the other")
{
    answering_server server;
    pipelining_caller caller(server);
    server.run(60s);
    CHECK(caller.answers == cRequests);
    CHECK(server.answered == cRequests);
    CHECK(server.maxDepth == 1);
}

// Failure: the answers pile up in the instance.
TEST_CASE("no request is read while a caller leaves too many answers unread")
{
    constexpr std::size_t cMaxUnsent = 256 * 1024;
    answering_server server;
    server.body.assign(1000, 'x');
    reluctant_caller caller(server);
    kernel::timer sending(server.loop, [&] { caller.send(); });
    sending.startRepeating(1ms);
    server.run(2s);
    CHECK(server.answered > 100);
    CHECK(server.answered < cRequests);
    CHECK(server.maxUnsent < cMaxUnsent);
}

TEST_CASE("a caller that never reads loses its connection")
{
    answering_server server;
    server.body.assign(1000, 'x');
    reluctant_caller caller(server);
    kernel::timer sending(server.loop, [&] { caller.send(); });
    sending.startRepeating(1ms);
    const core::time_point start = core::boot_clock::now();
    server.run(60s);
    CHECK(core::boot_clock::now() - start < 30s);
}

// Failure: requests that were read with the one whose answer announces the close get neither an
// answer nor a refusal.
TEST_CASE("a connection that closes answers the requests that have arrived, and ends")
{
    // All of them fit into the socket's buffer.
    constexpr std::size_t cArrived = 1000;
    answering_server server;
    server.closeAfter = 3;
    pipelining_caller caller(server, cArrived);
    server.run(20s);
    CHECK(caller.ended);
    CHECK(server.answered == cArrived);
    CHECK(caller.answers == cArrived);
    CHECK(caller.closesAnnounced == 1);
    CHECK(server.maxDepth == 1);
}
