#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/http1/address.h"

#include <map>
#include <memory>
#include <vector>

namespace corneltally::kernel {
class event_loop;
}

namespace corneltally::http1 {

class client_connection;

/// Pool of idle client connections, grouped by server address.
class connection_pool
{
public:
    struct limits
    {
        /// A connection fails when data or probes stay unacknowledged for this time.
        core::duration dataTimeout = std::chrono::milliseconds(1500);
        /// Maximum number of idle connections per address.
        std::size_t maxIdle = 32;
        /// A server closes a connection at about its announced idle limit. A connection with less
        /// than this time left before the limit is not reused.
        core::duration closeMargin = std::chrono::milliseconds(700);
        /// Idle limit assumed for servers that announce none.
        core::duration defaultIdleLimit = std::chrono::seconds(4);
    };

    connection_pool(kernel::event_loop &inLoop, limits inLimits);
    ~connection_pool();

    /// Returns the most recently used connection if its last input is at most inMaxIdle ago, or a
    /// new one.
    std::unique_ptr<client_connection> take(const address &inTarget, core::duration inMaxIdle);

    /// Opens a new connection.
    std::unique_ptr<client_connection> open(const address &inTarget);

    /// Returns a connection with a complete exchange to the pool if it is reusable.
    void give(std::unique_ptr<client_connection> inConnection);

    /// Closes the idle connections to an address.
    void closeIdleTo(const address &inTarget);

    /// Closes idle connections that can't be reused any more. To be called about once a second.
    void prune();

    /// Number of connections opened so far.
    std::size_t opened() const { return mOpened; }

private:
    bool usable(const client_connection &inConnection, core::duration inMaxIdle) const;

    kernel::event_loop &mLoop;
    limits mLimits;
    std::map<address, std::vector<std::unique_ptr<client_connection>>> mIdle;
    std::size_t mOpened = 0;
};

} // namespace corneltally::http1
