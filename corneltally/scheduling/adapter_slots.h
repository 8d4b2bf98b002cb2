#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/scheduling/adapter_demand.h"

#include <functional>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace corneltally::scheduling {

/// Options of adapter_slots for load and unload decisions.
struct slot_options
{
    /// Adapters that can be resident at the same time.
    int slots = 4;
    /// Minimum time that an adapter stays resident. Limits the load rate when demand shifts.
    core::duration minimumStay = std::chrono::milliseconds(250);
    /// Half-life of the popularity of an adapter.
    core::duration popularityHalfLife = std::chrono::seconds(60);
    /// Delay before a failed load is retried, doubled with each further failure of the adapter.
    core::duration firstBackoff = std::chrono::milliseconds(500);
    core::duration maxBackoff = std::chrono::seconds(30);
    /// Queued requests protect their resident adapter from being unloaded. Once a request has
    /// waited this long for a slot, only requests ahead of it in queue order protect theirs.
    /// Without this limit, an adapter with a steady queue would never be unloaded.
    core::duration retireAfter = std::chrono::seconds(1);
};

/// Next load or unload command to send to an endpoint.
struct slot_decision
{
    enum class action { none, load, unload };
    action kind = action::none;
    std::string adapter;
    /// Adapter that needs the slot, to be loaded now or after the unload.
    std::string adapterToLoad;

    friend auto operator<=>(const slot_decision &, const slot_decision &) = default;
};

/// Tracks the adapters that are resident on an endpoint and decides which to load and unload.
class adapter_slots
{
public:
    enum class state { absent, loading, resident, unloading };

    explicit adapter_slots(slot_options inOptions = {});

    void configure(slot_options inOptions) { mOptions = inOptions; }

    /// Records a new request for an adapter, which raises its popularity.
    void adapterRequested(std::string_view inAdapter, double inTokens, core::time_point inNow);

    /// Record the start and the result of load and unload commands.
    void loadStarted(std::string_view inAdapter, core::time_point inNow);
    void loadEnded(std::string_view inAdapter, bool inLoaded, core::time_point inNow);
    void unloadStarted(std::string_view inAdapter);
    void unloadEnded(std::string_view inAdapter, bool inUnloaded, core::time_point inNow);

    /// Applies a report of the endpoint that describes its adapters at inDescribed, some time
    /// before now. Entries with a command in flight or changed after inDescribed are kept.
    void adaptersReported(std::span<const std::string> inResident,
                          std::span<const std::string> inLoading, core::time_point inDescribed,
                          core::time_point inNow);

    /// Handles a run that the endpoint refused because the adapter is not resident.
    void adapterMissing(std::string_view inAdapter, core::time_point inNow);

    /// Clears all adapter states before the first report of an endpoint; load history is kept.
    void clear();

    state stateOf(std::string_view inAdapter) const;
    std::vector<std::string> adaptersIn(state inState) const;
    std::size_t occupied() const { return mResident.size(); }

    /// True if the adapter is resident and not being retired, so that its requests may start.
    bool mayStart(std::string_view inAdapter) const;

    /// True if a resident adapter starts no more requests, so that it can be unloaded when its
    /// runs have ended. Its queued requests wait until it is loaded again.
    bool isRetiring(std::string_view inAdapter) const;

    /// Returns the next command, at most one load or unload. inDemand summarizes the queued
    /// requests by adapter, most urgent first. inInUse returns true for an adapter that has or
    /// might have a run.
    slot_decision decide(std::span<const adapter_demand> inDemand,
                         const std::function<bool(const std::string &)> &inInUse,
                         core::time_point inNow);

    /// Requested tokens of an adapter, decayed over time.
    double popularity(std::string_view inAdapter, core::time_point inNow) const;

    /// Drops the history of adapters whose popularity has decayed and that are not in back-off.
    void prune(core::time_point inNow);

private:
    struct resident_state
    {
        state current = state::resident;
        core::time_point since;
        /// A command of this instance is in flight.
        bool commandPending = false;
        bool retiring = false;
    };
    struct history
    {
        double popularity = 0;
        core::time_point updated;
        int failures = 0;
        core::time_point retryAt;
    };

    const adapter_demand *mostUrgentMissing(std::span<const adapter_demand> inDemand,
                                            core::time_point inNow) const;
    void retireOne(std::span<const adapter_demand> inDemand, const adapter_demand &inWaiting,
                   core::time_point inNow);
    void endRetirement();

    slot_options mOptions;
    std::map<std::string, resident_state, std::less<>> mResident;
    /// Adapters removed since the moment that the last report describes, with the time of removal.
    std::map<std::string, core::time_point, std::less<>> mRemoved;
    std::unordered_map<std::string, history> mHistory;
};

} // namespace corneltally::scheduling
