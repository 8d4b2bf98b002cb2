#include "corneltally/orders/engine_controller.h"

#include <algorithm>
#include <utility>

namespace corneltally::orders {

namespace {

using operation = engines::engine_order::operation;

/// Time after which the load of a base model is ordered again if no report confirms it. The longest
/// load takes 2.9 s, and more while several run.
constexpr core::duration cModelLoadTime = std::chrono::seconds(8);

/// Popularity that one use adds; far above the value below which adapter_slots drops an adapter.
constexpr double cUseWeight = 1000;

/// Older uses have no effect on any decision.
constexpr core::duration cUseRetention = std::chrono::seconds(30);

/// Splits "model/adapter".
std::pair<std::string, std::string> splitKey(std::string_view inKey)
{
    const auto slash = inKey.find('/');
    return {std::string(inKey.substr(0, slash)), std::string(inKey.substr(slash + 1))};
}

} // namespace

engine_controller::engine_controller(std::string inEngine, controller_options inOptions)
    : mEngine(std::move(inEngine))
    , mOptions(inOptions)
{ }

void engine_controller::configure(const engines::endpoint_entry &inEntry,
                                  const routing::engine_profile &inProfile, core::time_point inNow)
{
    if (mEntry.startedMs != inEntry.startedMs || mEntry.address != inEntry.address) {
        mSlots.clear();
        mVersions.clear();
        mArriving.clear();
        mModels.clear();
        mWarm.clear();
        mOpenLoads.clear();
        mOrders.reset();
        mInFlight.reset();
        mUnresolved.reset();
        mUnansweredLoads.clear();
        mReserved.clear();
        mOrderNotBefore = inNow;
        mModelLoadUntil.reset();
        mNextReport = inNow;
        ++mRevision;
    }
    mEntry = inEntry;
    mProfile = inProfile;
    mSlotOptions.slots = std::max(1, inProfile.adapterSlots);
    mSlotOptions.popularityHalfLife = std::chrono::seconds(15);
    // Most refusals mean that another order is in progress, so the adapter itself can be retried
    // soon.
    mSlotOptions.firstBackoff = mOptions.busyDelay;
    mSlotOptions.maxBackoff = std::chrono::seconds(2);
    mSlots.configure(mSlotOptions);
}

void engine_controller::adapterRequested(const std::string &inModel, const std::string &inAdapter,
                                         std::uint64_t inVersion, double inTokens,
                                         core::time_point inNow)
{
    const std::string key = engines::adapterKey(inModel, inAdapter);
    demand &entry = mDemand[key];
    if (entry.model.empty()) {
        entry = {.model = inModel, .adapter = inAdapter, .first = inNow};
    }
    entry.version = std::max(entry.version, inVersion);
    entry.tokens += inTokens;
    entry.last = inNow;
}

void engine_controller::adapterUsed(const std::string &inKey, core::time_point inNow)
{
    mUsed[inKey] = inNow;
    mSlots.adapterRequested(inKey, cUseWeight, inNow);
}

void engine_controller::adapterMissing(const std::string &inKey, core::time_point inNow)
{
    mNextReport = std::min(mNextReport, inNow + mOptions.resyncPeriod);
    if (mOpenLoads.erase(inKey) > 0)
        ++mLoadOutcomes.late;
    const auto resident = mVersions.find(inKey);
    if (resident == mVersions.end())
        return;
    mArriving[inKey] = {resident->second, inNow + mOptions.lateLoadDelay};
    mVersions.erase(resident);
    ++mRevision;
}

void engine_controller::versionNamed(const std::string &inKey, std::uint64_t inVersion,
                                     core::time_point inNow)
{
    named_version &named = mNamed[inKey];
    if (named.version < inVersion)
        named = {inVersion, inNow};
}

std::uint64_t engine_controller::namedVersion(const std::string &inKey) const
{
    const auto found = mNamed.find(inKey);
    return found == mNamed.end() ? 0 : found->second.version;
}

engines::engine_order engine_controller::makeOrder(operation inKind, std::string_view inKey) const
{
    auto [model, adapter] = splitKey(inKey);
    engines::engine_order order{.kind = inKind, .model = model, .adapter = adapter};
    order.expectedOrders = mOrders.value_or(0);
    if (inKind == operation::load)
        order.version = namedVersion(std::string(inKey));
    return order;
}

std::optional<engines::engine_order> engine_controller::nextOrder(core::time_point inNow)
{
    if (mInFlight) {
        // An order without answer is sent again: only one of the two can be accepted.
        if (mInFlight->sent || inNow < mInFlight->notBefore)
            return std::nullopt;
        mInFlight->sent = true;
        return mInFlight->order;
    }
    if (!inSync() || inNow < mOrderNotBefore)
        return std::nullopt;
    std::optional<engines::engine_order> order = modelOrder(inNow);
    if (!order)
        order = replacementOrder(inNow);
    if (!order)
        order = adapterOrder(inNow);
    if (!order)
        return std::nullopt;
    const std::string key = engines::adapterKey(order->model, order->adapter);
    if (!order->adapter.empty() && order->kind == operation::load) {
        mSlots.loadStarted(key, inNow);
    } else if (!order->adapter.empty()) {
        mSlots.unloadStarted(key);
        mVersions.erase(key);
        // Its load may have ended before the estimated time.
        mArriving.erase(key);
    }
    ++mRevision;
    mInFlight = in_flight_order{.order = *order, .sent = true};
    return order;
}

std::optional<engines::engine_order> engine_controller::modelOrder(core::time_point inNow)
{
    if (!mModels.empty() || mProfile.models.empty())
        return std::nullopt;
    if (mModelLoadUntil && inNow < *mModelLoadUntil)
        return std::nullopt;
    const routing::base_model &model = mProfile.models.front();
    const double adapters = model.adapterMb * mProfile.adapterSlots;
    if (model.weightsMb + adapters > mProfile.weightsMb)
        return std::nullopt;
    mModelLoadUntil = inNow + cModelLoadTime;
    return makeOrder(operation::load, model.name + "/");
}

std::optional<engines::engine_order> engine_controller::replacementOrder(core::time_point inNow)
{
    if (static_cast<int>(mArriving.size()) >= mOptions.maxArriving)
        return std::nullopt;
    for (const auto &[key, version] : mVersions) {
        if (version >= namedVersion(key)
            || mSlots.stateOf(key) != scheduling::adapter_slots::state::resident)
            continue;
        const auto named = mNamed.find(key);
        if (mUsage.isRunning(key, inNow) && inNow - named->second.at < mOptions.replacementDelay)
            continue;
        // An outdated adapter without demand is unloaded rather than fetched again.
        const auto used = mUsed.find(key);
        if (!mDemand.contains(key)
            && (used == mUsed.end() || inNow - used->second > std::chrono::seconds(3)))
            return makeOrder(operation::unload, key);
        return makeOrder(operation::load, key);
    }
    return std::nullopt;
}

std::optional<engines::engine_order> engine_controller::adapterOrder(core::time_point inNow)
{
    if (static_cast<int>(mArriving.size()) >= mOptions.maxArriving)
        return std::nullopt;
    std::erase_if(mDemand, [&](const auto &inEntry) {
        return inNow - inEntry.second.last > mOptions.maxDemandAge;
    });
    std::vector<scheduling::adapter_demand> demands;
    for (const auto &[key, entry] : mDemand) {
        if (std::ranges::find(mModels, entry.model) == mModels.end())
            continue;
        // No slot is freed for an adapter that may not be fetched yet.
        if (!mLoadState.mayFetch && !isWarm(key)
            && mSlots.stateOf(key) == scheduling::adapter_slots::state::absent)
            continue;
        demands.push_back(
            {.adapter = key,
             .requests = 1,
             .tokens = entry.tokens,
             .oldest = entry.first,
             .prompt = true,
             .startTag = static_cast<double>(entry.first.time_since_epoch().count())});
    }
    std::ranges::sort(demands, {}, &scheduling::adapter_demand::startTag);
    reservePlaces(inNow);
    if (const auto repeat = loadToRepeat(); repeat && !demands.empty())
        return makeOrder(operation::load, *repeat);
    // An engine that unloads an adapter in use takes no other order until the adapter's requests
    // end.
    const auto inUse = [&](const std::string &inKey) { return mUsage.isRunning(inKey, inNow); };
    const scheduling::slot_decision decision = mSlots.decide(demands, inUse, inNow);
    switch (decision.kind) {
    case scheduling::slot_decision::action::none:
        return std::nullopt;
    case scheduling::slot_decision::action::load:
        return makeOrder(operation::load, decision.adapter);
    case scheduling::slot_decision::action::unload:
        break;
    }
    return makeOrder(operation::unload, decision.adapter);
}

/// Keeps a place for each adapter whose load got no answer and may still be carried out.
void engine_controller::reservePlaces(core::time_point inNow)
{
    mReserved = mUnansweredLoads.possibleBeside(*mOrders);
    std::erase_if(mReserved, [&](const std::string &inKey) {
        return mSlots.stateOf(inKey) != scheduling::adapter_slots::state::absent;
    });
    scheduling::slot_options options = mSlotOptions;
    options.slots = std::max(0, options.slots - static_cast<int>(mReserved.size()));
    mSlots.configure(options);
    if (!mReserved.empty())
        mNextReport = std::min(mNextReport, inNow + mOptions.resyncPeriod);
}

/// An unanswered load that takes the last place of an engine without adapters is ordered again, as
/// no other order could make it void.
std::optional<std::string> engine_controller::loadToRepeat() const
{
    if (mReserved.empty() || mSlots.occupied() > 0
        || mReserved.size() < static_cast<std::size_t>(mSlotOptions.slots))
        return std::nullopt;
    return mReserved.front();
}

void engine_controller::orderEnded(const engines::engine_order &inOrder,
                                   engines::order_outcome inOutcome, core::time_point inNow)
{
    // Outcomes of orders from before a restart of the engine are ignored.
    if (!mInFlight || mInFlight->order != inOrder)
        return;
    const engines::engine_order order = mInFlight->order;
    const bool repeated = mInFlight->repeated;
    // A refused order changes nothing, so a report from before it stays valid.
    if (inOutcome == engines::order_outcome::accepted || inOutcome == engines::order_outcome::holds
        || inOutcome == engines::order_outcome::unknown)
        mLastChangeAt = inNow;
    if (inOutcome == engines::order_outcome::unknown) {
        mInFlight->sent = false;
        mInFlight->repeated = true;
        mInFlight->notBefore = inNow + mOptions.repeatDelay;
        if (order.kind == operation::load && !order.adapter.empty())
            mUnansweredLoads.add(engines::adapterKey(order.model, order.adapter),
                                 order.expectedOrders);
        return;
    }
    mInFlight.reset();
    if (inOutcome == engines::order_outcome::accepted
        || inOutcome == engines::order_outcome::holds) {
        mOrders = order.expectedOrders + 1;
        // An order that holds already is not counted, while the unload of an unused adapter is.
        // Both get the same answer.
        if (inOutcome == engines::order_outcome::accepted)
            mUnansweredLoads.confirm(order.expectedOrders + 1);
        finishOrder(order, true, inNow);
        return;
    }
    // Only a report that is newer than the order shows its effect; further refusals must not delay
    // the report.
    mNextReport = std::min(mNextReport, inNow + mOptions.reportLag);
    mOrderNotBefore = inNow + mOptions.busyDelay;
    if (inOutcome == engines::order_outcome::conflict && repeated) {
        // The first of the two may have been accepted, or another order is in progress.
        mUnresolved = order;
        ++mRevision;
        return;
    }
    finishOrder(order, false, inNow);
}

void engine_controller::finishOrder(const engines::engine_order &inOrder, bool inDone,
                                    core::time_point inNow)
{
    ++mRevision;
    if (inOrder.adapter.empty())
        return;
    const std::string key = engines::adapterKey(inOrder.model, inOrder.adapter);
    if (inOrder.kind == operation::unload) {
        mSlots.unloadEnded(key, inDone, inNow);
        if (inDone)
            recordUnloaded(key);
        return;
    }
    if (!inDone) {
        mSlots.loadEnded(key, false, inNow);
        // After a refused replacement the older version stays resident.
        if (mVersions.contains(key))
            mSlots.loadEnded(key, true, inNow);
        return;
    }
    const core::time_point readyAt = inNow + loadTime(key);
    if (!isWarm(key))
        mOpenLoads[key] = inNow;
    mVersions.erase(key);
    mArriving[key] = {inOrder.version, readyAt};
}

void engine_controller::recordUnloaded(const std::string &inKey)
{
    std::erase(mWarm, inKey);
    mWarm.push_back(inKey);
    if (mWarm.size() > mOptions.warmAdapters)
        mWarm.erase(mWarm.begin());
}

core::duration engine_controller::loadTime(const std::string &inKey) const
{
    const auto scaled = [this](double inFactor) {
        return std::chrono::duration_cast<core::duration>(mOptions.adapterLoad * inFactor);
    };
    if (isWarm(inKey))
        return scaled(mOptions.warmLoad);
    const double inFlight = arriving() + 1 + mLoadState.arrivingElsewhere;
    return scaled(std::clamp(std::max(inFlight / mLoadState.fullSpeedLoads, mLoadState.slowness),
                             1.0, mOptions.maxSlowDown));
}

bool engine_controller::isWarm(const std::string &inKey) const
{
    return std::ranges::find(mWarm, inKey) != mWarm.end();
}

/// Completes an order that was sent twice with the state that a later report shows.
void engine_controller::resolve(const engines::engine_order &inOrder, bool inPresent,
                                core::time_point inNow)
{
    if (inOrder.adapter.empty())
        return;
    const std::string key = engines::adapterKey(inOrder.model, inOrder.adapter);
    if (inOrder.kind == operation::unload) {
        mSlots.unloadEnded(key, !inPresent, inNow);
        return;
    }
    mSlots.loadEnded(key, inPresent, inNow);
}

void engine_controller::advance(core::time_point inNow)
{
    for (auto entry = mArriving.begin(); entry != mArriving.end();) {
        if (entry->second.readyAt > inNow) {
            ++entry;
            continue;
        }
        mSlots.loadEnded(entry->first, true, inNow);
        mVersions[entry->first] = entry->second.version;
        mDemand.erase(entry->first);
        ++mRevision;
        entry = mArriving.erase(entry);
    }
    const auto timely = std::erase_if(mOpenLoads, [&](const auto &inEntry) {
        return inNow - inEntry.second > mOptions.lateLoadLimit;
    });
    mLoadOutcomes.timely += static_cast<int>(timely);
    std::erase_if(mUsed,
                  [&](const auto &inEntry) { return inNow - inEntry.second > cUseRetention; });
    mUsage.prune(inNow);
    mSlots.prune(inNow);
}

bool engine_controller::reportDue(core::time_point inNow) const
{
    return !mReportInFlight && inNow >= mNextReport;
}

void engine_controller::reportStarted(core::time_point inNow)
{
    mReportInFlight = true;
    mReportStartedAt = inNow;
}

void engine_controller::reportEnded(const std::optional<engines::engine_report> &inReport,
                                    core::time_point inNow)
{
    mReportInFlight = false;
    mNextReport = inNow + (inReport && inSync() ? mOptions.reportPeriod : mOptions.resyncPeriod);
    if (!inReport || inReport->startedMs != mEntry.startedMs)
        return;
    // Also an older report shows a number that the engine has reached.
    mUnansweredLoads.confirm(inReport->orders);
    const core::time_point described = mReportStartedAt - mOptions.reportLag;
    // The report may be older than an order that is in flight or was sent since.
    if (mInFlight || described < mLastChangeAt) {
        if (mOrders != inReport->orders)
            mNextReport = inNow + mOptions.resyncPeriod;
        return;
    }
    mOrders = inReport->orders;
    std::vector<std::string> resident;
    std::vector<std::string> arriving;
    std::vector<std::string> models;
    std::map<std::string, std::uint64_t, std::less<>> versions;
    for (const engines::held_model &model : inReport->models) {
        models.push_back(model.name);
        for (const engines::held_adapter &adapter : model.adapters) {
            resident.push_back(engines::adapterKey(model.name, adapter.name));
            versions[resident.back()] = adapter.version;
        }
    }
    for (const engines::held_model &model : inReport->arriving) {
        for (const engines::held_adapter &adapter : model.adapters) {
            arriving.push_back(engines::adapterKey(model.name, adapter.name));
            mArriving.try_emplace(
                arriving.back(),
                engines::arriving_adapter{adapter.version, inNow + mOptions.adapterLoad / 2});
        }
    }
    if (mUnresolved) {
        const std::string key = engines::adapterKey(mUnresolved->model, mUnresolved->adapter);
        resolve(*mUnresolved,
                std::ranges::find(resident, key) != resident.end()
                    || std::ranges::find(arriving, key) != arriving.end(),
                inNow);
        mUnresolved.reset();
        mNextReport = inNow + mOptions.reportPeriod;
    }
    mSlots.adaptersReported(resident, arriving, described, inNow);
    std::erase_if(mArriving, [&](const auto &inEntry) {
        return mSlots.stateOf(inEntry.first) == scheduling::adapter_slots::state::absent;
    });
    for (const std::string &key : resident) {
        if (mSlots.stateOf(key) == scheduling::adapter_slots::state::resident)
            mVersions[key] = versions[key];
    }
    std::erase_if(mVersions, [&](const auto &inEntry) {
        return mSlots.stateOf(inEntry.first) != scheduling::adapter_slots::state::resident;
    });
    if (!inReport->busy || !models.empty()) {
        if (mModels != models && !models.empty())
            mModelLoadUntil.reset();
        mModels = std::move(models);
    }
    ++mRevision;
}

int engine_controller::queued() const
{
    return static_cast<int>(std::ranges::count_if(mDemand, [this](const auto &inEntry) {
        return mSlots.stateOf(inEntry.first) == scheduling::adapter_slots::state::absent;
    }));
}

std::vector<std::string> engine_controller::knownAdapters() const
{
    std::vector<std::string> names;
    for (const auto &[key, version] : mVersions)
        names.push_back(key);
    for (const auto &[key, arriving] : mArriving)
        names.push_back(key);
    return names;
}

engines::residency engine_controller::adapters() const
{
    engines::residency adapters;
    for (const auto &[key, version] : mVersions) {
        if (mSlots.mayStart(key))
            adapters.resident[key] = version;
    }
    adapters.arriving = mArriving;
    return adapters;
}

} // namespace corneltally::orders
