#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/endpoint_book.h"
#include "corneltally/engines/endpoint_choice.h"
#include "corneltally/fleet/fleet_messages.h"
#include "corneltally/http1/connection_pool.h"
#include "corneltally/limits/fleet_allowance.h"
#include "corneltally/limits/fleet_retry_budget.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::core {
class metrics;
}
namespace corneltally::kernel {
class event_loop;
class service_registry;
} // namespace corneltally::kernel
namespace corneltally::routing {
class routing_table;
}

namespace corneltally::forwarding {

/// Constants of forwarding.
struct forward_settings
{
    /// An answer of this instance's own is sent this long before the caller's time is over.
    core::duration answerMargin = std::chrono::milliseconds(25);
    /// Longest idle time of a connection that carries a request which runs at most once. The
    /// younger the last sign of life, the less likely has the connection gone silent.
    core::duration onceIdleLimit = std::chrono::milliseconds(600);
    /// Longest idle time of a connection for requests that may be repeated.
    core::duration repeatableIdleLimit = std::chrono::seconds(3);
    /// A holder has this long to begin a load that was asked for.
    core::duration loadStartTimeout = std::chrono::milliseconds(900);
    /// Pause before a request is sent again to an engine that still loads its adapter.
    core::duration loadRetryPause = std::chrono::milliseconds(50);
    int maxLoadRetries = 3;
    /// Bytes of an answer that may wait at a caller before the endpoint is not read any more.
    std::size_t maxUnsentBytes = 256 * 1024;
    /// Longest answer that is kept until it is whole.
    std::size_t maxBufferedAnswerBytes = 256 * 1024;
    /// Callers that are refused for lack of capacity are told to come back within this range.
    core::duration minRetryAfter = std::chrono::milliseconds(150);
    core::duration retryAfterSpread = std::chrono::milliseconds(350);
    /// Caller connections without a sign of life end after this time.
    core::duration callerTcpTimeout = std::chrono::seconds(8);
    /// A stopping instance takes no request that may need longer than it has left: streams of the
    /// deployment sheets last up to 6 s, plain requests up to half a second.
    core::duration minStreamTime = std::chrono::milliseconds(5000);
    core::duration minPlainTime = std::chrono::milliseconds(1500);
    engines::choice_settings choice;
};

/// State that the requests of one instance share.
struct forward_context
{
    kernel::event_loop &loop;
    kernel::service_registry &registry;
    core::metrics &metrics;
    std::string instance;
    std::string failureDomain;
    forward_settings settings;
    std::shared_ptr<const routing::routing_table> table;
    engines::endpoint_book book;
    http1::connection_pool pool;
    limits::fleet_allowance allowance;
    limits::fleet_retry_budget retries;
    /// Newest versions that the operator named, by "model/adapter".
    std::map<std::string, std::uint64_t, std::less<>> namedVersions;
    /// Adapters that requests were sent for since the last heartbeat.
    std::vector<engines::adapter_digest> adapterUses;
    /// Longest pauses of answers since the last heartbeat.
    std::vector<fleet::answer_pause> pauses;
    /// When this instance ends, if it is stopping.
    std::optional<core::time_point> stopAt;
};

} // namespace corneltally::forwarding
