#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/entry/run_event.h"

#include <cstdint>
#include <functional>
#include <string>

namespace corneltally::entry {

/// Parameters of owned_endpoint.
struct owned_endpoint_options
{
    std::string instance;
    std::uint64_t incarnation = 0;
    core::duration pollPeriod = std::chrono::milliseconds(250);
    /// Upper bound for the remaining time of an earlier owner's runs; raised by longer requests.
    core::duration longestRequest = std::chrono::seconds(60);
    core::duration leaseLength = std::chrono::seconds(10);
    std::uint64_t firstLeaseSequence = 1;
    /// Treats adapters whose use is unknown as unused; only for tests.
    bool ignoreUnknownUse = false;
};

/// Callbacks of owned_endpoint into its process. All are called from the event loop.
struct owned_endpoint_hooks
{
    std::function<core::time_point()> now;
    std::function<void(const std::string &inOrigin, run_event inEvent)> sendEvent;
    std::function<double(const std::string &inAccount)> accountWeight;
    /// Requests a unit of the fleet's load rate; answered by owned_endpoint::loadAdmitted().
    std::function<void(const std::string &inAdapter, const std::string &inVersion)> admitLoad;
    /// Returns a granted unit.
    std::function<void(const std::string &inAdapter, const std::string &inVersion)> loadDone;
};

} // namespace corneltally::entry
