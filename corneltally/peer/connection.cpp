#include "corneltally/peer/connection.h"

#include "corneltally/kernel/event_loop.h"
#include "corneltally/peer/frame.h"

#include <array>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/util.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace corneltally::peer {

namespace {

/// Disables Nagle's algorithm, which would delay small frames.
void disableDelay(evutil_socket_t inSocket)
{
    const int enabled = 1;
    setsockopt(inSocket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
}

} // namespace

/// Shared with the running callback, since a handler may destroy the connection.
struct connection::state
{
    connection *owner = nullptr;
    bufferevent *stream = nullptr;
    connection_events events;

    void close(const std::shared_ptr<state> &inSelf, std::string_view inReason)
    {
        if (stream == nullptr)
            return;
        bufferevent_free(std::exchange(stream, nullptr));
        // Copies the handler, because it usually destroys the connection and thereby itself.
        const std::function<void(std::string_view)> handler = inSelf->events.onClosed;
        if (handler)
            handler(inReason);
    }

    static void sRead(bufferevent *inStream, void *inState)
    {
        const std::shared_ptr<state> self = static_cast<state *>(inState)->owner->mState;
        evbuffer *input = bufferevent_get_input(inStream);
        while (self->stream != nullptr && evbuffer_get_length(input) >= cFrameHeaderBytes) {
            std::array<char, cFrameHeaderBytes> header{};
            evbuffer_copyout(input, header.data(), header.size());
            const std::optional<std::size_t> length
                = frameLength(std::string_view(header.data(), header.size()));
            if (!length) {
                self->close(self, "the peer sent a frame with an invalid length");
                return;
            }
            if (evbuffer_get_length(input) < cFrameHeaderBytes + *length)
                return;
            evbuffer_drain(input, cFrameHeaderBytes);
            std::string body(*length, '\0');
            evbuffer_remove(input, body.data(), body.size());
            self->owner->mLastReceived = core::boot_clock::now();
            if (self->events.onFrame)
                self->events.onFrame(body);
        }
    }

    static void sEvent(bufferevent * /*inStream*/, short inWhat, void *inState)
    {
        const std::shared_ptr<state> self = static_cast<state *>(inState)->owner->mState;
        if ((inWhat & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0)
            self->close(self,
                        (inWhat & BEV_EVENT_EOF) != 0 ? "the peer closed the connection"
                                                      : "the connection failed");
        else if ((inWhat & BEV_EVENT_CONNECTED) != 0)
            disableDelay(bufferevent_getfd(self->stream));
    }
};

connection::connection(kernel::event_loop &inLoop, const std::string &inHost, unsigned short inPort)
    : mState(std::make_shared<state>())
    , mLastReceived(core::boot_clock::now())
{
    mState->owner = this;
    // Callbacks are deferred so that an immediate connect failure isn't reported inside this
    // constructor.
    mState->stream = bufferevent_socket_new(inLoop.base(), -1,
                                            BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(mState->stream, &state::sRead, nullptr, &state::sEvent, mState.get());
    bufferevent_enable(mState->stream, EV_READ | EV_WRITE);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(inPort);
    inet_pton(AF_INET, inHost.c_str(), &target.sin_addr);
    bufferevent_socket_connect(mState->stream, reinterpret_cast<sockaddr *>(&target),
                               sizeof(target));
}

connection::connection(kernel::event_loop &inLoop, int inSocket)
    : mState(std::make_shared<state>())
    , mLastReceived(core::boot_clock::now())
{
    mState->owner = this;
    disableDelay(inSocket);
    mState->stream = bufferevent_socket_new(inLoop.base(), inSocket,
                                            BEV_OPT_CLOSE_ON_FREE | BEV_OPT_DEFER_CALLBACKS);
    bufferevent_setcb(mState->stream, &state::sRead, nullptr, &state::sEvent, mState.get());
    bufferevent_enable(mState->stream, EV_READ | EV_WRITE);
}

connection::~connection()
{
    if (mState->stream != nullptr)
        bufferevent_free(std::exchange(mState->stream, nullptr));
}

void connection::setEvents(connection_events inEvents)
{
    mState->events = std::move(inEvents);
}

bool connection::send(std::string_view inBody)
{
    if (mState->stream == nullptr || inBody.size() > cMaxFrameBytes
        || backlogBytes() + inBody.size() > sMaxBacklogBytes)
        return false;
    const std::string header = frameHeader(inBody.size());
    bufferevent_write(mState->stream, header.data(), header.size());
    bufferevent_write(mState->stream, inBody.data(), inBody.size());
    return true;
}

std::size_t connection::backlogBytes() const
{
    if (mState->stream == nullptr)
        return 0;
    return evbuffer_get_length(bufferevent_get_output(mState->stream));
}

} // namespace corneltally::peer
