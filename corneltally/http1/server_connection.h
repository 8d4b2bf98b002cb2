#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http1/body_budget.h"
#include "corneltally/http1/message_head.h"
#include "corneltally/http1/message_parser.h"
#include "corneltally/http1/socket_stream.h"
#include "corneltally/kernel/timer.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace corneltally::http1 {

/// Size limits and timeouts for requests of a caller.
struct caller_limits
{
    std::uint32_t maxHeaderBytes = 16 * 1024;
    std::uint64_t maxBodyBytes = 4 * 1024 * 1024;
    core::duration headerTimeout = std::chrono::seconds(3);
    core::duration bodyTimeout = std::chrono::seconds(15);
    core::duration idleTimeout = std::chrono::seconds(15);

    friend bool operator==(const caller_limits &, const caller_limits &) = default;
};

/// A complete received request.
struct server_request
{
    request_head head;
    std::string body;
    /// When the first byte of the request arrived.
    core::time_point arrived;
    /// The bytes that the body takes of the instance's budget.
    body_budget::reservation reservation;
};

/// Why a connection to a caller ended.
enum class connection_end {
    open,
    /// The caller closed it, or it failed.
    caller,
    idle_timeout,
    /// The instance was asked to close it once it was idle.
    closed_idle,
    /// The last answer announced the close, and the caller did not close its side in time.
    linger_timeout,
    aborted
};

std::string_view toString(connection_end inEnd);

/// Server side of an HTTP/1.1 connection. Reads one request at a time and writes its response.
/// While the caller leaves many bytes of responses unread, no further request is read.
class server_connection
{
public:
    struct events
    {
        std::function<void(server_request)> onRequest;
        /// All response bytes written so far were passed to the socket.
        std::function<void()> onDrained;
        /// The connection ended, possibly during a request. The handler may destroy the connection.
        std::function<void()> onClosed;
    };

    server_connection(kernel::event_loop &inLoop, int inSocket, const caller_limits &inLimits,
                      core::duration inDataTimeout);

    void setEvents(events inEvents);

    /// Sets the budget that the bodies of requests take from. A request whose body finds no place
    /// in it is refused as one that has not run.
    void setBodyBudget(std::shared_ptr<body_budget> inBudget) { mBudget = std::move(inBudget); }

    /// Replaces the limits. A head that is being received keeps its size limit and its timeout.
    void setLimits(const caller_limits &inLimits);

    /// Sends a complete response.
    void respond(response_head inHead, std::string_view inBody);

    /// Starts a response whose body follows. With inLength, the body must have this length. Without
    /// it, the body is sent in chunks, or ends with the connection if the caller uses HTTP/1.0.
    void startResponse(response_head inHead, std::optional<std::uint64_t> inLength);
    void sendBody(std::string_view inData);
    void endResponse();

    /// Closes the connection within a response, so that the caller can't take it for complete. What
    /// was written before is sent.
    void abort();

    /// Ends the use of the connection. Requests that have arrived are answered, and the last answer
    /// announces the close. An idle connection is closed after a short time without a request.
    /// Calls no handler before it returns.
    void closeWhenIdle();

    bool busy() const { return mBusy; }
    /// Whether a request has begun to arrive that is not yet answered in full, or the first one on
    /// a new connection is expected.
    bool unfinished() const;
    /// Whether bytes arrived that were not parsed, including those that wait in the socket.
    bool hasInput() const { return mStream.hasInput(); }
    /// Bytes that arrived after the instance had closed its side, and were not answered.
    std::size_t discardedBytes() const { return mDiscardedBytes; }
    connection_end end() const { return mEnd; }
    bool headSent() const { return mHeadSent; }
    std::size_t unsentBytes() const { return mStream.unsentBytes(); }

private:
    enum class phase { idle, reading, busy, lingering };

    void readInput();
    bool parse();
    bool headReceived();
    bool bodyReceived(std::string_view inData);
    void refuse(int inStatus);
    void finishResponse();
    void resume();
    void linger();
    void discardInput();
    void endLinger();
    void closed(connection_end inEnd);
    void armTimer(core::duration inDelay);
    void armIdleTimer();
    void timedOut();
    void idleTimedOut();
    bool awaitsFirstRequest() const;
    void writeHead(response_head &ioHead);

    socket_stream mStream;
    caller_limits mLimits;
    events mEvents;
    message_parser mParser;
    kernel::timer mTimer;
    /// Reads the next request that has already arrived.
    kernel::timer mResume;
    std::string mBody;
    std::shared_ptr<body_budget> mBudget;
    body_budget::reservation mReservation;
    /// Bytes of a refused body that the caller has yet to send.
    std::uint64_t mUnreadBytes = 0;
    std::size_t mDiscardedBytes = 0;
    connection_end mEnd = connection_end::open;
    core::time_point mArrived;
    core::time_point mIdleSince;
    phase mPhase = phase::idle;
    bool mBusy = false;
    bool mHadRequest = false;
    bool mHeadSent = false;
    bool mChunked = false;
    /// Whether the response has neither a length nor chunks.
    bool mEndsWithConnection = false;
    bool mKeepAlive = true;
    bool mChunkedAllowed = true;
    bool mHeadRequest = false;
    bool mClosing = false;
    bool mContinueSent = false;
};

} // namespace corneltally::http1
