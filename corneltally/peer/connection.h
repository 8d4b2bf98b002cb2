#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace corneltally::kernel {
class event_loop;
}

namespace corneltally::peer {

/// Events of a connection. They are called from the event loop, never from inside a member function
/// of the connection. A handler may destroy the connection.
struct connection_events
{
    std::function<void(std::string_view inBody)> onFrame;
    /// The connection failed or ended, or the peer sent an invalid frame length. The last event of
    /// a connection.
    std::function<void(std::string_view inReason)> onClosed;
};

/// TCP connection that carries frames in both directions. The destructor closes it.
class connection
{
public:
    /// Limit on the bytes that wait to be sent. A peer that reads too slowly to stay below it is
    /// treated as disconnected.
    static constexpr std::size_t sMaxBacklogBytes = 16 * 1024 * 1024;

    /// Starts to open a connection to an IPv4 address; onClosed reports a failure. Frames may be
    /// sent at once and wait until the connection is open.
    connection(kernel::event_loop &inLoop, const std::string &inHost, unsigned short inPort);
    /// Takes ownership of an accepted socket.
    connection(kernel::event_loop &inLoop, int inSocket);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    void setEvents(connection_events inEvents);

    /// Queues a frame. Returns false without queuing it if the connection is closed, or if the
    /// frame or the backlog is too large.
    bool send(std::string_view inBody);

    /// When the last complete frame arrived, or when the connection was created.
    core::time_point lastReceived() const { return mLastReceived; }

    std::size_t backlogBytes() const;

private:
    struct state;

    std::shared_ptr<state> mState;
    core::time_point mLastReceived;
};

} // namespace corneltally::peer
