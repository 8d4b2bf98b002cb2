#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/endpoint_table.h"
#include "corneltally/engines/engine_order.h"
#include "corneltally/engines/engine_report.h"
#include "corneltally/routing/service.h"
#include "corneltally/scheduling/adapter_slots.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::orders {

/// Loads of adapters over all engines, as a holder knows them.
struct load_state
{
    /// Adapters on their way to all other engines.
    int arrivingElsewhere = 0;
    /// Loads that the store carries at full speed.
    double fullSpeedLoads = 8;
    /// Whether another adapter may be fetched from the store.
    bool mayFetch = true;

    friend auto operator<=>(const load_state &, const load_state &) = default;
};

/// Constants of the care for one engine.
struct controller_options
{
    /// Time to load an adapter (deployment sheets: 250 ms).
    core::duration adapterLoad = std::chrono::milliseconds(250);
    /// Bound of the slow-down that is assumed. Without it, long estimates would make more loads
    /// count as under way, and so grow further.
    double maxSlowDown = 3;
    /// Part of the load time that an adapter takes which the engine held recently (platform's
    /// pages: a tenth).
    double warmLoad = 0.1;
    /// Adapters that an engine keeps at hand after they were unloaded.
    std::size_t warmAdapters = 40;
    /// Pause before a request may try an adapter again that was expected but is not there.
    core::duration lateLoadDelay = std::chrono::milliseconds(80);
    /// Adapters that may be on their way to one engine at the same time (platform's pages: 4).
    int maxArriving = 4;
    /// An instance's word on the adapters that it runs on counts for this long; heartbeats repeat
    /// it five times a second.
    core::duration maxUseAge = std::chrono::milliseconds(1500);
    /// A version that was named is loaded over an adapter in use only after this time: the engine
    /// takes no other order until the adapter's requests have ended. The operator's bound is 5 s.
    core::duration replacementDelay = std::chrono::milliseconds(2500);
    /// Pause after the engine refused an order because another one is under way.
    core::duration busyDelay = std::chrono::milliseconds(100);
    /// Demand that was not renewed for this long is dropped.
    core::duration maxDemandAge = std::chrono::milliseconds(1500);
    /// Lag of reports (platform's pages: some hundred ms).
    core::duration reportLag = std::chrono::milliseconds(400);
    /// Pause before an order without answer is given again.
    core::duration repeatDelay = std::chrono::milliseconds(20);
    /// Reports are asked for this often, and more often after a surprise.
    core::duration reportPeriod = std::chrono::seconds(2);
    core::duration resyncPeriod = std::chrono::milliseconds(150);
};

/// Adapters and orders of one engine, for the instance that holds it. One order is under way at a
/// time, and each names the number of orders that the engine has accepted, so that an order without
/// answer that is carried out late has no effect once a later one was accepted.
class engine_controller
{
public:
    engine_controller(std::string inEngine, controller_options inOptions);

    /// The engine's entry and profile; a new start forgets all.
    void configure(const engines::endpoint_entry &inEntry, const routing::engine_profile &inProfile,
                   core::time_point inNow);

    /// A request needs an adapter.
    void adapterRequested(const std::string &inModel, const std::string &inAdapter,
                          std::uint64_t inVersion, double inTokens, core::time_point inNow);

    /// A request was sent for an adapter.
    void adapterUsed(const std::string &inKey, core::time_point inNow);

    /// An instance's first request on an adapter began, or its last one ended.
    void setRunning(const std::string &inInstance, const std::string &inKey, bool inRunning,
                    core::time_point inNow);
    /// All adapters that an instance runs on.
    void setRunningAdapters(const std::string &inInstance,
                            std::set<std::string, std::less<>> inKeys, core::time_point inNow);

    /// The engine refused a request because the adapter is not there: its load takes longer than
    /// expected, or the engine lost it. It keeps its place until a report shows which.
    void adapterMissing(const std::string &inKey, core::time_point inNow);

    /// What the other engines have on their way, and whether a load from the store may begin.
    void setLoadState(const load_state &inState) { mLoadState = inState; }

