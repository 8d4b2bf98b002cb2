#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http1/address.h"
#include "corneltally/http1/client_connection.h"
#include "corneltally/http1/connection_pool.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>

namespace corneltally::http1 {

/// A request whose response is collected as a whole.
struct fetch_request
{
    address target;
    std::string method = "GET";
    std::string path;
    header_fields fields;
    std::string body;
    core::duration timeout = std::chrono::seconds(2);
    /// A longer response fails.
    std::size_t maxBodyBytes = 8 * 1024 * 1024;
};

/// Result of a fetch. The status is zero if no complete response arrived.
struct fetch_result
{
    int status = 0;
    header_fields fields;
    std::string body;
    /// Whether the server may have received any part of the request.
    bool sent = false;
};

/// Sends requests over pooled connections and collects their responses.
class fetcher
{
public:
    explicit fetcher(kernel::event_loop &inLoop);
    ~fetcher();

    /// Calls the handler exactly once, never from inside this function.
    void fetch(fetch_request inRequest, std::function<void(const fetch_result &)> inHandler);

    /// Closes idle connections that can't be reused any more.
    void prune() { mPool.prune(); }

private:
    struct running_call;

    void finish(std::uint64_t inId, bool inComplete, bool inSent);

    kernel::event_loop &mLoop;
    connection_pool mPool;
    std::unordered_map<std::uint64_t, std::unique_ptr<running_call>> mRunning;
    std::uint64_t mNextId = 1;
};

} // namespace corneltally::http1
