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

/// Idle connections to servers, by address.
class connection_pool
{
public:
    struct limits
    {
        /// Unacknowledged data and unanswered probes end a connection after this time.
        core::duration dataTimeout = std::chrono::milliseconds(1500);
        /// Idle connections that are kept for one address.
        std::size_t maxIdle = 32;
        /// A server that states an idle limit closes at about that time; connections are not used
        /// when less than this is left of it.
        core::duration closeMargin = std::chrono::milliseconds(700);
        /// Used where a server states no idle limit.
        core::duration defaultIdleLimit = std::chrono::seconds(4);
    };

    connection_pool(kernel::event_loop &inLoop, limits inLimits);
    ~connection_pool();

    /// The connection used last, if its last sign of life is young enough, or a new one.
    std::unique_ptr<client_connection> take(const address &inTarget, core::duration inMaxIdle);

    /// Keeps a connection whose exchange is complete, if it can be used again.
    void give(std::unique_ptr<client_connection> inConnection);

    /// Closes the idle connections of an address.
    void closeIdleTo(const address &inTarget);

    /// Closes idle connections that have become useless; call about once a second.
    void prune();

    /// Connections opened so far.
    std::size_t opened() const { return mOpened; }

private:
    bool usable(const client_connection &inConnection, core::duration inMaxIdle) const;

    kernel::event_loop &mLoop;
    limits mLimits;
    std::map<address, std::vector<std::unique_ptr<client_connection>>> mIdle;
    std::size_t mOpened = 0;
};

} // namespace corneltally::http1
