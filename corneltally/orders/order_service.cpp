#include "corneltally/orders/order_service.h"

#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/fleet/fleet_records.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/routing/routing_table.h"
#include "platform/document_codec.h"
#include "platform/request_codec.h"

#include <algorithm>
#include <cmath>
#include <unordered_set>
#include <utility>

namespace corneltally::orders {

namespace {

/// Period of the checks that no message triggers: ended loads, reports, claims.
constexpr core::duration cTickPeriod = std::chrono::milliseconds(25);
/// Number of parallel loads over all engines beyond which loads slow down in proportion: the
/// greater of a fixed number and a share of the engines. Weight stores serve 8 parallel loads
/// at full speed for 12 engines, and 40 or 32 for 90 engines.
constexpr double cMinParallelLoads = 8;
constexpr double cParallelLoadsPerEngine = 0.35;
/// Period of the checks for engines to claim, which go through all engines.
constexpr core::duration cClaimCheckPeriod = std::chrono::milliseconds(100);
/// Delay between two attempts to claim engines.
constexpr core::duration cClaimRetryDelay = std::chrono::milliseconds(400);
/// Time that the reader of the failure domain has to claim engines for the others.
constexpr core::duration cBackupClaimDelay = std::chrono::milliseconds(1500);
/// Delay between the claims of the other instances of a failure domain. If two instances append
/// after the same record, one is refused, and each append ends the long polls of all readers.
constexpr core::duration cClaimDelayStep = std::chrono::milliseconds(100);
/// Timeout of a poll of the claims before another one is requested. The store answers in some
/// milliseconds, and each call to it has a price while it is unavailable.
constexpr core::duration cPollTimeout = std::chrono::milliseconds(600);
/// Claims on removed engines are removed together with the next claims, or after this time.
constexpr core::duration cObsoleteClaimDelay = std::chrono::seconds(4);
/// While all other instances have reported this one as live within cMaxLiveReportAge, its right to
/// order lasts for 11 s after a read, and its long polls of the claims wait for cLongPollWait. This
/// leaves 7 s in which it may order when the store becomes unavailable.
constexpr core::duration cMaxLiveReportAge = std::chrono::milliseconds(1500);
constexpr core::duration cLongPollWait = std::chrono::milliseconds(4000);
constexpr core::duration cShortPollWait = std::chrono::milliseconds(2200);
/// Period in which the state of an engine is repeated for instances that missed it.
constexpr core::duration cRepeatPeriod = std::chrono::seconds(2);

std::string_view outcomeName(engines::order_outcome inOutcome)
{
    switch (inOutcome) {
    case engines::order_outcome::accepted:
        return "accepted";
    case engines::order_outcome::holds:
        return "holds";
    case engines::order_outcome::conflict:
        return "conflict";
    case engines::order_outcome::fenced:
        return "fenced";
    case engines::order_outcome::other_engine:
        return "other_engine";
    case engines::order_outcome::refused:
        return "refused";
    case engines::order_outcome::unknown:
        break;
    }
    return "unknown";
}

std::string_view operationName(const engines::engine_order &inOrder)
{
    return inOrder.kind == engines::engine_order::operation::load ? "load" : "unload";
}

} // namespace

order_service::order_service(kernel::service_registry &ioRegistry, core::metrics &ioMetrics,
                             order_options inOptions)
    : mRegistry(ioRegistry)
    , mMetrics(ioMetrics)
    , mOptions(std::move(inOptions))
    , mFetcher(ioRegistry.loop())
    , mTimer(ioRegistry.loop(), [this] { tick(); })
    , mClaims(mOptions.claims, mOptions.self, mOptions.failureDomain)
{
    mRegistry.handle<catalog::fleet_topic_updated>(
        cName, [this](const catalog::fleet_topic_updated &inUpdate) { topicUpdated(inUpdate); });
    mRegistry.handle<catalog::fleet_topic_append_ended>(
        cName, [this](const catalog::fleet_topic_append_ended &) { mAppendInFlight = false; });
    mRegistry.handle<catalog::configuration_changed>(
        cName, [this](const catalog::configuration_changed &inChanged) {
            mTable = inChanged.table;
            for (auto &[engine, state] : mHeld)
                configureEngine(engine);
        });
    mRegistry.handle<catalog::adapter_version_named>(
        cName, [this](const catalog::adapter_version_named &inNamed) { versionNamed(inNamed); });
    mRegistry.handle<catalog::evacuation_changed>(
        cName,
        [this](const catalog::evacuation_changed &inChanged) { evacuationChanged(inChanged); });
    mRegistry.handle<catalog::operator_records_confirmed>(
        cName, [this](const catalog::operator_records_confirmed &inConfirmed) {
            if (mUnconfirmedSince && inConfirmed.asOf >= *mUnconfirmedSince)
                mUnconfirmedSince.reset();
        });
    mRegistry.handle<catalog::endpoint_changed>(
        cName,
        [this](const catalog::endpoint_changed &inChanged) { endpointChanged(inChanged.entry); });
    mRegistry.handle<engines::endpoint_noticed>(
        cName, [this](const engines::endpoint_noticed &inNoticed) { endpointNoticed(inNoticed); });
    mRegistry.handle<catalog::endpoint_removed>(cName,
                                                [this](const catalog::endpoint_removed &inRemoved) {
                                                    if (!inRemoved.mayReturn)
                                                        endpointRemoved(inRemoved.id);
                                                });
    mRegistry.handle<catalog::endpoints_listed>(
        cName, [this](const catalog::endpoints_listed &inListed) {
            if (inListed.mayReturn)
                return;
            for (const fleet::fleet_node &engine : knownEngines()) {
                if (std::ranges::find(inListed.ids, engine.name) == inListed.ids.end())
                    endpointRemoved(engine.name);
            }
        });
    mRegistry.handle<fleet::instances_changed>(cName,
                                               [this](const fleet::instances_changed &inChanged) {
                                                   mLive = inChanged.live;
                                                   mClaims.setMembers(inChanged.claimants);
                                               });
    mRegistry.handle<catalog::reader_changed>(
        cName, [this](const catalog::reader_changed &inChanged) { mIsReader = inChanged.reads; });
    mRegistry.handle<fleet::domain_summary_received>(
        cName, [this](const fleet::domain_summary_received &inReceived) {
            summaryReceived(*inReceived.summary);
        });
    mRegistry.handle<fleet::mesh_received>(cName, [this](const fleet::mesh_received &inReceived) {
        mClaims.messageReceived(inReceived.instance, core::boot_clock::now());
        if (const auto *request = std::get_if<fleet::load_wanted>(&inReceived.body))
            loadRequested(*request, inReceived.instance);
        else if (const auto *report = std::get_if<fleet::adapter_missing>(&inReceived.body))
            adapterMissing(*report);
        else if (const auto *change = std::get_if<fleet::adapter_running>(&inReceived.body))
            adapterRunning(inReceived.instance, *change);
        else if (const auto *state = std::get_if<fleet::engine_state>(&inReceived.body))
            mRemoteAdapters[state->endpoint] = state->adapters;
        else if (const auto *beat = std::get_if<fleet::heartbeat>(&inReceived.body)) {
            if (beat->receiverLive)
                mClaims.reportedLiveBy(inReceived.instance, core::boot_clock::now());
            adaptersUsed(inReceived.instance, beat->adapterUses, beat->adaptersRunning);
        } else if (const auto *permit = std::get_if<fleet::permit_wanted>(&inReceived.body)) {
            mRegistry.post("mesh",
                           fleet::mesh_send{inReceived.instance,
                                            permitRequested(*permit, inReceived.instance)});
        }
    });
    mRegistry.handle<local_permit_wanted>(cName, [this](const local_permit_wanted &inLocal) {
        mRegistry.post("front",
                       local_permit_reply{permitRequested(inLocal.wanted, mOptions.self.instance)});
    });
    mRegistry.handle<local_load_wanted>(
        cName, [this](const local_load_wanted &inLocal) { loadRequested(inLocal.wanted, cLocal); });
    mRegistry.handle<local_adapter_missing>(
        cName, [this](const local_adapter_missing &inLocal) { adapterMissing(inLocal.missing); });
    mRegistry.handle<local_adapter_uses>(cName, [this](const local_adapter_uses &inLocal) {
        adaptersUsed(mOptions.self.instance, inLocal.sent, inLocal.running);
    });
    mRegistry.handle<local_adapter_running>(cName, [this](const local_adapter_running &inLocal) {
        adapterRunning(mOptions.self.instance, inLocal.change);
    });
}

void order_service::start()
{
    mTimer.startRepeating(cTickPeriod);
}

void order_service::processPaused()
{
    // The claims from before the pause may be outdated; the next read confirms them.
    mClaims.invalidateRead();
    if (mOptions.confirmsEvacuations)
        mUnconfirmedSince = core::boot_clock::now();
    mRegistry.post("catalog", catalog::fleet_topic_poll{});
    for (auto &[engine, state] : mHeld)
        publish(engine, state, core::boot_clock::now());
}

void order_service::topicUpdated(const catalog::fleet_topic_updated &inUpdate)
{
    const core::time_point now = core::boot_clock::now();
    std::set<std::string> listed;
    for (const store::record &record : inUpdate.update.records) {
        if (fleet::memberName(record) == mOptions.self.instance && record.value)
            mClaims.setRecorded(now);
        const auto engine = fleet::claimedEngine(record);
        if (!engine)
            continue;
        const auto claimed = fleet::decodeClaim(record);
        if (record.value && !claimed) {
            core::logEvent(core::log_level::warning, "claim_record_invalid",
                           {{"endpoint", *engine}});
            continue;
        }
        listed.insert(*engine);
        mClaims.applyClaim(*engine, claimed, now);
        if (claimed)
            core::logEvent(
                core::log_level::info, "engine_claimed",
                {{"endpoint", *engine}, {"holder", claimed->instance}, {"fence", claimed->fence}});
    }
    if (inUpdate.update.complete)
        mClaims.keepOnly(listed, inUpdate.update.end.era());
    mClaims.confirmRead(inUpdate.update.asOf);
    mTopicEnd = inUpdate.update.end;
    mTopicLoaded = true;
    for (const auto &[engine, domain] : knownEngines()) {
        const bool holds = mClaims.holds(engine);
        if (holds && coldServiceOf(engine) != nullptr)
            mHeldCold.insert(engine);
        if (holds && !mHeld.contains(engine) && profileOf(mEntries.at(engine)) != nullptr) {
            mHeld.emplace(engine, held_engine{engine_controller(engine, mOptions.controller)});
            configureEngine(engine);
        } else if (!holds) {
            mHeld.erase(engine);
        }
    }
}

const routing::engine_profile *
order_service::profileOf(const engines::endpoint_entry &inEntry) const
{
    const routing::service *service = mTable ? mTable->findService(inEntry.service) : nullptr;
    return service != nullptr && service->engine ? &*service->engine : nullptr;
}

std::vector<fleet::fleet_node> order_service::knownEngines() const
{
    std::vector<fleet::fleet_node> engines;
    for (const auto &[id, entry] : mEntries) {
        if (profileOf(entry) != nullptr || coldServiceOf(id) != nullptr)
            engines.push_back({id, entry.failureDomain});
    }
    return engines;
}

void order_service::configureEngine(const std::string &inEngine)
{
    const auto entry = mEntries.find(inEngine);
    const auto found = mHeld.find(inEngine);
    if (entry == mEntries.end() || found == mHeld.end())
        return;
    const routing::engine_profile *profile = profileOf(entry->second);
    if (profile == nullptr)
        return;
    engine_controller &controller = found->second.controller;
    controller.configure(entry->second, *profile, core::boot_clock::now());
    for (const auto &[key, version] : mNamedVersions)
        controller.versionNamed(key, version, core::boot_clock::now());
}

void order_service::endpointChanged(const engines::endpoint_entry &inEntry)
{
    mEntries.insert_or_assign(inEntry.id, inEntry);
    configureEngine(inEntry.id);
}

void order_service::endpointRemoved(const std::string &inId)
{
    mEntries.erase(inId);
    mHeld.erase(inId);
    mRemoteAdapters.erase(inId);
}

void order_service::versionNamed(const catalog::adapter_version_named &inNamed)
{
    const std::string key = engines::adapterKey(inNamed.model, inNamed.adapter);
    std::uint64_t &known = mNamedVersions[key];
    known = std::max(known, inNamed.version);
    for (auto &[engine, state] : mHeld) {
        state.controller.versionNamed(key, known, core::boot_clock::now());
        advanceEngine(engine, state, core::boot_clock::now());
    }
}

/// Lengthens the long polls of the claims while no other instance can claim this one's engines.
void order_service::updatePollWait(core::time_point inNow)
{
    const bool isReportedLive = mClaims.isReportedLiveByAll(cMaxLiveReportAge, inNow);
    if (isReportedLive == mReportedLiveByAll)
        return;
    mReportedLiveByAll = isReportedLive;
    mRegistry.post(
        "catalog",
        catalog::fleet_topic_wait_changed{isReportedLive ? cLongPollWait : cShortPollWait});
}

/// Delay of this instance's claims. The reader of the failure domain claims for all its instances;
/// the others claim one after the other if it does not.
core::duration order_service::claimDelay() const
{
    if (mIsReader)
        return {};
    return cBackupClaimDelay
        + cClaimDelayStep
        * std::ranges::count_if(mLive, [this](const fleet::live_candidate &inOther) {
              return inOther.failureDomain == mOptions.failureDomain
                  && inOther.name < mOptions.self.instance;
          });
}

/// Appends the claims that this instance should make, and the removals of its obsolete ones, in one
/// request. A claim must rest on a recent read of the fleet topic, so without one it first requests
/// a poll. The append is refused if another one has moved the end of the topic.
void order_service::claimEngines(core::time_point inNow)
{
    if (mAppendInFlight || !mTopicLoaded || inNow < mClaimNotBefore)
        return;
    mClaimNotBefore = inNow + cClaimCheckPeriod;
    const std::vector<fleet::fleet_node> existingEngines = knownEngines();
    std::vector<store::record> records;
    std::vector<fleet::fleet_node> liveNodes;
    for (const fleet::live_candidate &live : mLive)
        liveNodes.push_back({live.name, live.failureDomain});
    for (const std::string &engine : mClaims.enginesToClaim(existingEngines, liveNodes, inNow))
        records.push_back(
            fleet::claimRecord(engine, mClaims.claimAfterFormer(engine, mOptions.self, inNow)));
    if (mIsReader) {
        for (const auto &[engine, holder] :
             mClaims.claimsForLocalPeers(existingEngines, mLive, inNow))
            records.push_back(
                fleet::claimRecord(engine, mClaims.claimAfterFormer(engine, holder, inNow)));
    }
    const core::duration delay = records.empty() ? cObsoleteClaimDelay : claimDelay();
    for (const std::string &engine : mClaims.obsoleteClaims(existingEngines))
        records.push_back(fleet::removedClaim(engine));
    if (records.empty()) {
        mClaimDueAt.reset();
        return;
    }
    if (!mClaimDueAt)
        mClaimDueAt = inNow;
    if (inNow - *mClaimDueAt < delay)
        return;
    if (!mClaims.hasFreshRead(inNow)) {
        if (inNow - mPollRequestedAt >= cPollTimeout) {
            mPollRequestedAt = inNow;
            mRegistry.post("catalog", catalog::fleet_topic_poll{});
        }
        return;
    }
    mAppendInFlight = true;
    mClaimNotBefore = inNow + cClaimRetryDelay;
    core::logEvent(core::log_level::info, "claim_appended",
                   {{"records", records.size()}, {"expected_end", mTopicEnd.toString()}});
    mRegistry.post("catalog", catalog::fleet_topic_append{std::string(cName), records, mTopicEnd});
}

void order_service::loadRequested(const fleet::load_wanted &inWanted, std::string_view inFrom)
{
    const auto found = mHeld.find(inWanted.endpoint);
    const core::time_point now = core::boot_clock::now();
    if (found == mHeld.end() || found->second.controller.entry().startedMs != inWanted.startedMs) {
        core::logEvent(core::log_level::info, "load_not_mine",
                       {{"endpoint", inWanted.endpoint}, {"from", inFrom}});
        return;
    }
    if (isEvacuated(found->second)) {
        declineLoad(inWanted, std::string(inFrom));
        return;
    }
    found->second.controller.adapterRequested(inWanted.model, inWanted.adapter, inWanted.version,
                                              inWanted.tokens, now);
    advanceEngine(inWanted.endpoint, found->second, now);
}

void order_service::adapterMissing(const fleet::adapter_missing &inMissing)
{
    const auto found = mHeld.find(inMissing.endpoint);
    if (found == mHeld.end() || found->second.controller.entry().startedMs != inMissing.startedMs)
        return;
    const core::time_point now = core::boot_clock::now();
    found->second.controller.adapterMissing(inMissing.adapter, now);
    advanceEngine(inMissing.endpoint, found->second, now);
}

/// Applies the adapters that other requests were sent for, and hands those that they run on to
/// inReplace for each engine.
void order_service::applyUses(
    const std::vector<engines::adapter_digest> &inSent,
    const std::vector<engines::adapter_digest> &inRunning,
    const std::function<void(adapter_usage &, const adapter_keys &)> &inReplace)
{
    const core::time_point now = core::boot_clock::now();
    const std::unordered_set<engines::adapter_digest> sent(inSent.begin(), inSent.end());
    const std::unordered_set<engines::adapter_digest> running(inRunning.begin(), inRunning.end());
    for (auto &[engine, state] : mHeld) {
        adapter_keys runningHere;
        for (const std::string &adapter : state.controller.knownAdapters()) {
            const engines::adapter_digest digest = engines::digestOf(engine, adapter);
            if (sent.contains(digest))
                state.controller.adapterUsed(adapter, now);
            if (running.contains(digest))
                runningHere.insert(adapter);
        }
        inReplace(state.controller.usage(), runningHere);
    }
}

void order_service::adaptersUsed(const std::string &inInstance,
                                 const std::vector<engines::adapter_digest> &inSent,
                                 const std::vector<engines::adapter_digest> &inRunning)
{
    const core::time_point now = core::boot_clock::now();
    applyUses(inSent, inRunning, [&](adapter_usage &ioUsage, const adapter_keys &inKeys) {
        ioUsage.replace(inInstance, inKeys, now);
    });
}

void order_service::summaryReceived(const fleet::domain_summary &inSummary)
{
    const core::time_point now = core::boot_clock::now();
    std::set<std::string> instances;
    for (const fleet::summarized_instance &entry : inSummary.instances) {
        instances.insert(entry.instance);
        mClaims.messageReceived(entry.instance, now);
    }
    applyUses(inSummary.adapterUses, inSummary.adaptersRunning,
              [&](adapter_usage &ioUsage, const adapter_keys &inKeys) {
                  ioUsage.replaceDomain(inSummary.domain, instances, inKeys, now);
              });
    for (const fleet::summarized_engine &engine : inSummary.engines)
        mRemoteAdapters[engine.state.endpoint] = engine.state.adapters;
}

void order_service::adapterRunning(const std::string &inInstance,
                                   const fleet::adapter_running &inChange)
{
    const auto found = mHeld.find(inChange.endpoint);
    if (found == mHeld.end() || found->second.controller.entry().startedMs != inChange.startedMs)
        return;
    const core::time_point now = core::boot_clock::now();
    found->second.controller.usage().set(inInstance, inChange.adapter, inChange.running, now);
    // A queued request may be waiting for the slot that can now be freed.
    if (!inChange.running)
        advanceEngine(inChange.endpoint, found->second, now);
}

void order_service::tick()
{
    const core::time_point now = core::boot_clock::now();
    updatePollWait(now);
    claimEngines(now);
    advancePermits(now);
    for (auto &[engine, state] : mHeld) {
        advanceEngine(engine, state, now);
        const engines::endpoint_condition *condition
            = conditionOf(engine, state.controller.entry().startedMs);
        const bool isPaused = condition != nullptr && condition->isPaused(now);
        if (state.controller.reportDue(now) && !isPaused
            && state.controller.entry().address.port != 0)
            requestReport(engine, state, now);
    }
}

int order_service::arrivingElsewhere(const std::string &inEngine, core::time_point inNow) const
{
    std::size_t count = 0;
    for (const auto &[engine, state] : mHeld) {
        if (engine != inEngine)
            count += state.controller.adapters().arriving.size();
    }
    for (const auto &[engine, adapters] : mRemoteAdapters) {
        if (!mHeld.contains(engine))
            count += static_cast<std::size_t>(
                std::ranges::count_if(adapters.arriving, [&](const auto &inEntry) {
                    return inEntry.second.readyAt > inNow;
                }));
    }
    return static_cast<int>(count);
}

/// Loads beyond what the weight store serves at full speed slow down all loads, so further loads
/// wait until others end. Each instance may always have its share of them in flight, since its
/// state of the other instances is some milliseconds old.
load_state order_service::loadStateOf(const std::string &inEngine, core::time_point inNow) const
{
    load_state loads{.arrivingElsewhere = arrivingElsewhere(inEngine, inNow)};
    if (mOptions.learnsLoadTime)
        loads.slowness = mLoadSlowness.factor();
    loads.fullSpeedLoads = std::max(cMinParallelLoads,
                                    cParallelLoadsPerEngine * static_cast<double>(mEntries.size()));
    int own = 0;
    for (const auto &[engine, state] : mHeld)
        own += state.controller.arriving();
    const int all = loads.arrivingElsewhere + mHeld.at(inEngine).controller.arriving();
    const double share = loads.fullSpeedLoads / static_cast<double>(mLive.size() + 1);
    loads.mayFetch = all < loads.fullSpeedLoads || own < std::floor(share);
    return loads;
}

void order_service::advanceEngine(const std::string &inEngine, held_engine &ioHeld,
                                  core::time_point inNow)
{
    ioHeld.controller.advance(inNow);
    mLoadSlowness.record(ioHeld.controller.takeLoadOutcomes());
    if (mClaims.mayOrder(inEngine, inNow) && takesOrders(inEngine, ioHeld, inNow)) {
        ioHeld.controller.setLoadState(loadStateOf(inEngine, inNow));
        if (const auto order = ioHeld.controller.nextOrder(inNow))
            sendOrder(inEngine, *order);
    }
    publish(inEngine, ioHeld, inNow);
}

void order_service::sendOrder(const std::string &inEngine, const engines::engine_order &inOrder)
{
    engines::engine_order order = inOrder;
    order.holder = mOptions.self.instance;
    order.fence = mClaims.find(inEngine)->fence;
    const core::time_point sentAt = core::boot_clock::now();
    const engines::endpoint_entry &entry = mHeld.at(inEngine).controller.entry();
    mFetcher.fetch(platform::orderRequest(entry.address, inEngine, order),
                   [this, inEngine, inOrder, sentAt,
                    startedMs = entry.startedMs](const http1::fetch_result &inResult) {
                       answerReceived(inEngine, startedMs, sentAt, inResult);
                       orderEnded(inEngine, inOrder, platform::decodeOrderOutcome(inResult),
                                  sentAt);
                   });
}

void order_service::orderEnded(const std::string &inEngine, const engines::engine_order &inOrder,
                               engines::order_outcome inOutcome, core::time_point inSentAt)
{
    const core::time_point now = core::boot_clock::now();
    const std::string_view outcome = outcomeName(inOutcome);
    core::logEvent(core::log_level::info, "order",
                   {{"endpoint", inEngine},
                    {"operation", operationName(inOrder)},
                    {"adapter", inOrder.adapter},
                    {"version", inOrder.version},
                    {"expected", inOrder.expectedOrders},
                    {"outcome", outcome},
                    {"ms", (now - inSentAt).count() / 1000}});
    mMetrics.count("orders_total{outcome=\"" + std::string(outcome) + "\"}");
    const auto found = mHeld.find(inEngine);
    if (found == mHeld.end())
        return;
    found->second.controller.orderEnded(inOrder, inOutcome, now);
    advanceEngine(inEngine, found->second, now);
}

void order_service::requestReport(const std::string &inEngine, held_engine &ioHeld,
                                  core::time_point inNow)
{
    ioHeld.controller.reportStarted(inNow);
    mFetcher.fetch(platform::reportRequest(ioHeld.controller.entry().address),
                   [this, inEngine, inNow, startedMs = ioHeld.controller.entry().startedMs](
                       const http1::fetch_result &inResult) {
                       answerReceived(inEngine, startedMs, inNow, inResult);
                       const auto found = mHeld.find(inEngine);
                       if (found == mHeld.end())
                           return;
                       const core::time_point now = core::boot_clock::now();
                       const auto report = platform::decodeReport(inResult);
                       if (report)
                           found->second.controller.reportEnded(*report, now);
                       else
                           found->second.controller.reportEnded(std::nullopt, now);
                       mMetrics.count(report ? "reports_total{outcome=\"read\"}"
                                             : "reports_total{outcome=\"failed\"}");
                       advanceEngine(inEngine, found->second, now);
                   });
}

void order_service::answerReceived(const std::string &inEngine, std::uint64_t inStartedMs,
                                   core::time_point inSentAt, const http1::fetch_result &inResult)
{
    const engines::endpoint_noticed noticed{
        inEngine, inStartedMs, platform::decodeNotice(inResult.status, inResult.fields)};
    // A report may come from another start of the engine, or from another engine at its address.
    const auto report = platform::decodeReport(inResult);
    if (!report || report->startedMs == inStartedMs)
        reportCold(inEngine, inStartedMs, inSentAt, inResult);
    if (noticed.notice == engines::endpoint_notice()
        || (report && report->startedMs != inStartedMs))
        return;
    endpointNoticed(noticed);
    mRegistry.post("front", noticed);
}

void order_service::endpointNoticed(const engines::endpoint_noticed &inNoticed)
{
    const core::time_point now = core::boot_clock::now();
    std::erase_if(mConditions, [&](const auto &inEntry) {
        return !mEntries.contains(inEntry.first)
            && now - inEntry.second.notedAt > engines::endpoint_table::sLeavingRetention;
    });
    noted_condition &known = mConditions[inNoticed.endpoint];
    if (known.startedMs != inNoticed.startedMs)
        known = {.startedMs = inNoticed.startedMs, .condition = {}, .notedAt = {}};
    known.notedAt = now;
    known.condition.apply(inNoticed.notice, now);
}

/// What the answers of a start of an engine said; null if nothing.
const engines::endpoint_condition *order_service::conditionOf(const std::string &inEngine,
                                                              std::uint64_t inStartedMs) const
{
    const auto found = mConditions.find(inEngine);
    const bool isKnown = found != mConditions.end() && found->second.startedMs == inStartedMs;
    return isKnown ? &found->second.condition : nullptr;
}

bool order_service::takesOrders(const std::string &inEngine, const held_engine &inHeld,
                                core::time_point inNow) const
{
    if (isEvacuated(inHeld) || awaitsConfirmation(inNow))
        return false;
    const engines::endpoint_condition *condition
        = conditionOf(inEngine, inHeld.controller.entry().startedMs);
    return condition == nullptr || condition->takesRequests(inNow);
}

void order_service::publish(const std::string &inEngine, held_engine &ioHeld,
                            core::time_point inNow)
{
    const engine_controller &controller = ioHeld.controller;
    fleet::engine_state state{.endpoint = inEngine,
                              .startedMs = controller.entry().startedMs,
                              .ready = mClaims.mayOrder(inEngine, inNow) && controller.inSync()
                                  && takesOrders(inEngine, ioHeld, inNow),
                              .adapters = controller.adapters(),
                              .models = controller.models(),
                              .queued = controller.queued()};
    if (ioHeld.published == state && inNow - ioHeld.publishedAt < cRepeatPeriod)
        return;
    ioHeld.published = state;
    ioHeld.publishedAt = inNow;
    mRegistry.broadcast(held_engine_changed{state});
    mRegistry.post("mesh", fleet::mesh_send{"", std::move(state)});
}

} // namespace corneltally::orders
