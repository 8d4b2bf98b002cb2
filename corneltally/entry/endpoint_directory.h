#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/entry/dispatch_messages.h"
#include "corneltally/scheduling/endpoint_health.h"
#include "corneltally/scheduling/placement.h"
#include "corneltally/scheduling/route_choice.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

namespace corneltally::settings {
class settings_index;
struct endpoint_view;
} // namespace corneltally::settings

namespace corneltally::entry {

/// The state of all endpoints as known to one instance; chooses an endpoint for each run.
class endpoint_directory
{
public:
    using name_set = std::set<std::string, std::less<>>;

    explicit endpoint_directory(std::string inInstance);

    void setSettingsIndex(std::shared_ptr<const settings::settings_index> inSettingsIndex);
    /// Sets the instances that accept runs and those that only finish their running ones.
    void setInstances(name_set inLive, name_set inDraining);
    /// Sets whether messages reach an instance; a live one may be disconnected temporarily.
    void setConnected(const std::string &inInstance, bool inConnected);
    void updateStatus(const endpoint_status &inStatus, core::time_point inNow);

    /// Whether an instance is live or draining and can finish runs.
    bool isPresent(std::string_view inInstance) const;
    /// The last known owner of an endpoint, if it is present and connected.
    std::optional<std::string> ownerOf(std::string_view inEndpoint) const;
    const settings::endpoint_view *find(std::string_view inEndpoint) const;

    /// Chooses an endpoint for a run of an adapter. inExcluded holds the endpoints that refused it.
    std::optional<std::string> chooseModelEndpoint(const run &inRun, const name_set &inExcluded,
                                                   core::time_point inNow, std::uint64_t inRandom);
    /// Chooses an endpoint for a call to an application service.
    std::optional<std::string> chooseServiceEndpoint(const run &inRun, const name_set &inExcluded,
                                                     core::time_point inNow,
                                                     std::uint64_t inRandom);

    void started(const run &inRun, std::string_view inEndpoint, core::time_point inNow);
    void succeeded(const run &inRun, std::string_view inEndpoint, core::duration inLatency,
                   core::time_point inNow);
    void failed(const run &inRun, std::string_view inEndpoint, core::time_point inNow);
    /// Records a run whose end says nothing about the health of the endpoint.
    void abandoned(const run &inRun, std::string_view inEndpoint, core::time_point inNow);

    void prune(core::time_point inNow) { mPlacement.prune(inNow); }
    std::string toJson() const;

private:
    struct entry
    {
        std::optional<endpoint_status> status;
        scheduling::endpoint_health health;
        int outstanding = 0;
        int dispatchedSinceReport = 0;
    };

    void ended(const run &inRun, entry &ioEntry, core::time_point inNow);
    bool isConnected(std::string_view inInstance) const;
    std::string failureDomain() const;

    std::string mInstance;
    std::shared_ptr<const settings::settings_index> mSettingsIndex;
    name_set mLive;
    name_set mDraining;
    name_set mDisconnected;
    std::map<std::string, entry, std::less<>> mEntries;
    scheduling::placement mPlacement;
    scheduling::route_choice mChoice;
};

} // namespace corneltally::entry
