#pragma once

// Loads and unloads of owned_endpoint; included by owned_endpoint.h.

#include "corneltally/core/json_log.h"
#include "corneltally/entry/owned_endpoint.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace corneltally::entry {

template <endpoint::engine_protocol Engine>
bool owned_endpoint<Engine>::mayCommand() const
{
    if (!isOwning() || !mReported || mView.leaving || mDraining || mNeedsNewFence)
        return false;
    return mView.checksFencing || mLease.isHeld(mHooks.now());
}

template <endpoint::engine_protocol Engine>
bool owned_endpoint<Engine>::isInUse(const std::string &inAdapter) const
{
    if (mOptions.ignoreUnknownUse)
        return mQueue.runningOf(inAdapter) > 0;
    const auto reported = mReportedRuns.find(inAdapter);
    return mQueue.runningOf(inAdapter) > 0 || mTakeover.isQuarantined(inAdapter)
        || (reported != mReportedRuns.end() && reported->second > 0);
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::decideSlots()
{
    static constexpr core::duration cPermitLimit = std::chrono::seconds(2);
    const core::time_point now = mHooks.now();
    if (!mayCommand() || now < mNextLoad)
        return;
    if (mPermit && now - mPermit->since >= cPermitLimit) {
        // No adapter slot was freed in time, or the answer of the admission service was lost.
        returnPermit();
        mNextLoad = now + std::chrono::milliseconds(250);
        return;
    }
    const scheduling::slot_decision decision = mSlots.decide(
        mQueue.demand(now), [this](const std::string &inName) { return isInUse(inName); }, now);
    if (decision.kind == scheduling::slot_decision::action::none)
        return;
    // Unloads only once the following load is admitted; until then the resident adapter can serve.
    if (!mPermit) {
        requestPermit(decision.adapterToLoad);
    } else if (mPermit->granted) {
        if (decision.kind == scheduling::slot_decision::action::unload)
            sendUnload(decision.adapter);
        else if (mQueue.queuedOf(mPermit->adapter) > 0
                 && mSlots.stateOf(mPermit->adapter) == scheduling::adapter_slots::state::absent)
            sendLoad(std::string(mPermit->adapter));
        else
            returnPermit();
    }
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::requestPermit(const std::string &inAdapter)
{
    mPermit = load_permit{inAdapter, mHooks.now(), false};
    const resident_adapter parts = splitAdapterName(inAdapter);
    mHooks.admitLoad(parts.adapter, parts.version);
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::loadAdmitted(const weight_load_result &inResult)
{
    const std::string name = adapterName(inResult.adapter, inResult.version);
    const bool isAwaited = mPermit && !mPermit->granted && mPermit->adapter == name;
    if (!isAwaited) {
        if (inResult.granted)
            mHooks.loadDone(inResult.adapter, inResult.version);
        return;
    }
    if (!inResult.granted) {
        mPermit.reset();
        mNextLoad = mHooks.now()
            + std::max<core::duration>(inResult.retryAfter, std::chrono::milliseconds(20));
        return;
    }
    mPermit->granted = true;
    mPermit->since = mHooks.now();
    decideSlots();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::returnPermit()
{
    if (!mPermit)
        return;
    const resident_adapter parts = splitAdapterName(mPermit->adapter);
    // If the permit is granted later, loadAdmitted() returns it.
    const bool granted = mPermit->granted;
    mPermit.reset();
    if (granted)
        mHooks.loadDone(parts.adapter, parts.version);
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::sendLoad(const std::string &inAdapter)
{
    mPermit.reset();
    mSlots.loadStarted(inAdapter, mHooks.now());
    const resident_adapter parts = splitAdapterName(inAdapter);
    const sent_command sent{inAdapter, mTakeover.fence(), mOwnershipNumber};
    mEngine.load(parts.adapter, parts.version, sent.fence,
                 [this, sent](const endpoint::engine_command_result &inResult) {
                     loadEnded(sent, inResult);
                 });
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::loadEnded(const sent_command &inSent,
                                       const endpoint::engine_command_result &inResult)
{
    const bool loaded = inResult.outcome == endpoint::engine_outcome::completed;
    ++(loaded ? mLoads : mFailedLoads);
    core::logEvent(loaded ? core::log_level::info : core::log_level::warning,
                   loaded ? "adapter_loaded" : "adapter_load_failed",
                   {{"endpoint", mView.name},
                    {"adapter", inSent.adapter},
                    {"reason", loaded ? std::string_view() : inResult.reason}});
    const resident_adapter parts = splitAdapterName(inSent.adapter);
    mHooks.loadDone(parts.adapter, parts.version);
    if (inSent.ownership != mOwnershipNumber)
        return;
    mSlots.loadEnded(inSent.adapter, loaded, mHooks.now());
    if (inResult.outcome == endpoint::engine_outcome::stale_fence)
        handleStaleFence(inSent.fence, inResult.reason);
    startRuns();
    decideSlots();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::sendUnload(const std::string &inAdapter)
{
    assert(mayCommand() && !isInUse(inAdapter));
    mSlots.unloadStarted(inAdapter);
    mUncertainUnloads[inAdapter] = core::time_point::max();
    const resident_adapter parts = splitAdapterName(inAdapter);
    const sent_command sent{inAdapter, mTakeover.fence(), mOwnershipNumber};
    mEngine.unload(parts.adapter, parts.version, sent.fence,
                   [this, sent](const endpoint::engine_command_result &inResult) {
                       unloadEnded(sent, inResult);
                   });
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::unloadEnded(const sent_command &inSent,
                                         const endpoint::engine_command_result &inResult)
{
    using outcome = endpoint::engine_outcome;
    if (inResult.outcome == outcome::unknown) {
        // The unload may still take effect. Runs of the adapter do not start until a new fencing
        // number or the elapsed time rules that out.
        if (mView.checksFencing)
            mNeedsNewFence = true;
        else
            mUncertainUnloads[inSent.adapter] = mHooks.now() + mOptions.longestRequest;
        return;
    }
    mUncertainUnloads.erase(inSent.adapter);
    if (inSent.ownership != mOwnershipNumber)
        return;
    const bool gone
        = inResult.outcome == outcome::completed || inResult.outcome == outcome::not_resident;
    mUnloads += gone ? 1 : 0;
    mSlots.unloadEnded(inSent.adapter, gone, mHooks.now());
    if (inResult.outcome == outcome::stale_fence)
        handleStaleFence(inSent.fence, inResult.reason);
    decideSlots();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::expireUncertainUnloads()
{
    const core::time_point now = mHooks.now();
    std::erase_if(mUncertainUnloads, [&](const auto &inEntry) {
        if (inEntry.second > now)
            return false;
        // The next report shows whether the adapter is still resident.
        mSlots.unloadEnded(inEntry.first, false, now);
        return true;
    });
}

} // namespace corneltally::entry
