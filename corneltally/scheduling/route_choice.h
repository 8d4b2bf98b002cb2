#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace corneltally::scheduling {

/// State of an endpoint that could serve a run, as known to the dispatching instance.
struct route_option
{
    std::string_view name;
    /// True if the owner of the endpoint is this instance or a live peer.
    bool ownerReachable = false;
    bool accepting = false;
    bool sameDomain = false;
    /// True if the adapter version of the run is resident, or is being loaded.
    bool resident = false;
    bool loading = false;
    int running = 0;
    int queued = 0;
    double queuedTokens = 0;
    core::duration estimatedWait{};
    /// Runs that this instance dispatched to the endpoint since its last report.
    int dispatchedSinceReport = 0;
    /// Weight from endpoint_health: 1 is healthy, 0 excludes the endpoint.
    double healthWeight = 1;
};

/// Constants of the cost estimate of a route.
struct route_settings
{
    /// Penalty of another failure domain. The one-way latency between domains is about 1.5 ms; the
    /// rest is hysteresis that keeps traffic from alternating.
    core::duration spillOverPenalty = std::chrono::milliseconds(5);
    /// Penalty of an adapter that must be loaded. A load takes about 0.25 s, and the weight store
    /// allows the whole fleet only a few loads per second.
    core::duration loadPenalty = std::chrono::seconds(1);
    /// Penalty of an adapter that is being loaded.
    core::duration loadingPenalty = std::chrono::milliseconds(250);
    /// Minimum cost of each run dispatched since the last report.
    core::duration dispatchedCost = std::chrono::milliseconds(2);
    /// Cost of each running request, which slows the batch down.
    core::duration runningCost = std::chrono::microseconds(500);
};

/// Chooses an endpoint for a run. Stateless and deterministic: randomness is an input.
class route_choice
{
public:
    explicit route_choice(route_settings inSettings = {});

    /// Returns the index of the chosen option, or no value if no option can take the run. inOptions
    /// are the endpoints of the adapter's base model. Endpoints where the adapter is resident or
    /// being loaded are candidates. If these are fewer than inCopies (see placement), the next
    /// endpoints in rendezvous order (the homes of the adapter) are candidates too.
    std::optional<std::size_t> choose(std::string_view inAdapter, int inCopies,
                                      std::span<const route_option> inOptions,
                                      std::uint64_t inRandom) const;

    /// Estimated wait plus all penalties, divided by the health weight.
    core::duration cost(const route_option &inOption) const;

private:
    struct candidate
    {
        std::size_t index = 0;
        core::duration cost{};
        double weight = 1;
        /// Resident, loading and absent adapters, each in the own and in other failure domains,
        /// form six groups. Candidates are drawn within each group, so that many candidates of a
        /// worse group cannot displace a better one.
        int group = 0;
    };

    std::vector<candidate> candidates(std::string_view inAdapter, int inCopies,
                                      std::span<const route_option> inOptions) const;

    route_settings mSettings;
};

} // namespace corneltally::scheduling
