#include "corneltally/http1/socket_stream.h"

#include "corneltally/http1/socket_condition.h"
#include "corneltally/kernel/event_loop.h"

#include <cerrno>
#include <utility>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace corneltally::http1 {

namespace {

/// TCP keep-alive: idle time before the first probe, interval between probes, and the number of
/// unanswered probes that end a connection. Together they detect an unresponsive connection within
/// about 4 s.
constexpr int cProbeIdleSeconds = 2;
constexpr int cProbeIntervalSeconds = 1;
constexpr int cProbeCount = 2;

/// Reading from the socket stops when this many bytes of input are not consumed.
constexpr std::size_t cInputHighWater = 256 * 1024;

void configure(evutil_socket_t inSocket, core::duration inDataTimeout)
{
    const int enabled = 1;
    setsockopt(inSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    setsockopt(inSocket, SOL_SOCKET, SO_KEEPALIVE, &enabled, sizeof(enabled));
    setsockopt(inSocket, IPPROTO_TCP, TCP_KEEPIDLE, &cProbeIdleSeconds, sizeof(cProbeIdleSeconds));
    setsockopt(inSocket, IPPROTO_TCP, TCP_KEEPINTVL, &cProbeIntervalSeconds,
               sizeof(cProbeIntervalSeconds));
    setsockopt(inSocket, IPPROTO_TCP, TCP_KEEPCNT, &cProbeCount, sizeof(cProbeCount));
    const auto timeout = static_cast<unsigned>(
        std::chrono::duration_cast<std::chrono::milliseconds>(inDataTimeout).count());
    setsockopt(inSocket, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof(timeout));
}

} // namespace

struct socket_stream::state
{
    bufferevent *stream = nullptr;
    socket_stream::events events;
    std::size_t written = 0;
    core::duration dataTimeout{};
    bool shutdownPending = false;

    void release()
    {
        if (stream != nullptr)
            bufferevent_free(std::exchange(stream, nullptr));
    }

    void attach(bufferevent *inStream)
    {
        stream = inStream;
        bufferevent_setcb(stream, &sRead, &sWritten, &sEvent, this);
        bufferevent_setwatermark(stream, EV_READ, 0, cInputHighWater);
    }

    static void sRead(bufferevent * /*inStream*/, void *inState)
    {
        auto *self = static_cast<state *>(inState);
        const auto handler = self->events.onInput;
        if (handler)
            handler();
    }

    static void sWritten(bufferevent * /*inStream*/, void *inState)
    {
        auto *self = static_cast<state *>(inState);
        // The event is deferred, so more bytes may have been written since it was raised.
        if (evbuffer_get_length(bufferevent_get_output(self->stream)) > 0)
            return;
        if (self->shutdownPending) {
            self->shutdownPending = false;
            ::shutdown(bufferevent_getfd(self->stream), SHUT_WR);
        }
        const auto handler = self->events.onDrained;
        if (handler)
            handler();
    }

