#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/cold_change.h"
#include "corneltally/engines/cold_state.h"
#include "corneltally/engines/endpoint_condition.h"
#include "corneltally/engines/endpoint_entry.h"
#include "corneltally/engines/endpoint_notice.h"
#include "corneltally/engines/engine_pace.h"
#include "corneltally/engines/estimate_correction.h"
#include "corneltally/engines/recent_parts.h"
#include "corneltally/routing/allowed_domains.h"
#include "corneltally/scheduling/endpoint_health.h"
#include "corneltally/scheduling/service_backlog.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace corneltally::engines {

/// Known load of an endpoint.
struct endpoint_load
{
    int requests = 0;
    /// Prompt tokens of requests that have not returned a first event.
    double promptTokens = 0;
    /// Tokens of prompts and answers in the KV cache.
    double memoryTokens = 0;

    friend auto operator<=>(const endpoint_load &, const endpoint_load &) = default;
};

/// Adapter that is being loaded to an engine.
struct arriving_adapter
{
    std::uint64_t version = 0;
    core::time_point readyAt;

    friend auto operator<=>(const arriving_adapter &, const arriving_adapter &) = default;
};

/// Resident and arriving adapters of an engine, by "model/adapter".
struct residency
{
    std::map<std::string, std::uint64_t, std::less<>> resident;
    std::map<std::string, arriving_adapter, std::less<>> arriving;

    friend bool operator==(const residency &, const residency &) = default;
};

/// Key of an adapter: "model/adapter".
std::string adapterKey(std::string_view inModel, std::string_view inAdapter);

/// Digests that identify an endpoint, and an adapter on an engine, in messages between instances.
using endpoint_digest = std::uint64_t;
using adapter_digest = std::uint64_t;

endpoint_digest digestOf(std::string_view inEndpoint);
/// Digest of one start of an endpoint.
std::uint64_t startDigest(std::string_view inEndpoint, std::uint64_t inStartedMs);
adapter_digest digestOf(std::string_view inEndpoint, std::string_view inAdapterKey);

/// State of one endpoint as this instance knows it.
struct endpoint
{
    endpoint_entry entry;
    endpoint_digest digest = 0;
    /// Digest of this start of the endpoint.
    std::uint64_t startDigest = 0;
    /// What the endpoint's answers say.
    endpoint_condition condition;
    /// The entry was removed, or expired while the store was unavailable.
    bool removed = false;
    core::time_point removedAt;
    /// No request is sent before this time, for example after another endpoint answered.
    core::time_point notBefore;
    scheduling::endpoint_health health = scheduling::endpoint_health();
    endpoint_load own;
    /// Running requests of this instance, by adapter.
    std::map<std::string, int, std::less<>> ownRunning;
    residency adapters;
    /// Digests of the resident adapters, as in messages between instances.
    std::vector<adapter_digest> residentDigests;
    /// Resident base models.
    std::vector<std::string> models;
    /// Instance that holds the engine and may order loads; empty if unknown.
    std::string holder;
    /// Whether the holder last reported that it may give orders.
    bool holderReady = false;
    /// Whether the holder may grant permits. Its authority outlasts a new start of the endpoint.
    bool holderGrants = false;
    core::time_point holderReportAt;
    /// Adapters that wait for a slot, as the holder reported.
    int queued = 0;
    /// Adapters that this instance has requested and whose loads have not begun.
    std::map<std::string, int, std::less<>> ownWaiting;
    /// Recently unloaded adapters, which reload fast; the latest is last.
    std::vector<std::string> warm;
    /// Average over answers of the longest pause between two events while the engine prefilled
    /// another prompt; zero before the first such pause.
    core::duration prefillPause{};
    cold_state cold;
    /// When this start of the endpoint became known, or its entry came back, and when the last
    /// entry was read.
    core::time_point appearedAt;
    core::time_point entryAt;
    /// The holder grants no permit for a request to the cold endpoint before this time.
    core::time_point permitNotBefore;
    /// Whether the log says that the endpoint is cold.
    bool coldReported = false;
    /// How fast this start of the engine works.
    engine_pace pace;

    bool holdsModel(std::string_view inModel) const;
    void setAdapters(residency inAdapters);
};

