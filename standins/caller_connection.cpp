#include "standins/caller_connection.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <utility>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace standins {

namespace http1 = corneltally::http1;

namespace {

/// Time to connect on the same machine.
constexpr int cConnectMs = 200;

bool isReady(int inSocket, short inEvents, int inMs)
{
    pollfd wanted{.fd = inSocket, .events = inEvents, .revents = 0};
    return poll(&wanted, 1, inMs) > 0 && (wanted.revents & inEvents) != 0;
}

} // namespace

std::string requestText(const corneltally::http::call_request &inCall)
{
    std::string text = inCall.method + " " + inCall.path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : inCall.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    return text + "Content-Length: " + std::to_string(inCall.body.size()) + "\r\n\r\n"
        + inCall.body;
}

caller_connection::caller_connection(unsigned short inPort)
    : mSocket(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0))
    , mAnswer(http1::message_parser::kind::response)
{
    const int enabled = 1;
    setsockopt(mSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(inPort);
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const int result = connect(mSocket, reinterpret_cast<const sockaddr *>(&target), sizeof target);
    if ((result != 0 && (errno != EINPROGRESS || !isReady(mSocket, POLLOUT, cConnectMs)))
        || hasFailed())
        endedWith(connection_end::reset);
}

caller_connection::~caller_connection()
{
    close(mSocket);
}

short caller_connection::pollEvents() const
{
    return mEnd == connection_end::none ? POLLIN : 0;
}

void caller_connection::send(std::string_view inBytes, const std::vector<std::string> &inIds)
{
    receive();
    // The end may follow on bytes that are not read yet.
    if (!mBegun)
        mBegunOnClosing = mClosing || isReady(mSocket, POLLRDHUP, 0);
    const ssize_t count = ::send(mSocket, inBytes.data(), inBytes.size(), MSG_NOSIGNAL);
    if (count < 0 && errno != EAGAIN) {
        endedWith(connection_end::reset);
        return;
    }
    mBegun = inIds.empty();
    if (count != static_cast<ssize_t>(inBytes.size()))
        return;
    for (const std::string &id : inIds)
        mRequests.push_back(
            {.id = id, .sent = std::chrono::steady_clock::now(), .sentOnClosing = mBegunOnClosing});
    if (mEarlyStatus != 0 && awaitsAnswer()) {
        mRequests[mNext].status = std::exchange(mEarlyStatus, 0);
        mRequests[mNext++].answered = true;
    }
}

void caller_connection::receive()
{
    std::array<char, 16 * 1024> bytes{};
    while (mEnd == connection_end::none) {
        const ssize_t count = recv(mSocket, bytes.data(), bytes.size(), 0);
        if (count > 0) {
            mInput.append(bytes.data(), static_cast<std::size_t>(count));
            answerReceived();
        } else if (count == 0) {
            endedWith(connection_end::orderly);
        } else if (errno == EAGAIN) {
            return;
        } else if (errno != EINTR) {
            endedWith(connection_end::reset);
        }
    }
    // After the end of the other direction reading shows no errors.
    if (mEnd == connection_end::orderly && hasFailed())
        endedWith(connection_end::reset);
}

bool caller_connection::hasFailed()
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(mSocket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0;
}

void caller_connection::endedWith(connection_end inEnd)
{
    if (mEnd == connection_end::none)
        mEndSeen = std::chrono::steady_clock::now();
    mEnd = inEnd;
    mClosing = true;
}

void caller_connection::answerReceived()
{
    while (!mInput.empty()) {
        const std::size_t taken = mAnswer.feed(mInput);
        mInput.erase(0, taken);
        if (mAnswer.failed()) {
            endedWith(connection_end::orderly);
            return;
        }
        if (mAnswer.headComplete()) {
            mClosing = mClosing || !mAnswer.response().keepAlive;
            const std::string body = mAnswer.takeBody();
            if (awaitsAnswer()) {
                mRequests[mNext].status = mAnswer.response().status;
                mRequests[mNext].body += body;
            }
        }
        if (mAnswer.complete()) {
            if (awaitsAnswer())
                mRequests[mNext++].answered = true;
            else if (mBegun)
                mEarlyStatus = mAnswer.response().status;
            mAnswer = http1::message_parser(http1::message_parser::kind::response);
        } else if (taken == 0) {
            return;
        }
    }
}

bool caller_connection::awaitsAnswer() const
{
    return mNext < mRequests.size();
}

bool caller_connection::mustKeepQuiet() const
{
    return mClosing && std::ranges::any_of(mRequests, [](const sent_request &inRequest) {
               return !inRequest.answered && !inRequest.sentOnClosing;
           });
}

std::vector<sent_request> caller_connection::lost() const
{
    std::vector<sent_request> found;
    for (const sent_request &request : mRequests) {
        if (request.answered || request.sentOnClosing)
            continue;
        if (request.status != 0 || mEnd == connection_end::orderly)
            found.push_back(request);
        // No other answer can follow on one that was broken off.
        if (request.status != 0)
            break;
    }
    return found;
}

} // namespace standins
