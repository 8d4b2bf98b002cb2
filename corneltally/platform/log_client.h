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
    /// Connections of one kind of call. Reads and appends have their own, so that after a silent
    /// connection was closed the next call opens a new one and does not take up an idle connection
    /// that may have gone silent as well.
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
