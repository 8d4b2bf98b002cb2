#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace corneltally::kernel {
class event_loop;
}

namespace corneltally::http {

/// How a call of a client ended.
enum class call_outcome {
    completed,
    /// The connection could not be opened, so no byte of the request was sent.
    not_sent,
    /// The connection ended or timed out after bytes may have been sent.
    interrupted,
};

/// A request of a client.
struct call_request
{
    address target;
    std::string method = "GET";
    /// Path with the query.
    std::string path;
    header_list headers;
    std::string body;
    /// Limit on the time from the start of the call to the last byte of the response.
    core::duration timeout = std::chrono::seconds(30);
    /// Limit on the time without a byte of the response; zero means no limit.
    core::duration idleTimeout{};
    /// Opens a new connection, so that a connect failure proves that nothing was sent.
    bool freshConnection = false;
};

/// Events of a call. They are called from the event loop, never from inside call().
struct call_events
{
    std::function<void(int inStatus, const header_list &inHeaders)> onHead;
    std::function<void(std::string_view inData)> onData;
    /// Called exactly once, as the last event, unless the call was cancelled.
    std::function<void(call_outcome inOutcome)> onEnd;
};

/// HTTP/1.1 client that keeps idle connections per target for reuse. A connection whose call was
/// interrupted or cancelled is closed.
class client
{
public:
    explicit client(kernel::event_loop &inLoop);
    ~client();
    client(const client &) = delete;
    client &operator=(const client &) = delete;

    using call_id = std::uint64_t;

    call_id call(call_request inRequest, call_events inEvents);

    /// Closes the connection of a call. No event of the call follows.
    void cancel(call_id inCall);

private:
    struct implementation;
    std::unique_ptr<implementation> mImplementation;
};

/// A complete response, for calls that need no streaming.
struct response
{
    call_outcome outcome = call_outcome::interrupted;
    int status = 0;
    header_list headers;
    std::string body;
};

/// Makes a call and collects the complete response.
client::call_id fetch(client &inClient, call_request inRequest,
                      std::function<void(const response &)> inHandler);

} // namespace corneltally::http
