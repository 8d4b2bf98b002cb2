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
    /// The other end closed in order; all that it sent was read.
    closed,
    /// A reset, a time-out of the transport or another error.
    failed,
};

/// A TCP connection with buffers. Events are called from the loop, never from inside a call of the
/// stream; the stream may be destroyed from inside an event.
class socket_stream
{
public:
    struct events
    {
        std::function<void()> onConnected;
        /// Bytes arrived; input() shows all that were not consumed.
        std::function<void()> onInput;
        /// All bytes written so far were handed to the transport.
        std::function<void()> onDrained;
        /// Nothing is reported after it.
        std::function<void(stream_end inEnd)> onEnd;
    };

    /// Opens a connection.
    socket_stream(kernel::event_loop &inLoop, const address &inTarget,
                  core::duration inDataTimeout);
    /// Takes over an accepted socket.
    socket_stream(kernel::event_loop &inLoop, int inSocket, core::duration inDataTimeout);
    ~socket_stream();
    socket_stream(const socket_stream &) = delete;
    socket_stream &operator=(const socket_stream &) = delete;

    void setEvents(events inEvents);

    std::string_view input();
    void consume(std::size_t inBytes);

    void write(std::string_view inBytes);
    std::size_t unsentBytes() const;
    /// Bytes handed to the transport so far.
    std::size_t sentBytes() const;

    /// Stops or resumes reading; while stopped, an end is noticed only if writing fails.
    void setReading(bool inReading);

    /// Sends the end of the outgoing direction after what was written.
    void shutdownWrite();

    bool isOpen() const;

    /// Closes at once; no event follows.
    void close();

private:
    struct state;

    std::unique_ptr<state> mState;
};

} // namespace corneltally::http1