    static void sEvent(bufferevent * /*inStream*/, short inWhat, void *inState)
    {
        auto *self = static_cast<state *>(inState);
        if ((inWhat & BEV_EVENT_CONNECTED) != 0) {
            configure(bufferevent_getfd(self->stream), self->dataTimeout);
            const auto handler = self->events.onConnected;
            if (handler)
                handler();
            return;
        }
        if ((inWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0)
            return;
        const auto handler = self->events.onEnd;
        // One event can report a failed write and the end of input. The write took the error from
        // the socket, so that the read saw no more of a reset than the end.
        const stream_end end
            = (inWhat & BEV_EVENT_ERROR) != 0 ? stream_end::failed : stream_end::closed;
        if (handler)
            handler(end);
    }
};

socket_stream::socket_stream(kernel::event_loop &inLoop, const address &inTarget,
                             core::duration inDataTimeout)
    : mState(std::make_unique<state>())
{
    mState->dataTimeout = inDataTimeout;
    // Callbacks are deferred so that an immediate connect failure isn't reported inside this
    // constructor.
    mState->attach(
        bufferevent_socket_new(inLoop.base(), -1, BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_enable(mState->stream, EV_READ | EV_WRITE);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(inTarget.port);
    inet_pton(AF_INET, inTarget.host.c_str(), &target.sin_addr);
    bufferevent_socket_connect(mState->stream, reinterpret_cast<sockaddr *>(&target),
                               sizeof(target));
}

socket_stream::socket_stream(kernel::event_loop &inLoop, int inSocket, core::duration inDataTimeout)
    : mState(std::make_unique<state>())
{
    mState->dataTimeout = inDataTimeout;
    configure(inSocket, inDataTimeout);
    mState->attach(bufferevent_socket_new(inLoop.base(), inSocket,
                                          BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS));
    bufferevent_enable(mState->stream, EV_READ | EV_WRITE);
}

socket_stream::~socket_stream()
{
    mState->release();
}

void socket_stream::setEvents(events inEvents)
{
    mState->events = std::move(inEvents);
}

std::string_view socket_stream::input()
{
    if (mState->stream == nullptr)
        return {};
    evbuffer *buffer = bufferevent_get_input(mState->stream);
    const std::size_t length = evbuffer_get_length(buffer);
    if (length == 0)
        return {};
    return {reinterpret_cast<const char *>(evbuffer_pullup(buffer, -1)), length};
}

bool socket_stream::hasInput() const
{
    if (mState->stream == nullptr)
        return false;
    char next = 0;
    return evbuffer_get_length(bufferevent_get_input(mState->stream)) > 0
        || ::recv(bufferevent_getfd(mState->stream), &next, sizeof(next), MSG_PEEK | MSG_DONTWAIT)
        > 0;
}

void socket_stream::consume(std::size_t inBytes)
{
    if (mState->stream != nullptr && inBytes > 0)
        evbuffer_drain(bufferevent_get_input(mState->stream), inBytes);
}

void socket_stream::write(std::string_view inBytes)
{
    if (mState->stream == nullptr || inBytes.empty())
        return;
    mState->written += inBytes.size();
    bufferevent_write(mState->stream, inBytes.data(), inBytes.size());
}

std::size_t socket_stream::unsentBytes() const
{
    return mState->stream == nullptr ? 0
                                     : evbuffer_get_length(bufferevent_get_output(mState->stream));
}

std::size_t socket_stream::sentBytes() const
{
    return mState->written - unsentBytes();
}

bool socket_stream::isAcknowledged() const
{
    return unsentBytes() == 0
        && (mState->stream == nullptr || http1::isAcknowledged(bufferevent_getfd(mState->stream)));
}

bool socket_stream::hasFailed() const
{
    return mState->stream != nullptr && http1::hasFailed(bufferevent_getfd(mState->stream));
}

void socket_stream::setReading(bool inReading)
{
    if (mState->stream == nullptr)
        return;
    if (inReading)
        bufferevent_enable(mState->stream, EV_READ);
    else
        bufferevent_disable(mState->stream, EV_READ);
}

void socket_stream::shutdownWrite()
{
    if (mState->stream == nullptr)
        return;
    if (unsentBytes() > 0)
        mState->shutdownPending = true;
    else
        ::shutdown(bufferevent_getfd(mState->stream), SHUT_WR);
}

bool socket_stream::isOpen() const
{
    return mState->stream != nullptr;
}

void socket_stream::close()
{
    mState->release();
}

void socket_stream::reset()
{
    const linger atOnce{.l_onoff = 1, .l_linger = 0};
    if (mState->stream != nullptr)
        setsockopt(bufferevent_getfd(mState->stream), SOL_SOCKET, SO_LINGER, &atOnce,
                   sizeof(atOnce));
    close();
}

} // namespace corneltally::http1
