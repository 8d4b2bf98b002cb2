#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http1/address.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string_view>

namespace corneltally::kernel {
class event_loop;
}

namespace corneltally::http1 {

/// Why a stream ended.
enum class stream_end {
    /// The peer closed the connection in an orderly way; everything it sent was read.
    closed,
    /// A reset, a TCP timeout or another error.
    failed,
};

/// Buffered TCP connection. Events are called from the event loop, never from inside a member
/// function. A handler may destroy the stream.
class socket_stream
{
public:
    struct events
    {
        std::function<void()> onConnected;
        /// Bytes arrived; input() returns all bytes that are not consumed yet.
        std::function<void()> onInput;
        /// All bytes written so far were passed to the socket.
        std::function<void()> onDrained;
        /// The last event of a stream.
        std::function<void(stream_end inEnd)> onEnd;
    };

    /// Opens a connection.
    socket_stream(kernel::event_loop &inLoop, const address &inTarget,
                  core::duration inDataTimeout);
    /// Takes ownership of an accepted socket.
    socket_stream(kernel::event_loop &inLoop, int inSocket, core::duration inDataTimeout);
    ~socket_stream();
    socket_stream(const socket_stream &) = delete;
    socket_stream &operator=(const socket_stream &) = delete;

    void setEvents(events inEvents);

    std::string_view input();
    /// Whether bytes arrived that are not consumed, including those that still wait in the socket.
    bool hasInput() const;
    void consume(std::size_t inBytes);

    void write(std::string_view inBytes);
    std::size_t unsentBytes() const;
    /// Number of bytes passed to the socket so far.
    std::size_t sentBytes() const;

    /// Whether the peer has received all written bytes, as far as its acknowledgements tell. Where
    /// they can't be asked for, whether all were passed to the socket.
    bool isAcknowledged() const;
    /// Whether the connection has failed and no event has reported it yet. Reports it once.
    bool hasFailed() const;

    /// Stops or resumes reading. While reading is stopped, only a failed write detects the end of
    /// the connection.
    void setReading(bool inReading);

    /// Shuts down the sending direction after all written bytes were sent.
    void shutdownWrite();

    bool isOpen() const;

    /// Closes the connection immediately, without an event.
    void close();

    /// The same, with a reset: the peer sees a failure and not the end of what was sent.
    void reset();

private:
    struct state;

    std::unique_ptr<state> mState;
};

} // namespace corneltally::http1
