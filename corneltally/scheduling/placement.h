#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace corneltally::scheduling {

/// Constants of the number of copies.
struct placement_options
{
    /// Concurrent requests of an adapter that one copy serves.
    double copyDemand = 4;
    /// Half-life of the demand average.
    core::duration halfLife = std::chrono::seconds(10);
    /// A copy is given up when the demand falls below the rest's capacity divided by this.
    double hysteresis = 2;
};

/// Number of copies of each adapter that should be resident, from the demand seen by this instance.
class placement
{
public:
    explicit placement(placement_options inOptions = {});

    /// A run of an adapter was started or ended by this instance.
    void started(std::string_view inAdapter, core::time_point inNow);
    void ended(std::string_view inAdapter, core::time_point inNow);

    /// Copies for the adapter; at least 1. inShare is the part of the fleet's requests that this
    /// instance sees, for example 1 / number of live instances.
    int copies(std::string_view inAdapter, double inShare, core::time_point inNow);

    /// Decayed number of concurrent runs on this instance.
    double demand(std::string_view inAdapter, core::time_point inNow) const;

    /// Forgets adapters without runs whose demand has decayed; call every few seconds.
    void prune(core::time_point inNow);

    std::size_t adapterCount() const { return mAdapters.size(); }

private:
    struct adapter_state
    {
        int running = 0;
        double average = 0;
        int copies = 1;
        core::time_point updated;
    };

    double decayed(const adapter_state &inState, core::time_point inNow) const;
    adapter_state &advance(std::string_view inAdapter, core::time_point inNow);

    placement_options mOptions;
    std::unordered_map<std::string, adapter_state> mAdapters;
};

} // namespace corneltally::scheduling
