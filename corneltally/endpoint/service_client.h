#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http/client.h"
#include "corneltally/http/message.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace corneltally::endpoint {

/// A request to an application service. It contains no credentials of the caller.
struct service_call
{
    http::address target;
    std::string method;
    std::string path;
    std::string contentType;
    std::string body;
    std::string requestId;
    std::string account;
    /// Value of X-Order-Id, which identifies the order at the service; empty without an idempotency
    /// key.
    std::string orderId;
    core::duration timeout{};
    /// Opens a new connection, so that a connect failure proves that nothing was sent.
    bool freshConnection = true;
};

/// How a call to an application service ended.
enum class service_outcome : std::uint8_t {
    answered,
    /// The request certainly did not run: nothing was sent, or the service reported that it did not
    /// run the request.
    not_run,
    /// The request may have run.
    unknown,
};

/// Result of a call to an application service.
struct service_result
{
    service_outcome outcome = service_outcome::unknown;
    int status = 0;
    std::string contentType;
    std::string body;
    int retryAfterSeconds = 0;
    /// Why the call failed; empty if the service answered.
    std::string reason;
};

/// Determines from a response whether the request ran. A response with another X-Request-Id than
/// inRequestId belongs to another request and proves nothing.
service_result classifyResponse(const http::response &inResponse, std::string_view inRequestId);

/// HTTP client of the application services.
class service_client
{
public:
    /// Size limit of a response body.
    static constexpr std::size_t sMaxResponseBytes = 16 * 1024 * 1024;

    using call_id = std::uint64_t;
    using handler = std::function<void(const service_result &)>;

    explicit service_client(kernel::event_loop &inLoop);
    ~service_client();
    service_client(const service_client &) = delete;
    service_client &operator=(const service_client &) = delete;

    /// Calls the handler exactly once, from the event loop, unless the call is cancelled.
    call_id call(service_call inCall, handler inHandler);
    void cancel(call_id inCall);

private:
    struct running_call
    {
        http::client::call_id wireCall = 0;
        std::string requestId;
        http::response response;
        handler onResult;
    };

    void headReceived(call_id inCall, int inStatus, const http::header_list &inHeaders);
    void dataReceived(call_id inCall, std::string_view inData);
    void finish(call_id inCall, http::call_outcome inOutcome);

    http::client mClient;
    std::unordered_map<call_id, running_call> mCalls;
    call_id mNextId = 1;
};

} // namespace corneltally::endpoint
