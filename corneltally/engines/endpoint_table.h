#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/endpoint_entry.h"
#include "corneltally/scheduling/endpoint_health.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::engines {

/// Work that an endpoint has, as far as somebody knows.
struct endpoint_load
{
    int requests = 0;
    /// Prompt tokens of requests without a first event.
    double promptTokens = 0;
    /// Tokens of prompts and answers.
    double memoryTokens = 0;

    friend auto operator<=>(const endpoint_load &, const endpoint_load &) = default;
};

/// Adapter on its way to an engine.
struct arriving_adapter
{
    std::uint64_t version = 0;
    core::time_point readyAt;

    friend auto operator<=>(const arriving_adapter &, const arriving_adapter &) = default;
};

/// Adapters of an engine, by "model/adapter".
struct residency
{
    std::map<std::string, std::uint64_t, std::less<>> resident;
    std::map<std::string, arriving_adapter, std::less<>> arriving;

    friend bool operator==(const residency &, const residency &) = default;
};

/// Name of an adapter together with its base model.
std::string adapterKey(std::string_view inModel, std::string_view inAdapter);

/// Digests that stand for an endpoint and for an adapter on an engine between instances.
using endpoint_digest = std::uint64_t;
using adapter_digest = std::uint64_t;

endpoint_digest digestOf(std::string_view inEndpoint);
adapter_digest digestOf(std::string_view inEndpoint, std::string_view inAdapterKey);

/// What an instance believes of one endpoint.
struct endpoint
{
    endpoint_entry entry;
    endpoint_digest digest = 0;
    /// The entry was removed, or lapsed while the store was away.
    bool removed = false;
    core::time_point removedAt;
    /// Nothing is sent before this time, for example after another endpoint answered.
    core::time_point notBefore;
    scheduling::endpoint_health health = scheduling::endpoint_health();
    endpoint_load own;
    /// Requests of this instance that run, by adapter.
    std::map<std::string, int, std::less<>> ownRunning;
    residency adapters;
    /// Base models that the engine holds.
    std::vector<std::string> models;
    /// Instance that may order loads, empty if none is known.
    std::string holder;
    /// Whether the holder said that it may order now.
    bool holderReady = false;
    core::time_point holderReportAt;
    /// Adapters that wait for a place, as the holder said.
    int queued = 0;
    /// Adapters that this instance has asked for and that are not on their way yet.
    std::map<std::string, int, std::less<>> ownWaiting;
    /// Adapters that the engine held lately and gets back fast, the latest last.
    std::vector<std::string> warm;
    /// Average of the longest pause between the events of an answer during which another prompt
    /// was read; zero before the first one.
    core::duration prefillPause{};
    /// Shared parts of prompts that this instance sent, with the time of the last use.
    std::map<std::string, core::time_point, std::less<>> recentParts;

    bool holdsModel(std::string_view inModel) const;
};

/// Endpoints by id: belief from the platform's list, from the holders of engines, from the other
/// instances and from the outcomes of requests.
class endpoint_table
{
public:
    /// Longest age of another instance's word on the load of an endpoint; heartbeats come five
    /// times a second.
    static constexpr core::duration sMaxLoadAge = std::chrono::milliseconds(1500);
    /// Longest age of a holder's report before the platform's list counts for the adapters again.
    static constexpr core::duration sMaxHolderReportAge = std::chrono::seconds(5);
    /// Entries that lapsed while the store was away come back within this time of its return.
    static constexpr core::duration sReturnTimeout = std::chrono::milliseconds(2500);
    /// Adapters that an engine keeps at hand after they were unloaded.
    static constexpr std::size_t sWarmAdapters = 40;
    /// Pauses from which another prompt was read meanwhile: a step that reads 2,048 tokens takes
    /// 55 ms, and an event holds four to six tokens (deployment sheets).
    static constexpr core::duration sMinPrefillPause = std::chrono::milliseconds(200);
    /// Longer pauses come from something else, for example a preempted answer.
    static constexpr core::duration sMaxPrefillPause = std::chrono::milliseconds(900);
    /// Weight of a new pause in the average.
    static constexpr double sPauseWeight = 0.25;
    /// Knowledge of an endpoint is dropped this long after its entry went away.
    static constexpr core::duration sRemovedRetention = std::chrono::seconds(30);

    /// Adds or changes an endpoint. Returns true if this is a new start of it.
    bool apply(const endpoint_entry &inEntry, core::time_point inNow);

    /// The entry is gone. While the store was away the endpoint counts as present for a while.
    void remove(std::string_view inId, bool inMayReturn, core::time_point inNow);

    /// Entries that are not in a complete list are gone.
    void keepOnly(const std::vector<std::string> &inIds, bool inMayReturn, core::time_point inNow);

    /// The word of an engine's holder; ignored if it speaks of another start.
    void applyHolderReport(std::string_view inId, std::uint64_t inStartedMs,
                           const std::string &inHolder, bool inReady, residency inAdapters,
                           std::vector<std::string> inModels, int inQueued, core::time_point inNow);

    /// The work that another instance has at endpoints, and the adapters that it runs on;
    /// replaces what it said before.
    void applyPeerLoads(const std::string &inInstance,
                        std::map<endpoint_digest, endpoint_load> inLoads,
                        std::set<adapter_digest> inRunning, core::time_point inNow);

    /// An answer of the endpoint had a longest pause, as this or another instance saw it. Short
    /// ones say nothing, since no other prompt was read meanwhile.
    void recordPause(endpoint_digest inEndpoint, core::duration inPause);

    /// How much slower an engine is than the typical one of its service; 1 if that is not known.
    double slowness(const endpoint &inEndpoint) const;

    /// Adapters that an engine with a number of places could take now: free places and adapters
    /// that no request runs on, less those that wait already.
    int openSlots(const endpoint &inEndpoint, int inSlots, core::time_point inNow) const;

    /// Engines of holders that are not among the live instances get no loads until their holder, or
    /// its successor, says again that it may order.
    void keepHolders(const std::set<std::string> &inLive);

    /// Forgets what other instances and holders said, for example after a pause of the process.
    void forgetReports();

    endpoint *find(std::string_view inId);
    const endpoint *find(std::string_view inId) const;

    /// Work at an endpoint over all instances.
    endpoint_load totalLoad(const endpoint &inEndpoint, core::time_point inNow) const;

    /// Whether an endpoint may get new requests.
    bool usable(const endpoint &inEndpoint, core::time_point inNow) const;

    /// Endpoints of a service in the order of their ids.
    std::vector<endpoint *> ofService(std::string_view inService);

    /// Drops what is not needed any more; call about once a second.
    void prune(core::time_point inNow);

    const std::map<std::string, endpoint, std::less<>> &all() const { return mEndpoints; }

private:
    void updateTypicalPauses();

    struct peer_loads
    {
        std::map<endpoint_digest, endpoint_load> loads;
        std::set<adapter_digest> running;
        core::time_point at;
    };

    std::map<std::string, endpoint, std::less<>> mEndpoints;
    std::map<std::string, peer_loads, std::less<>> mPeers;
    /// Median of the engines' reading pauses, by service.
    std::map<std::string, core::duration, std::less<>> mTypicalPauses;
};

} // namespace corneltally::engines
