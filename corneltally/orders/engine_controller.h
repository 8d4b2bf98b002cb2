#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/endpoint_table.h"
#include "corneltally/engines/engine_order.h"
#include "corneltally/engines/engine_report.h"
#include "corneltally/orders/adapter_usage.h"
#include "corneltally/orders/load_slowness.h"
#include "corneltally/orders/unanswered_loads.h"
#include "corneltally/routing/service.h"
#include "corneltally/scheduling/adapter_slots.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::orders {

/// Adapter loads over all engines, as a holder knows them.
struct load_state
{
    /// Adapters that are being loaded to all other engines.
    int arrivingElsewhere = 0;
    /// Number of parallel loads that the weight store serves at full speed.
    double fullSpeedLoads = 8;
    /// Whether another adapter may be fetched from the weight store.
    bool mayFetch = true;
    /// By how much loads are slower than the number in flight lets expect.
    double slowness = 1;

    friend auto operator<=>(const load_state &, const load_state &) = default;
};

/// Options of the control of one engine.
struct controller_options
{
    /// Time to load an adapter from the weight store; engines need 250 ms.
    core::duration adapterLoad = std::chrono::milliseconds(250);
    /// Upper bound of the assumed slow-down of parallel loads. Without it, long estimates would
    /// make more loads count as in flight, and so grow further.
    double maxSlowDown = 3;
    /// Fraction of the load time for a warm adapter; engines need a tenth.
    double warmLoad = 0.1;
    /// Number of unloaded adapters that an engine keeps warm.
    std::size_t warmAdapters = 40;
    /// Delay before requests may use an adapter again that was expected to be resident but is not.
    core::duration lateLoadDelay = std::chrono::milliseconds(80);
    /// A load counts as late if requests are refused for its adapter within this time after the
    /// engine accepted it. After it a missing adapter was lost for another reason.
    core::duration lateLoadLimit = std::chrono::milliseconds(1200);
    /// Adapters that one engine may load at the same time; engines load up to 4.
    int maxArriving = 4;
    /// Delay before a named version replaces an adapter in use: the engine takes no other order
    /// until the adapter's requests have ended. The operator's bound is 5 s.
    core::duration replacementDelay = std::chrono::milliseconds(2500);
    /// Delay after the engine refused an order because another one is in progress.
    core::duration busyDelay = std::chrono::milliseconds(100);
    /// Demand that is not renewed for this long is dropped.
    core::duration maxDemandAge = std::chrono::milliseconds(1500);
    /// Lag of engine reports, which is some hundred milliseconds.
    core::duration reportLag = std::chrono::milliseconds(400);
    /// Delay before an order without answer is sent again.
    core::duration repeatDelay = std::chrono::milliseconds(20);
    /// Reports are requested with this period, or with the shorter one after an unexpected state.
    core::duration reportPeriod = std::chrono::seconds(2);
    core::duration resyncPeriod = std::chrono::milliseconds(150);
};

/// Controls the adapters of one engine, for the instance that holds it. One order is in flight at a
/// time. Each order names the number of orders that the engine has accepted, so that an order
/// without answer that arrives late has no effect once a later one was accepted. An answer that the
/// engine did as ordered may or may not have counted; until that is known, an unanswered load keeps
/// a place.
class engine_controller
{
public:
    engine_controller(std::string inEngine, controller_options inOptions);

    /// Sets the engine's entry and profile; a new start of the engine resets all state.
    void configure(const engines::endpoint_entry &inEntry, const routing::engine_profile &inProfile,
                   core::time_point inNow);

    /// Records that a request needs an adapter.
    void adapterRequested(const std::string &inModel, const std::string &inAdapter,
                          std::uint64_t inVersion, double inTokens, core::time_point inNow);

    /// Records that a request was sent for an adapter.
    void adapterUsed(const std::string &inKey, core::time_point inNow);

    /// Which adapters the requests of all instances run on.
    adapter_usage &usage() { return mUsage; }

    /// The engine refused a request because the adapter is not resident: its load takes longer than
    /// expected, or the engine lost it. The adapter keeps its slot until a report shows which.
    void adapterMissing(const std::string &inKey, core::time_point inNow);

