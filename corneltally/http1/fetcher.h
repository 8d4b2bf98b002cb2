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

/// A call whose answer is wanted as a whole.
struct fetch_request
{
    address target;
    std::string method = "GET";
    std::string path;
    header_fields fields;
    std::string body;
    core::duration timeout = std::chrono::seconds(2);
};

/// Result of a call. The status is zero if no whole answer arrived.
struct fetch_result
{
    int status = 0;
    header_fields fields;
    std::string body;
    /// Whether the server may have received the call.
    bool sent = false;
};

/// Makes calls to servers over pooled connections.
class fetcher
{
public:
    explicit fetcher(kernel::event_loop &inLoop);
    ~fetcher();

    /// The handler is called once, never from inside this call.
    void fetch(fetch_request inRequest, std::function<void(const fetch_result &)> inHandler);

    /// Closes idle connections that have become useless.
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
