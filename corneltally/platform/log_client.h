#pragma once

#include "corneltally/http/client.h"
#include "corneltally/platform/log_service.h"

#include <set>
#include <string>

namespace corneltally::platform {

/// HTTP client of the platform's log. It never retries a call.
class log_client
{
public:
    log_client(kernel::event_loop &inLoop, http::address inPlatform);
    ~log_client();
    log_client(const log_client &) = delete;
    log_client &operator=(const log_client &) = delete;

    /// Appends one record to a stream.
    void append(const std::string &inStream, std::string inRecord, append_handler inHandler);

    /// Reads records. If there are none yet, the log waits for a first one as the request allows.
    void read(const read_request &inRequest, read_handler inHandler);

    /// Cancels all calls. Appends that were sent may still take effect.
    void cancelAll();

private:
    /// Connections of one kind of call. Reads and appends do not share connections: after an
    /// unresponsive connection was closed, the next call must open a new one instead of reusing an
    /// idle connection that may be unresponsive as well.
    struct channel
    {
        explicit channel(kernel::event_loop &inLoop)
            : client(inLoop)
        { }

        void cancelAll();

        http::client client;
        std::set<http::client::call_id> calls;
    };

    template <typename Handler>
    void call(channel &ioChannel, http::call_request inRequest, Handler inHandler);

    http::address mPlatform;
    channel mReads;
    channel mAppends;
};

static_assert(log_service<log_client>);

} // namespace corneltally::platform