    /// The operator named a version of an adapter: a resident older one has to be replaced.
    void versionNamed(const std::string &inKey, std::uint64_t inVersion, core::time_point inNow);

    /// The next order, if one is due. The caller sends it and reports its outcome.
    std::optional<engines::engine_order> nextOrder(core::time_point inNow);
    void orderEnded(const engines::engine_order &inOrder, engines::order_outcome inOutcome,
                    core::time_point inNow);

    /// Whether a report should be asked for now; reportEnded() follows.
    bool reportDue(core::time_point inNow) const;
    void reportStarted(core::time_point inNow);
    void reportEnded(const std::optional<engines::engine_report> &inReport, core::time_point inNow);

    /// Moves adapters whose load must have ended; to be called often.
    void advance(core::time_point inNow);

    /// Whether orders may be given: the number of accepted orders is known.
    bool inSync() const { return mOrders.has_value() && !mUnresolved; }

    engines::residency adapters() const;
    /// Number of adapters on their way.
    int arriving() const { return static_cast<int>(mArriving.size()); }
    /// All adapters that are there or on their way, also those that take no new requests.
    std::vector<std::string> knownAdapters() const;
    std::vector<std::string> models() const { return mModels; }
    const engines::endpoint_entry &entry() const { return mEntry; }
    /// Changes with each change of adapters() or models().
    std::uint64_t revision() const { return mRevision; }
    /// Adapters that are asked for and not on their way yet.
    int queued() const;

private:
    struct demand
    {
        std::string model;
        std::string adapter;
        std::uint64_t version = 0;
        double tokens = 0;
        core::time_point first;
        core::time_point last;
    };
    struct in_flight_order
    {
        engines::engine_order order;
        bool sent = false;
        /// It was sent before and got no answer.
        bool repeated = false;
        core::time_point notBefore;
    };
    struct instance_use
    {
        std::set<std::string, std::less<>> adapters;
        core::time_point at;
    };
    struct named_version
    {
        std::uint64_t version = 0;
        core::time_point at;
    };

    std::optional<engines::engine_order> adapterOrder(core::time_point inNow);
    std::optional<engines::engine_order> modelOrder(core::time_point inNow);
    std::optional<engines::engine_order> replacementOrder(core::time_point inNow);
    engines::engine_order makeOrder(engines::engine_order::operation inKind,
                                    std::string_view inKey) const;
    void finishOrder(const engines::engine_order &inOrder, bool inDone, core::time_point inNow);
    bool isRunning(const std::string &inKey, core::time_point inNow) const;
    void resolve(const engines::engine_order &inOrder, bool inPresent, core::time_point inNow);
    void recordUnloaded(const std::string &inKey);
    core::duration loadTime(const std::string &inKey) const;
    bool isWarm(const std::string &inKey) const;
    std::uint64_t namedVersion(const std::string &inKey) const;

    std::string mEngine;
    controller_options mOptions;
    engines::endpoint_entry mEntry;
    routing::engine_profile mProfile;
    scheduling::adapter_slots mSlots;
    std::map<std::string, std::uint64_t, std::less<>> mVersions;
    std::map<std::string, engines::arriving_adapter, std::less<>> mArriving;
    std::map<std::string, named_version, std::less<>> mNamed;
    std::map<std::string, demand, std::less<>> mDemand;
    std::map<std::string, core::time_point, std::less<>> mUsed;
    std::map<std::string, instance_use, std::less<>> mRunning;
    std::vector<std::string> mModels;
    /// Adapters that were unloaded, the latest last.
    std::vector<std::string> mWarm;
    load_state mLoadState;
    std::optional<std::uint64_t> mOrders;
    std::optional<in_flight_order> mInFlight;
    /// An order whose effect only a report can show, since it was sent twice.
    std::optional<engines::engine_order> mUnresolved;
    core::time_point mOrderNotBefore;
    bool mReportInFlight = false;
    core::time_point mReportStartedAt;
    core::time_point mNextReport;
    /// When an order last may have changed the engine.
    core::time_point mLastChangeAt;
    std::optional<core::time_point> mModelLoadUntil;
    std::uint64_t mRevision = 1;
};

} // namespace corneltally::orders
