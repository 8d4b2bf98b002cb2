#pragma once

#include "corneltally/http/client.h"
#include "corneltally/platform/log_service.h"

#include <set>
#include <string>

namespace corneltally::platform {

/// HTTP client of the platform's log. It never repeats a call by itself.
class log_client
{
public:
    log_client(kernel::event_loop &inLoop, http::address inPlatform);
    ~log_client();
    log_client(const log_client &) = delete;
    log_client &operator=(const log_client &) = delete;

    /// Appends one record to a stream.
    void append(const std::string &inStream, std::string inRecord, append_handler inHandler);

    /// Reads records; waits at the log if there are none yet.
    void read(const read_request &inRequest, read_handler inHandler);

    /// Gives up all calls. An append may still take effect.
    void cancelAll();

private:
    template <typename Handler>
    void call(http::call_request inRequest, Handler inHandler);

    http::client mClient;
    http::address mPlatform;
    std::set<http::client::call_id> mCalls;
};

static_assert(log_service<log_client>);

} // namespace corneltally::platform
