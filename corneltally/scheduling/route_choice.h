#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>
#include <vector>

namespace corneltally::scheduling {

/// What the dispatching instance knows about an endpoint that could serve a run.
struct route_option
{
    std::string_view name;
    /// The owner of the endpoint is this instance or a live peer.
    bool ownerReachable = false;
    bool accepting = false;
    bool sameDomain = false;
    /// The run's adapter version is resident or being loaded there.
    bool resident = false;
    bool loading = false;
    int running = 0;
    int queued = 0;
    double queuedTokens = 0;
    core::duration estimatedWait{};
    /// Runs that this instance sent there since the endpoint's last report.
    int dispatchedSinceReport = 0;
    /// From endpoint_health: 1 is healthy, 0 excludes the endpoint.
    double healthWeight = 1;
};

/// Constants of the cost estimate.
struct route_settings
{
    /// One way between failure domains is about 1.5 ms; the rest keeps traffic from alternating.
    core::duration spillOverPenalty = std::chrono::milliseconds(5);
    /// A load takes about 0.25 s, and the weight store allows only a few a second in the fleet.
    core::duration loadPenalty = std::chrono::seconds(1);
    /// Rest of a load that was already started.
    core::duration loadingPenalty = std::chrono::milliseconds(250);
    /// Least cost of a run that the last report does not contain.
    core::duration dispatchedCost = std::chrono::milliseconds(2);
    /// Slow-down of a batch by each request that it runs.
    core::duration runningCost = std::chrono::microseconds(500);
};

/// Chooses an endpoint for a run. It keeps no state: time and randomness are inputs.
class route_choice
{
public:
    explicit route_choice(route_settings inSettings = {});

    /// Index of the chosen option, or nothing if no option can take the run. Endpoints with the
    /// adapter resident come first; more homes are used while there are fewer resident copies than
    /// inCopies (see placement). The options are those of the adapter's base model.
    std::optional<std::size_t> choose(std::string_view inAdapter, int inCopies,
                                      std::span<const route_option> inOptions,
                                      std::uint64_t inRandom) const;

    /// Estimated wait with all penalties.
    core::duration cost(const route_option &inOption) const;

private:
    struct candidate
    {
        std::size_t index = 0;
        core::duration cost{};
        double weight = 1;
        /// Resident, loading and cold copies, each in the own and in other failure domains, are
        /// drawn separately, so that a worse group never hides a better one.
        int group = 0;
    };

    std::vector<candidate> candidates(std::string_view inAdapter, int inCopies,
                                      std::span<const route_option> inOptions) const;

    route_settings mSettings;
};

} // namespace corneltally::scheduling
