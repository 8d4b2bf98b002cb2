#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/entry/run_event.h"

#include <cstdint>
#include <functional>
#include <string>

namespace corneltally::entry {

/// What the owner of an endpoint needs to know about its instance.
struct owned_endpoint_options
{
    std::string instance;
    std::uint64_t incarnation = 0;
    core::duration pollPeriod = std::chrono::milliseconds(250);
    /// Longest time that a run of an earlier owner may go on; longer requests extend it.
    core::duration longestRequest = std::chrono::seconds(60);
    core::duration leaseLength = std::chrono::seconds(10);
    std::uint64_t firstLeaseSequence = 1;
    /// Takes adapters whose use is not known for unused; only for tests.
    bool ignoreUnknownUse = false;
};

/// What the owner of an endpoint uses of its process. All are called from the loop.
struct owned_endpoint_hooks
{
    std::function<core::time_point()> now;
    std::function<void(const std::string &inOrigin, run_event inEvent)> sendEvent;
    std::function<double(const std::string &inAccount)> accountWeight;
    /// Asks for a unit of the fleet's load rate; answered by owned_endpoint::loadAdmitted().
    std::function<void(const std::string &inAdapter, const std::string &inVersion)> admitLoad;
    /// Gives a granted unit back.
    std::function<void(const std::string &inAdapter, const std::string &inVersion)> loadDone;
};

} // namespace corneltally::entry