/// Endpoints by id. Their state comes from the platform's list, the reports of engine holders and
/// other instances, and the outcomes of requests.
class endpoint_table
{
public:
    /// Longest age of another instance's load report; heartbeats are sent five times a second.
    static constexpr core::duration sMaxLoadAge = std::chrono::milliseconds(1500);
    /// Age of a holder's report from which the platform's list determines the adapters again.
    static constexpr core::duration sMaxHolderReportAge = std::chrono::seconds(5);
    /// An entry that expired while the store was unavailable stays usable for this time; entries
    /// come back within it once the store returns.
    static constexpr core::duration sReturnTimeout = std::chrono::milliseconds(2500);
    /// Number of unloaded adapters that an engine keeps warm.
    static constexpr std::size_t sWarmAdapters = 40;
    /// Shortest pause that indicates the prefill of another prompt: an engine step that
    /// prefills 2,048 tokens takes 55 ms, and an event holds four to six tokens.
    static constexpr core::duration sMinPrefillPause = std::chrono::milliseconds(200);
    /// Longer pauses have other causes, for example a preempted answer.
    static constexpr core::duration sMaxPrefillPause = std::chrono::milliseconds(900);
    /// Weight of a new pause in the moving average.
    static constexpr double sPauseWeight = 0.25;
    /// A removed endpoint's state is dropped after this time.
    static constexpr core::duration sRemovedRetention = std::chrono::seconds(30);
    /// The same for an endpoint that said that it leaves: its entry may come back for a while.
    static constexpr core::duration sLeavingRetention = std::chrono::minutes(10);

    /// Adds or updates an endpoint. Returns true if the endpoint is new or has restarted.
    bool apply(const endpoint_entry &inEntry, core::time_point inNow);

    /// Applies what an answer of an endpoint said; ignored if it was another start. Returns whether
    /// the endpoint's condition changed.
    bool applyNotice(std::string_view inId, std::uint64_t inStartedMs,
                     const endpoint_notice &inNotice, core::time_point inNow);

    /// Marks starts of endpoints as leaving, which another instance read in their answers. Returns
    /// the ids of those that were not yet known to leave.
    std::vector<std::string> applyPeerLeaving(const std::set<std::uint64_t> &inStarts,
                                              core::time_point inNow);

    /// Marks an endpoint as removed. With inMayReturn, since the store was unavailable, it stays
    /// usable for sReturnTimeout.
    void remove(std::string_view inId, bool inMayReturn, core::time_point inNow);

    /// Removes the endpoints that are not in a complete list.
    void keepOnly(const std::vector<std::string> &inIds, bool inMayReturn, core::time_point inNow);

    /// Applies a report of an engine's holder; ignored if it is about another start of the engine.
    void applyHolderReport(std::string_view inId, std::uint64_t inStartedMs,
                           const std::string &inHolder, bool inReady, residency inAdapters,
                           std::vector<std::string> inModels, int inQueued, core::time_point inNow);

    /// Replaces another instance's reported load of endpoints and the adapters that its requests
    /// run on.
    void applyPeerLoads(const std::string &inInstance,
                        std::map<endpoint_digest, endpoint_load> inLoads,
                        std::set<adapter_digest> inRunning, core::time_point inNow);

    /// Drops the reports of other instances that are older than sMaxLoadAge. Call before
    /// totalLoad() and openSlots().
    void expirePeerLoads(core::time_point inNow);

    /// Records the longest pause in an answer of the endpoint, as this or another instance measured
    /// it. Pauses outside sMinPrefillPause to sMaxPrefillPause are ignored, since no prefill of
    /// another prompt caused them.
    void recordPause(endpoint_digest inEndpoint, core::duration inPause);

    /// Records the typical interval between the events of an answer of the endpoint, as this or
    /// another instance measured it.
    void recordInterval(endpoint_digest inEndpoint, core::duration inInterval,
                        core::time_point inNow);

    /// Time that the engine takes for its work relative to the typical one of its service; 1 if
    /// unknown.
    double relativeTime(const endpoint &inEndpoint, core::time_point inNow) const;

    /// Correction of the estimated times to the first event, by service.
    /// Shared parts of the prompts that this instance sent; see prefixOn().
    recent_parts &recentParts() { return mRecentParts; }
    const recent_parts &recentParts() const { return mRecentParts; }

    estimate_correction &correctionFor(const std::string &inService)
    {
        return mCorrections[inService];
    }

    /// Ratio of the engine's prefill pause to the median of its service; 1 if unknown.
    double slowness(const endpoint &inEndpoint) const;

    /// Adapters that an engine with inSlots adapter slots could take now: free slots plus resident
    /// adapters that no request runs on, less the adapters that already wait.
    int openSlots(const endpoint &inEndpoint, int inSlots) const;

    /// Stops loads to engines whose holder is not live, until the holder or its successor reports
    /// again that it may give orders.
    void setLiveHolders(const std::set<std::string> &inLive);

    /// Discards the reports of other instances and holders, for example after a process pause.
    void forgetReports();

    /// Begins or ends the evacuation of a failure domain. Its endpoints are not usable meanwhile.
    void setEvacuated(const std::string &inFailureDomain, bool inEvacuated);
    bool isEvacuated(const endpoint &inEndpoint) const
    {
        return mEvacuated.contains(inEndpoint.entry.failureDomain);
    }
    /// Whether a service has endpoints in an evacuated failure domain.
    bool hasEvacuated(std::string_view inService) const;

    endpoint *find(std::string_view inId);
    const endpoint *find(std::string_view inId) const;

    /// Load of an endpoint over all instances.
    endpoint_load totalLoad(const endpoint &inEndpoint) const;

