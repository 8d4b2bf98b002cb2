#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/endpoint_choice.h"
#include "corneltally/engines/endpoint_table.h"
#include "corneltally/fleet/fleet_messages.h"
#include "corneltally/forwarding/overload_control.h"
#include "corneltally/forwarding/permit_requests.h"
#include "corneltally/http1/connection_pool.h"
#include "corneltally/limits/fleet_allowance.h"
#include "corneltally/limits/fleet_retry_budget.h"
#include "corneltally/quarantine/part_quarantine.h"
#include "corneltally/routing/region_restriction.h"

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

/// Limits and timeouts of forwarding.
struct forward_settings
{
    /// The instance sends its own answer this long before the caller's deadline.
    core::duration answerMargin = std::chrono::milliseconds(25);
    /// Maximum idle time of a pooled connection that is reused for a request that runs at most
    /// once. The more recently data was received, the less likely is the connection dead.
    core::duration onceIdleLimit = std::chrono::milliseconds(600);
    /// Maximum idle time of a pooled connection that is reused for a repeatable request.
    core::duration repeatableIdleLimit = std::chrono::seconds(3);
    /// Time for the holder of an engine to start a requested load.
    core::duration loadStartTimeout = std::chrono::milliseconds(900);
    /// Delay before a request is sent again to an engine on which its adapter is being loaded.
    core::duration loadRetryPause = std::chrono::milliseconds(50);
    int maxLoadRetries = 3;
    /// Reading from the endpoint stops while more answer bytes than this are unsent to the caller.
    std::size_t maxUnsentBytes = 256 * 1024;
    /// Maximum size of an answer that is buffered until it is complete, and of one event of a
    /// stream. A longer one is broken off.
    std::size_t maxBufferedAnswerBytes = 1024 * 1024;
    /// Callers that are refused for lack of capacity are told to retry after a time between the
    /// minimum and the minimum plus the spread.
    core::duration minRetryAfter = std::chrono::milliseconds(150);
    core::duration retryAfterSpread = std::chrono::milliseconds(350);
    /// A caller connection is closed if its peer's TCP is silent for this long.
    core::duration callerTcpTimeout = std::chrono::seconds(8);
    /// A stopping instance refuses streams if it has less time left. Typical streams take up to
    /// 6 s.
    core::duration minStreamTime = std::chrono::milliseconds(5000);
    /// Whether cold endpoints receive requests only with permits.
    bool limitsCold = false;
    engines::choice_options choice;
};

/// State shared by all requests of an instance.
struct forward_context
{
    kernel::event_loop &loop;
    kernel::service_registry &registry;
    core::metrics &metrics;
    std::string instance;
    std::string failureDomain;
    forward_settings settings;
    std::shared_ptr<const routing::routing_table> table;
    engines::endpoint_table endpoints;
    http1::connection_pool pool;
    limits::fleet_allowance allowance;
    limits::fleet_retry_budget retries;
    quarantine::part_quarantine quarantine;
    /// Newest adapter versions named by the operator, by "model/adapter".
    std::map<std::string, std::uint64_t, std::less<>> namedVersions;
    /// Adapters used by the requests sent since the last heartbeat.
    std::vector<engines::adapter_digest> adapterUses;
    /// Longest pause of each answer that ended since the last heartbeat.
    std::vector<fleet::answer_pause> pauses;
    permit_requests permits;
    /// Typical interval between the events of each such answer.
    std::vector<fleet::answer_interval> intervals;
    /// When the requests of this instance are ended; set while it is stopping.
    std::optional<core::time_point> stopAt;
    /// Region of each failure domain, from the settings.
    routing::domain_regions regions = {};
    /// Whether requests wait before they are sent, see front_options::confirmsEvacuations.
    bool sendsHeld = false;
    overload_control overload = overload_control();
};

} // namespace corneltally::forwarding
