#pragma once

#include "corneltally/core/boot_clock.h"

#include <compare>

namespace corneltally::engines {

/// The best warm or the best cold endpoint for a request.
struct endpoint_option
{
    /// Estimated time to the first event, and the cost that compares endpoints.
    core::duration estimate{};
    double cost = 0;
    /// The request's adapter has to be loaded first.
    bool needsLoad = false;

    friend auto operator<=>(const endpoint_option &, const endpoint_option &) = default;
};

/// Whether a request takes one of the limited permits of a cold endpoint. A request that a warm
/// endpoint serves in time with what it has loaded does not. One whose adapter has to be loaded
/// anyway does if the cold endpoint serves it in time, since the load would displace an adapter at
/// the warm endpoint.
constexpr bool prefersCold(const endpoint_option &inWarm, const endpoint_option &inCold,
                           core::duration inTarget)
{
    if (!inWarm.needsLoad && inWarm.estimate <= inTarget)
        return false;
    if (inWarm.needsLoad && inCold.estimate <= inTarget)
        return true;
    return inCold.cost < inWarm.cost;
}

} // namespace corneltally::engines
