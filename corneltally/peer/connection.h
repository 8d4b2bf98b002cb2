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

/// What a connection reports. Both may be called from the loop only, never from inside a call of
/// the connection; the connection may be destroyed from inside either.
struct connection_events
{
    std::function<void(std::string_view inBody)> onFrame;
    /// The connection failed, ended or sent an invalid length. Nothing is reported after it.
    std::function<void(std::string_view inReason)> onClosed;
};

/// A TCP connection that carries frames in both directions. Destruction closes it.
class connection
{
public:
    /// Bytes that may wait to be sent. A peer that takes so little is treated as gone.
    static constexpr std::size_t sMaxBacklogBytes = 16 * 1024 * 1024;

    /// Opens a connection; a failure is reported by onClosed.
    connection(kernel::event_loop &inLoop, const std::string &inHost, unsigned short inPort);
    /// Takes over an accepted socket.
    connection(kernel::event_loop &inLoop, int inSocket);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    void setEvents(connection_events inEvents);

    /// Queues a frame. Returns false, without queuing, if the backlog or the frame is too large.
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