    /// Sums of the loads of a service's usable endpoints over all instances.
    scheduling::service_backlog backlogOf(std::string_view inService, core::time_point inNow) const;

    /// Whether an endpoint may receive new requests.
    bool usable(const endpoint &inEndpoint, core::time_point inNow) const;

    /// Sets how long endpoints are cold, for the services whose cold endpoints need permits.
    void setColdTimes(std::map<std::string, core::duration, std::less<>> inColdTimes);

    /// Whether an endpoint is cold, so that a request to it needs a permit.
    bool isCold(const endpoint &inEndpoint, core::time_point inNow) const;

    /// Whether a permit for a cold endpoint may be asked for.
    static bool mayAskPermit(const endpoint &inEndpoint, core::time_point inNow);

    /// Applies a remaining cold time from an answer to a request that was sent at inSentAt.
    void applyColdAnswer(std::string_view inId, std::uint64_t inStartedMs,
                         core::duration inColdLeft, core::time_point inSentAt,
                         core::time_point inNow);

    /// An exchange with an endpoint failed such that it may have started again.
    void expectColdAfterLoss(std::string_view inId, std::uint64_t inStartedMs,
                             core::time_point inNow);

    /// Marks all endpoints of a failure domain as possibly cold, since they were not observed.
    void expectCold(std::string_view inFailureDomain, core::time_point inNow);

    /// Applies another instance's ownColdReports(), by digests of starts.
    void applyPeerCold(const std::map<std::uint64_t, core::duration> &inStarts,
                       core::time_point inNow);

    /// Remaining cold times that only this instance may know: from its exchanges with endpoints.
    std::map<std::uint64_t, core::duration> ownColdReports(core::time_point inNow) const;

    /// Asks no permits of a holder before inUntil.
    void deferPermits(std::string_view inHolder, core::time_point inUntil);

    /// First and last time at which permits may be asked for again that are denied now, for the
    /// usable cold endpoints of a service; nothing if there are none.
    std::optional<std::pair<core::time_point, core::time_point>>
    permitTimes(std::string_view inService, const std::set<std::string> &inExcluded,
                const routing::allowed_domains &inDomains, core::time_point inNow) const;

    /// Endpoints that became cold or warm since the last call.
    std::vector<cold_change> takeColdChanges(core::time_point inNow);

    /// First and last end of the pauses that the endpoints of a service in the given failure
    /// domains asked for, if there are endpoints that stay and all of them are paused.
    std::optional<std::pair<core::time_point, core::time_point>>
    pauseEnds(std::string_view inService, core::time_point inNow,
              const routing::allowed_domains &inDomains = {}) const;

    /// Endpoints whose pauses have ended since the last call, with the lengths of the pauses.
    std::vector<std::pair<std::string, core::duration>> takeEndedPauses(core::time_point inNow);

    /// Endpoints of a service in the order of their ids, without those in evacuated failure
    /// domains.
    std::vector<endpoint *> ofService(std::string_view inService);

    /// Drops old state and updates the median pauses; call about once a second.
    void prune(core::time_point inNow);

    const std::map<std::string, endpoint, std::less<>> &all() const { return mEndpoints; }

private:
    struct peer_loads
    {
        std::map<endpoint_digest, endpoint_load> loads;
        std::set<adapter_digest> running;
        core::time_point at;
        /// Sum over the loads.
        double promptTokens = 0;
    };

    void updateTypicalPauses();
    std::optional<core::duration> coldTimeOf(const endpoint &inEndpoint) const;
    void applyColdEntry(endpoint &ioEndpoint, bool inMayHaveStarted, core::time_point inNow) const;
    void updateTypicalIntervals(core::time_point inNow);
    void addPeer(const peer_loads &inPeer);
    void subtractPeer(const peer_loads &inPeer);

    std::map<std::string, endpoint, std::less<>> mEndpoints;
    /// Evacuated failure domains.
    std::set<std::string, std::less<>> mEvacuated;
    std::unordered_map<endpoint_digest, endpoint *> mByDigest;
    std::map<std::string, peer_loads, std::less<>> mPeers;
    /// Sums over mPeers, so that the cost of a choice does not grow with the instances.
    std::unordered_map<endpoint_digest, endpoint_load> mPeerLoads;
    std::unordered_map<adapter_digest, int> mPeerRunning;
    /// No report in mPeers is older than sMaxLoadAge before this time.
    core::time_point mNextExpiry;
    std::map<std::string, estimate_correction, std::less<>> mCorrections;
    recent_parts mRecentParts;
    /// Median of the engines' prefill pauses, by service.
    std::map<std::string, core::duration, std::less<>> mTypicalPauses;
    /// Cold times by service.
    std::map<std::string, core::duration, std::less<>> mColdTimes;
    /// Whether the last takeColdChanges() left an endpoint reported as cold.
    bool mColdReported = false;
    /// Median of the engines' intervals between events, by service.
    std::map<std::string, core::duration, std::less<>> mTypicalIntervals;
};

} // namespace corneltally::engines