    /// Sets the loads of the other engines, and whether a load from the weight store may begin.
    void setLoadState(const load_state &inState) { mLoadState = inState; }

    /// The operator named a version of an adapter: a resident older one has to be replaced.
    void versionNamed(const std::string &inKey, std::uint64_t inVersion, core::time_point inNow);

    /// The next order, if one is due. The caller sends it and reports its outcome.
    std::optional<engines::engine_order> nextOrder(core::time_point inNow);
    void orderEnded(const engines::engine_order &inOrder, engines::order_outcome inOutcome,
                    core::time_point inNow);

    /// Whether a report should be requested now. The caller then calls reportStarted(), and
    /// reportEnded() with the result.
    bool reportDue(core::time_point inNow) const;
    void reportStarted(core::time_point inNow);
    void reportEnded(const std::optional<engines::engine_report> &inReport, core::time_point inNow);

    /// Makes adapters resident whose load time has passed; to be called often.
    void advance(core::time_point inNow);

    /// Whether the number of accepted orders is known, without which no order can be given.
    bool inSync() const { return mOrders.has_value() && !mUnresolved; }

    /// Loads that were found late or timely since the last call.
    load_outcomes takeLoadOutcomes() { return std::exchange(mLoadOutcomes, {}); }

    engines::residency adapters() const;
    /// Number of adapters that are being loaded.
    int arriving() const { return static_cast<int>(mArriving.size()); }
    /// All resident and arriving adapters, including those that take no new requests.
    std::vector<std::string> knownAdapters() const;
    std::vector<std::string> models() const { return mModels; }
    const engines::endpoint_entry &entry() const { return mEntry; }
    /// Changes with each change of adapters() or models().
    std::uint64_t revision() const { return mRevision; }
    /// Number of requested adapters whose load has not begun.
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
        /// The order was sent before and got no answer.
        bool repeated = false;
        core::time_point notBefore;
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
    void resolve(const engines::engine_order &inOrder, bool inPresent, core::time_point inNow);
    void reservePlaces(core::time_point inNow);
    std::optional<std::string> loadToRepeat() const;
    void recordUnloaded(const std::string &inKey);
    core::duration loadTime(const std::string &inKey) const;
    bool isWarm(const std::string &inKey) const;
    std::uint64_t namedVersion(const std::string &inKey) const;

    std::string mEngine;
    controller_options mOptions;
    engines::endpoint_entry mEntry;
    routing::engine_profile mProfile;
    scheduling::slot_options mSlotOptions;
    scheduling::adapter_slots mSlots;
    /// Adapters without a place of their own whose load may still be carried out.
    std::vector<std::string> mReserved;
    unanswered_loads mUnansweredLoads;
    std::map<std::string, std::uint64_t, std::less<>> mVersions;
    std::map<std::string, engines::arriving_adapter, std::less<>> mArriving;
    std::map<std::string, named_version, std::less<>> mNamed;
    std::map<std::string, demand, std::less<>> mDemand;
    std::map<std::string, core::time_point, std::less<>> mUsed;
    adapter_usage mUsage;
    std::vector<std::string> mModels;
    /// Recently unloaded adapters, the latest last.
    std::vector<std::string> mWarm;
    load_state mLoadState;
    /// Accepted loads from the weight store that were not yet found late or timely, with the times
    /// at which they were accepted.
    std::map<std::string, core::time_point, std::less<>> mOpenLoads;
    load_outcomes mLoadOutcomes;
    std::optional<std::uint64_t> mOrders;
    std::optional<in_flight_order> mInFlight;
    /// An order that was sent twice, so that only a report can show its effect.
    std::optional<engines::engine_order> mUnresolved;
    core::time_point mOrderNotBefore;
    bool mReportInFlight = false;
    core::time_point mReportStartedAt;
    core::time_point mNextReport;
    /// Last time at which an order may have changed the engine.
    core::time_point mLastChangeAt;
    std::optional<core::time_point> mModelLoadUntil;
    std::uint64_t mRevision = 1;
};

} // namespace corneltally::orders
