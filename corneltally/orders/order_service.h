#pragma once

#include "corneltally/catalog/catalog_messages.h"
#include "corneltally/catalog/evacuation_messages.h"
#include "corneltally/engines/endpoint_condition.h"
#include "corneltally/fleet/holder_claims.h"
#include "corneltally/fleet/mesh_messages.h"
#include "corneltally/http1/fetcher.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/orders/cold_permits.h"
#include "corneltally/orders/engine_controller.h"
#include "corneltally/orders/order_messages.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::core {
class metrics;
}
namespace corneltally::kernel {
class service_registry;
}

namespace corneltally::orders {

struct order_options
{
    /// This instance; the fence is set with each claim.
    fleet::claim self;
    std::string failureDomain;
    fleet::claim_options claims;
    controller_options controller;
    /// Whether the time of loads is learned from those that turn out to be late.
    bool learnsLoadTime = false;
    /// Requests that a cold endpoint may receive in a second: a multiple of what it sustains, and
    /// additional ones. Without the factor no permits are needed.
    double coldOver = 0;
    double coldSlack = 0;
    /// Whether no order is given after a process pause until the operator records were read again,
    /// since a failure domain may have been evacuated meanwhile.
    bool confirmsEvacuations = false;
};

/// Claims engines, gives orders to the engines that this instance holds, and reports their adapters
/// to the other instances.
class order_service final : public kernel::service
{
public:
    static constexpr std::string_view cName = "orders";
    /// Sender of the requests for loads that come from this instance.
    static constexpr std::string_view cLocal = "self";

    order_service(kernel::service_registry &ioRegistry, core::metrics &ioMetrics,
                  order_options inOptions);

    std::string_view name() const override { return cName; }
    void start() override;

    /// Call after a process pause: no order may rest on claims that were read before it.
    void processPaused();

private:
    struct held_engine
    {
        engine_controller controller;
        std::optional<fleet::engine_state> published;
        core::time_point publishedAt;
    };

    /// What the answers of one start of an engine said.
    struct noted_condition
    {
        std::uint64_t startedMs = 0;
        engines::endpoint_condition condition;
        core::time_point notedAt;
    };

    void evacuationChanged(const catalog::evacuation_changed &inChanged);
    bool isEvacuated(const held_engine &inHeld) const;
    bool awaitsConfirmation(core::time_point inNow) const;
    void declineLoad(const fleet::load_wanted &inWanted, const std::string &inFrom);
    void topicUpdated(const catalog::fleet_topic_updated &inUpdate);
    void endpointChanged(const engines::endpoint_entry &inEntry);
    void endpointRemoved(const std::string &inId);
    void updatePollWait(core::time_point inNow);
    core::duration claimDelay() const;
    void claimEngines(core::time_point inNow);
    void loadRequested(const fleet::load_wanted &inWanted, std::string_view inFrom);
    void adapterMissing(const fleet::adapter_missing &inMissing);
    void adapterRunning(const std::string &inInstance, const fleet::adapter_running &inChange);
    void summaryReceived(const fleet::domain_summary &inSummary);
    void adaptersUsed(const std::string &inInstance,
                      const std::vector<engines::adapter_digest> &inSent,
                      const std::vector<engines::adapter_digest> &inRunning);
    using adapter_keys = std::set<std::string, std::less<>>;
    void applyUses(const std::vector<engines::adapter_digest> &inSent,
                   const std::vector<engines::adapter_digest> &inRunning,
                   const std::function<void(adapter_usage &, const adapter_keys &)> &inReplace);
    void versionNamed(const catalog::adapter_version_named &inNamed);
    void configureEngine(const std::string &inEngine);
    void tick();
    load_state loadStateOf(const std::string &inEngine, core::time_point inNow) const;
    int arrivingElsewhere(const std::string &inEngine, core::time_point inNow) const;
    void advanceEngine(const std::string &inEngine, held_engine &ioHeld, core::time_point inNow);
    void sendOrder(const std::string &inEngine, const engines::engine_order &inOrder);
    void orderEnded(const std::string &inEngine, const engines::engine_order &inOrder,
                    engines::order_outcome inOutcome, core::time_point inSentAt);
    void requestReport(const std::string &inEngine, held_engine &ioHeld, core::time_point inNow);
    void publish(const std::string &inEngine, held_engine &ioHeld, core::time_point inNow);
    void answerReceived(const std::string &inEngine, std::uint64_t inStartedMs,
                        core::time_point inSentAt, const http1::fetch_result &inResult);
    void reportCold(const std::string &inEngine, std::uint64_t inStartedMs,
                    core::time_point inSentAt, const http1::fetch_result &inResult);
    void endpointNoticed(const engines::endpoint_noticed &inNoticed);
    const engines::endpoint_condition *conditionOf(const std::string &inEngine,
                                                   std::uint64_t inStartedMs) const;
    bool takesOrders(const std::string &inEngine, const held_engine &inHeld,
                     core::time_point inNow) const;
    std::vector<fleet::fleet_node> knownEngines() const;
    fleet::permit_reply permitRequested(const fleet::permit_wanted &inWanted,
                                        const std::string &inFrom);
    void advancePermits(core::time_point inNow);
    const routing::service *coldServiceOf(const std::string &inEndpoint) const;
    cold_permits::authority authorityOver(const std::string &inEndpoint,
                                          core::time_point inNow) const;
    const routing::engine_profile *profileOf(const engines::endpoint_entry &inEntry) const;

    kernel::service_registry &mRegistry;
    core::metrics &mMetrics;
    order_options mOptions;
    http1::fetcher mFetcher;
    kernel::timer mTimer;
    fleet::holder_claims mClaims;
    std::shared_ptr<const routing::routing_table> mTable;
    std::map<std::string, engines::endpoint_entry> mEntries;
    std::map<std::string, held_engine> mHeld;
    /// Endpoints that this instance holds whose service limits requests to cold ones.
    std::set<std::string> mHeldCold;
    cold_permits mPermits;
    /// States of plain endpoints that this instance holds, and when they were sent.
    std::map<std::string, std::pair<fleet::engine_state, core::time_point>> mPlainStates;
    /// Conditions of engines that said something. They outlast the engines' entries, which may
    /// lapse and come back.
    std::map<std::string, noted_condition> mConditions;
    std::map<std::string, std::uint64_t> mNamedVersions;
    /// Evacuated failure domains, whose engines get no orders.
    std::set<std::string> mEvacuated;
    /// When the process was paused, until a later read of the operator records.
    std::optional<core::time_point> mUnconfirmedSince;
    /// Learned from the loads of all engines that this instance holds.
    load_slowness mLoadSlowness;
    std::vector<fleet::live_candidate> mLive;
    /// Adapters of the engines that other instances hold, by engine.
    std::map<std::string, engines::residency> mRemoteAdapters;
    /// End of the fleet topic at its last update.
    store::position mTopicEnd;
    bool mAppendInFlight = false;
    core::time_point mClaimNotBefore;
    /// Since when there are claims to append or to remove; empty if there are none.
    std::optional<core::time_point> mClaimDueAt;
    core::time_point mPollRequestedAt;
    bool mReportedLiveByAll = false;
    /// Whether this instance reads the topic, and claims engines, for its failure domain.
    bool mIsReader = false;
    /// Whether the fleet topic was read at least once.
    bool mTopicLoaded = false;
};

} // namespace corneltally::orders
