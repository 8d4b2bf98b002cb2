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

/// Constants of load and unload decisions.
struct slot_options
{
    /// Adapters that can be resident at the same time.
    int slots = 4;
    /// An adapter stays at least this long, which bounds loads under shifting demand.
    core::duration minimumStay = std::chrono::milliseconds(250);
    core::duration popularityHalfLife = std::chrono::seconds(60);
    /// Wait after a failed load, doubled with each further failure of the same adapter.
    core::duration firstBackoff = std::chrono::milliseconds(500);
    core::duration maxBackoff = std::chrono::seconds(30);
    /// Waiting requests protect a resident adapter, but once a request has waited this long for a
    /// slot, only those that come before it in the order of the queue do. Without this bound, an
    /// adapter with a steady queue keeps its slot for ever.
    core::duration retireAfter = std::chrono::seconds(1);
};

/// Load or unload command that should be sent to an endpoint.
struct slot_decision
{
    enum class action { none, load, unload };
    action kind = action::none;
    std::string adapter;
    /// The adapter that needs the slot: the one to load now or after the unload.
    std::string adapterToLoad;

    friend auto operator<=>(const slot_decision &, const slot_decision &) = default;
};

/// Which adapters are resident on an endpoint, and which to load and unload.
class adapter_slots
{
public:
    enum class state { absent, loading, resident, unloading };

    explicit adapter_slots(slot_options inOptions = {});

    void configure(slot_options inOptions) { mOptions = inOptions; }

    /// A request for an adapter arrived.
    void adapterRequested(std::string_view inAdapter, double inTokens, core::time_point inNow);

    /// Results of commands.
    void loadStarted(std::string_view inAdapter, core::time_point inNow);
    void loadEnded(std::string_view inAdapter, bool inLoaded, core::time_point inNow);
    void unloadStarted(std::string_view inAdapter);
    void unloadEnded(std::string_view inAdapter, bool inUnloaded, core::time_point inNow);

    /// The endpoint reported its adapters as they were at inDescribed, which lags. Entries with a
    /// command under way or changed later than that are kept.
    void adaptersReported(std::span<const std::string> inResident,
                          std::span<const std::string> inLoading, core::time_point inDescribed,
                          core::time_point inNow);

    /// The endpoint refused a run because the adapter is not resident.
    void adapterMissing(std::string_view inAdapter, core::time_point inNow);

    /// Forgets everything but popularity, before a first report.
    void clear();

    state stateOf(std::string_view inAdapter) const;
    std::vector<std::string> adaptersIn(state inState) const;
    std::size_t occupied() const { return mResident.size(); }

    /// Whether a request may start: its adapter is resident and not being retired.
    bool mayStart(std::string_view inAdapter) const;

    /// Whether the waiting requests of a resident adapter wait for its next load.
    bool isRetiring(std::string_view inAdapter) const;

    /// Next command. inDemand are the waiting requests, the most urgent first; inInUse tells
    /// whether an adapter has a run or might have one. At most one load or unload is proposed.
    slot_decision decide(std::span<const adapter_demand> inDemand,
                         const std::function<bool(const std::string &)> &inInUse,
                         core::time_point inNow);

    /// Decayed tokens requested.
    double popularity(std::string_view inAdapter, core::time_point inNow) const;

    /// Drops popularity and failures of adapters that were not requested for long.
    void prune(core::time_point inNow);

private:
    struct resident_state
    {
        state current = state::resident;
        core::time_point since;
        /// This instance sent a command whose result is outstanding.
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
    /// Adapters that went away after the moment that the last report described.
    std::map<std::string, core::time_point, std::less<>> mRemoved;
    std::unordered_map<std::string, history> mHistory;
};

} // namespace corneltally::scheduling
