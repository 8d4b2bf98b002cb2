#include "corneltally/forwarding/forwarded_request.h"

#include "corneltally/core/json_log.h"
#include "corneltally/fleet/mesh_messages.h"
#include "corneltally/forwarding/forward_context.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/orders/order_messages.h"

#include <algorithm>
#include <utility>

namespace corneltally::forwarding {

namespace {

using milliseconds = std::chrono::milliseconds;

/// Maximum number of loads that one request may trigger before it is refused.
constexpr int cMaxLoadsRequested = 2;
/// A load may end this much later than estimated; until then the engine refuses requests for the
/// adapter.
constexpr core::duration cLoadTolerance = milliseconds(600);

long long inMs(core::duration inDuration)
{
    return std::chrono::duration_cast<milliseconds>(inDuration).count();
}

} // namespace

/// Asks the holder of the engine to load the adapter.
void forwarded_request::requestAdapterLoad()
{
    ++mLoadsRequested;
    engines::endpoint &target = *mContext.endpoints.find(mChoice.endpoint);
    countWaiting(target);
    fleet::load_wanted wanted{.endpoint = mChoice.endpoint,
                              .startedMs = mEndpointStart,
                              .model = mWork.model,
                              .adapter = mWork.adapter,
                              .version = mWork.version,
                              .tokens = mWork.promptTokens};
    if (target.holder == mContext.instance)
        mContext.registry.post("orders", orders::local_load_wanted{std::move(wanted)});
    else
        mContext.registry.post("mesh", fleet::mesh_send{target.holder, std::move(wanted)});
}

/// Counts the request as waiting for a load at the endpoint.
void forwarded_request::countWaiting(engines::endpoint &ioTarget)
{
    if (mWaitingCounted)
        return;
    mWaitingCounted = true;
    ++ioTarget.ownWaiting[engines::adapterKey(mWork.model, mWork.adapter)];
}

void forwarded_request::uncountWaiting()
{
    if (!mWaitingCounted)
        return;
    mWaitingCounted = false;
    engines::endpoint *target = mContext.endpoints.find(mChoice.endpoint);
    if (target == nullptr || target->entry.startedMs != mEndpointStart)
        return;
    const auto found = target->ownWaiting.find(engines::adapterKey(mWork.model, mWork.adapter));
    if (found != target->ownWaiting.end() && --found->second <= 0)
        target->ownWaiting.erase(found);
}

bool forwarded_request::isAdapterResident() const
{
    const engines::endpoint *target = mContext.endpoints.find(mChoice.endpoint);
    const auto found
        = target->adapters.resident.find(engines::adapterKey(mWork.model, mWork.adapter));
    return found != target->adapters.resident.end() && found->second >= mWork.version;
}

bool forwarded_request::isAdapterArriving(const engines::endpoint &inTarget) const
{
    const auto found
        = inTarget.adapters.arriving.find(engines::adapterKey(mWork.model, mWork.adapter));
    return found != inTarget.adapters.arriving.end() && found->second.version >= mWork.version;
}

/// When the load should have started. It can't start while an older version is being loaded.
core::time_point forwarded_request::loadStartLimit(const engines::endpoint &inTarget) const
{
    const auto older
        = inTarget.adapters.arriving.find(engines::adapterKey(mWork.model, mWork.adapter));
    const core::time_point from = older == inTarget.adapters.arriving.end()
        ? mWaitingSince
        : std::max(mWaitingSince, older->second.readyAt);
    return from + mContext.settings.loadStartTimeout;
}

/// Sends a waiting request if its adapter is loaded; otherwise starts a timer for the time at which
/// the load should have started or ended.
void forwarded_request::sendOrAwaitAdapter()
{
    const core::time_point now = core::boot_clock::now();
    const engines::endpoint *target = mContext.endpoints.find(mChoice.endpoint);
    if (target == nullptr || target->entry.startedMs != mEndpointStart || !mayReceive(*target)) {
        chooseAndSend();
        return;
    }
    if (isAdapterResident()) {
        send();
        return;
    }
    const auto arriving
        = target->adapters.arriving.find(engines::adapterKey(mWork.model, mWork.adapter));
    mAdapterTimer.cancel();
    if (arriving != target->adapters.arriving.end())
        uncountWaiting();
    if (arriving == target->adapters.arriving.end() || arriving->second.version < mWork.version) {
        mAdapterTimer.startOnce(std::max(core::duration::zero(), loadStartLimit(*target) - now));
    } else if (arriving->second.readyAt <= now) {
        send();
    } else {
        mAdapterTimer.startOnce(arriving->second.readyAt - now);
    }
}

void forwarded_request::endpointChanged(std::string_view inEndpoint)
{
    if (!isWaitingFor(inEndpoint))
        return;
    if (mState == state::waiting) {
        sendOrAwaitAdapter();
        return;
    }
    const engines::endpoint *target = currentTarget();
    if (target == nullptr || !mContext.endpoints.usable(*target, core::boot_clock::now()))
        chooseAndSend();
}

void forwarded_request::adapterTimerExpired()
{
    if (mState != state::waiting)
        return;
    const core::time_point now = core::boot_clock::now();
    const engines::endpoint *target = mContext.endpoints.find(mChoice.endpoint);
    const bool expected = target != nullptr
        && (isAdapterArriving(*target) || isAdapterResident() || mLoadRetries > 0);
    if (expected) {
        if (mLoadRetries > 0 && mayReceive(*target))
            send();
        else
            sendOrAwaitAdapter();
        return;
    }
    if (target == nullptr || now < loadStartLimit(*target)) {
        sendOrAwaitAdapter();
        return;
    }
    core::logEvent(core::log_level::info, "load_not_begun",
                   {{"request", mTerms.requestId},
                    {"endpoint", mChoice.endpoint},
                    {"adapter", mWork.adapter},
                    {"waited_ms", inMs(now - mWaitingSince)}});
    if (mLoadsRequested >= cMaxLoadsRequested) {
        refuseBusy("the adapter could not be loaded in time");
        return;
    }
    mWork.excluded.insert(mChoice.endpoint);
    chooseAndSend();
}

/// Tells the holder of the engine whether requests of this instance use the adapter.
void forwarded_request::sendAdapterRunning(const engines::endpoint &inTarget, bool inRunning)
{
    fleet::adapter_running change{mChoice.endpoint, mEndpointStart,
                                  engines::adapterKey(mWork.model, mWork.adapter), inRunning};
    if (inTarget.holder == mContext.instance)
        mContext.registry.post("orders", orders::local_adapter_running{std::move(change)});
    else if (!inTarget.holder.empty())
        mContext.registry.post("mesh", fleet::mesh_send{inTarget.holder, std::move(change)});
}

/// Schedules another attempt at the same engine if it refused the request because the adapter is
/// still loading or was lost. Returns false if the request must go elsewhere.
bool forwarded_request::retryWhenLoaded(std::string_view inReason)
{
    const core::time_point now = core::boot_clock::now();
    engines::endpoint &target = *mContext.endpoints.find(mChoice.endpoint);
    const std::string key = engines::adapterKey(mWork.model, mWork.adapter);
    const bool lost = mAnswer.misdirected;
    const bool loadMayBeLate = mChoice.state != engines::endpoint_choice::readiness::ready
        && now - mChoice.readyAt < cLoadTolerance;
    if (!lost && !loadMayBeLate && mLoadRetries == 0 && !target.adapters.arriving.contains(key))
        return false;
    if (mLoadRetries >= mContext.settings.maxLoadRetries || timeLeft() < cMinAttemptTime
        || !mayReceive(target) || !mContext.retries.tryRetry(mService->name, now))
        return false;
    ++mLoadRetries;
    mState = state::waiting;
    mWaitingSince = now;
    if (lost && !target.adapters.arriving.contains(key)) {
        target.adapters.resident.erase(key);
        const fleet::adapter_missing missing{mChoice.endpoint, mEndpointStart, key};
        if (target.holder == mContext.instance)
            mContext.registry.post("orders", orders::local_adapter_missing{missing});
        else
            mContext.registry.post("mesh", fleet::mesh_send{target.holder, missing});
        if (!target.holderReady)
            return false;
        requestAdapterLoad();
        mAdapterTimer.startOnce(mContext.settings.loadStartTimeout);
        return true;
    }
    core::logEvent(core::log_level::info, "attempt_deferred",
                   {{"request", mTerms.requestId},
                    {"endpoint", mChoice.endpoint},
                    {"reason", inReason},
                    {"retry", mLoadRetries}});
    mAdapterTimer.cancel();
    mAdapterTimer.startOnce(mContext.settings.loadRetryPause);
    return true;
}

} // namespace corneltally::forwarding
