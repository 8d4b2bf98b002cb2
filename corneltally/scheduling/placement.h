#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <unordered_map>

namespace corneltally::scheduling {

/// Options of placement.
struct placement_options
{
    /// Concurrent runs of an adapter that one copy serves.
    double copyDemand = 4;
    /// Half-life of the demand average.
    core::duration halfLife = std::chrono::seconds(10);
    /// The last copy is dropped when the demand falls below the capacity of the remaining copies
    /// divided by this factor.
    double hysteresis = 2;
};

/// Determines how many copies of each adapter should be resident, from the runs of this instance.
class placement
{
public:
    explicit placement(placement_options inOptions = {});

    /// Record the start and the end of a run of this instance.
    void started(std::string_view inAdapter, core::time_point inNow);
    void ended(std::string_view inAdapter, core::time_point inNow);

    /// Returns the number of copies for an adapter, at least 1. inShare is the share of the fleet's
    /// requests that this instance handles, for example 1 / number of live instances.
    int copies(std::string_view inAdapter, double inShare, core::time_point inNow);

    /// Moving average of the concurrent runs of an adapter on this instance.
    double demand(std::string_view inAdapter, core::time_point inNow) const;

    /// Drops adapters without runs whose demand has decayed. To be called every few seconds.
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
