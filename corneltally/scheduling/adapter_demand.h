#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <string>

namespace corneltally::scheduling {

/// Requests that wait at an endpoint for one adapter version.
struct adapter_demand
{
    std::string adapter;
    int requests = 0;
    double tokens = 0;
    core::time_point oldest;
    std::uint64_t oldestSequence = 0;
    std::uint64_t newestSequence = 0;
    /// Waiting tokens weighted by class and age; the order in which adapters are loaded.
    double urgency = 0;
};

} // namespace corneltally::scheduling
