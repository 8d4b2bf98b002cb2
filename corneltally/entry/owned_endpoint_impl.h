#pragma once

// Ownership, reports and status of owned_endpoint; included by owned_endpoint.h.

#include "corneltally/core/json_log.h"
#include "corneltally/entry/owned_endpoint.h"
#include "corneltally/ownership/fence.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace corneltally::entry {

template <endpoint::engine_protocol Engine>
owned_endpoint<Engine>::owned_endpoint(Engine &inEngine, settings::endpoint_view inView,
                                       owned_endpoint_options inOptions,
                                       owned_endpoint_hooks inHooks)
    : mEngine(inEngine)
    , mView(std::move(inView))
    , mOptions(std::move(inOptions))
    , mHooks(std::move(inHooks))
    , mLease(mView.name, mOptions.instance, mOptions.incarnation, mOptions.leaseLength,
             mOptions.firstLeaseSequence)
{ }

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::configure(const settings::endpoint_view &inView,
                                       std::size_t inMaxQueued, core::duration inPatientMaxWait,
                                       std::uint64_t inFenceSlot)
{
    const bool fencingChanged = inView.checksFencing != mView.checksFencing;
    mView = inView;
    mFenceSlot = inFenceSlot;
    scheduling::queue_options queue = mQueue.options();
    queue.runSlots = mView.runSlots;
    queue.maxQueued = inMaxQueued;
    queue.patientMaxWait = inPatientMaxWait;
    mQueue.configure(queue);
    mSlots.configure({.slots = mView.adapterSlots});
    if (mView.leaving)
        refuseWaiting(core::error_kind::unavailable, "the endpoint is leaving");
    if (fencingChanged && mTakeover.current() != ownership::endpoint_ownership::phase::not_owner)
        loseOwnership("the endpoint's fencing setting changed");
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::setAssigned(bool inAssigned)
{
    if (std::exchange(mAssigned, inAssigned) == inAssigned)
        return;
    if (inAssigned) {
        // After a loss the queue is already empty; an ownership that is being released is dropped
        // and acquired again with a new number.
        if (mTakeover.current() == ownership::endpoint_ownership::phase::releasing)
            mTakeover.lost();
        mNextAcquire = mHooks.now();
        return;
    }
    refuseWaiting(core::error_kind::unavailable, "another instance owns the endpoint");
    ++mAttempt;
    returnPermit();
    mLease.drop();
    mTakeover.release();
}

template <endpoint::engine_protocol Engine>
std::size_t owned_endpoint<Engine>::startDrain()
{
    mDraining = true;
    const std::size_t returned
        = refuseWaiting(core::error_kind::unavailable, "the instance is shutting down");
    ++mAttempt;
    returnPermit();
    mTakeover.release();
    return returned;
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::resumeAfterPause()
{
    mLease.drop();
    mLeaseHeld = false;
    if (mTakeover.current() != ownership::endpoint_ownership::phase::not_owner)
        loseOwnership("the process was paused");
    mNextAcquire = mHooks.now();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::tick()
{
    using phase = ownership::endpoint_ownership::phase;
    const core::time_point now = mHooks.now();
    if (mAssigned && !mDraining && now >= mNextAcquire
        && (mTakeover.current() == phase::not_owner || (isOwning() && mNeedsNewFence)))
        acquire();
    if (mTakeover.current() == phase::releasing && mRuns.empty())
        mTakeover.lost();
    updateLeaseState();
    const bool holds = isOwning() || mTakeover.current() == phase::releasing;
    if (holds && !mPolling && now >= mNextPoll)
        poll();
    expireWaiting();
    std::vector<std::string> due;
    for (const auto &[id, running] : mRuns) {
        if (running.resumeAt && now >= *running.resumeAt)
            due.push_back(id);
    }
    for (const std::string &id : due)
        resumeRun(mRuns.find(id)->second);
    expireUncertainUnloads();
    startRuns();
    decideSlots();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::acquire()
{
    const std::uint64_t attempt = ++mAttempt;
    const bool isNew = !isOwning();
    mNeedsNewFence = false;
    mTakeover.acquire();
    if (isNew) {
        ++mOwnershipNumber;
        mReported = false;
        mPolling = false;
        mFailedPolls = 0;
        mReportedRuns.clear();
        mSlots.clear();
    }
    if (!mView.checksFencing) {
        ownershipAcquired(0);
        return;
    }
    mEngine.readFence([this, attempt](const endpoint::engine_fence_result &inResult) {
        if (attempt != mAttempt)
            return;
        if (inResult.outcome == endpoint::engine_outcome::completed)
            registerFence(inResult.highest, attempt);
        else
            acquireFailed(inResult.reason);
    });
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::registerFence(std::uint64_t inHighest, std::uint64_t inAttempt)
{
    // A restarted endpoint may have lost the numbers that this or other instances registered.
    const std::uint64_t fence
        = ownership::nextFence(std::max({inHighest, mTakeover.fence(), mHighestFence}), mFenceSlot);
    mEngine.registerFence(fence,
                          [this, fence, inAttempt](const endpoint::engine_fence_result &inResult) {
                              if (inAttempt != mAttempt)
                                  return;
                              if (inResult.outcome == endpoint::engine_outcome::completed)
                                  ownershipAcquired(fence);
                              else
                                  acquireFailed(inResult.reason);
                          });
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::ownershipAcquired(std::uint64_t inFence)
{
    const core::time_point now = mHooks.now();
    if (mView.checksFencing)
        mTakeover.acquired(inFence, now);
    else
        mTakeover.acquiredUnfenced(now, now + mOptions.longestRequest);
    mAcquiredAt = now;
    mAcquireDelay = {};
    mNextPoll = now;
    // The endpoint now rejects unloads that are still in flight with the old number.
    if (mView.checksFencing) {
        for (auto &[adapter, until] : mUncertainUnloads)
            until = now;
    }
    core::logEvent(core::log_level::info, "endpoint_owned",
                   {{"endpoint", mView.name}, {"fence", inFence}});
    tick();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::acquireFailed(const std::string &inReason)
{
    loseOwnership(inReason);
    mAcquireDelay = std::clamp<core::duration>(mAcquireDelay * 2, std::chrono::milliseconds(250),
                                               std::chrono::seconds(2));
    mNextAcquire = mHooks.now() + mAcquireDelay;
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::loseOwnership(const std::string &inReason)
{
    core::logEvent(core::log_level::warning, "endpoint_lost",
                   {{"endpoint", mView.name},
                    {"fence", mTakeover.fence()},
                    {"reason", inReason},
                    {"running", mRuns.size()}});
    ++mAttempt;
    ++mOwnershipNumber;
    mTakeover.lost();
    mPolling = false;
    returnPermit();
    refuseWaiting(core::error_kind::unavailable, "this instance no longer owns the endpoint");
    // Two instances that cannot reach each other take the endpoint over from each other. The
    // growing delay lets each keep it longer, and the offset by slot keeps their attempts apart.
    const core::time_point now = mHooks.now();
    if (now - mAcquiredAt > std::chrono::seconds(30))
        mLossDelay = {};
    mLossDelay = std::clamp<core::duration>(mLossDelay * 2, std::chrono::milliseconds(500),
                                            std::chrono::seconds(8));
    mNextAcquire = now + mLossDelay + std::chrono::milliseconds(50 * (mFenceSlot % 8));
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::handleStaleFence(std::uint64_t inUsedFence,
                                              const std::string &inReason)
{
    // The rejection of a number that this instance replaced itself does not mean a loss.
    if (isOwning() && inUsedFence == mTakeover.fence())
        loseOwnership(inReason);
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::updateLeaseState()
{
    if (mView.checksFencing)
        return;
    const core::time_point now = mHooks.now();
    const bool held = mLease.isHeld(now);
    // While the lease was not held, another instance may have sent commands to the endpoint.
    if (held && !mLeaseHeld && isOwning())
        mTakeover.acquiredUnfenced(now, now + mOptions.longestRequest);
    mLeaseHeld = held;
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::poll()
{
    mPolling = true;
    mNextPoll = mHooks.now() + mOptions.pollPeriod;
    mEngine.readState([this, number = mOwnershipNumber](const endpoint::engine_state &inState) {
        if (number != mOwnershipNumber)
            return;
        mPolling = false;
        if (inState.outcome == endpoint::engine_outcome::completed)
            handleReport(inState);
        else
            pollFailed(inState.reason);
    });
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::handleReport(const endpoint::engine_state &inState)
{
    if (mView.checksFencing && isOwning() && inState.fence > mTakeover.fence()) {
        loseOwnership("the endpoint reports a greater fencing number");
        return;
    }
    // The endpoint restarted and accepts the numbers of earlier owners again.
    if (mView.checksFencing && isOwning() && inState.fence < mTakeover.fence()
        && inState.describedAt > mAcquiredAt)
        mNeedsNewFence = true;
    mFailedPolls = 0;
    std::vector<ownership::adapter_use> uses;
    std::vector<std::string> resident;
    std::vector<std::string> loading;
    mReportedRuns.clear();
    for (const endpoint::engine_adapter &entry : inState.resident) {
        resident.push_back(adapterName(entry.adapter, entry.version));
        uses.push_back({resident.back(), entry.running});
        mReportedRuns[resident.back()] = entry.running;
    }
    for (const endpoint::engine_adapter &entry : inState.loading)
        loading.push_back(adapterName(entry.adapter, entry.version));
    mTakeover.reported(uses, inState.describedAt);
    mSlots.adaptersReported(resident, loading, inState.describedAt, mHooks.now());
    mSlots.prune(mHooks.now());
    mReported = true;
    startRuns();
    decideSlots();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::pollFailed(const std::string &inReason)
{
    if (++mFailedPolls != sFailedPollLimit)
        return;
    core::logEvent(core::log_level::warning, "endpoint_unreachable",
                   {{"endpoint", mView.name}, {"reason", inReason}});
    refuseWaiting(core::error_kind::unavailable, "the endpoint does not answer");
}

template <endpoint::engine_protocol Engine>
std::optional<endpoint_status> owned_endpoint<Engine>::status() const
{
    using phase = ownership::endpoint_ownership::phase;
    // Renewing the fencing number takes a round trip, during which the endpoint stays owned.
    const bool isRenewing = mTakeover.current() == phase::acquiring && mReported;
    if (!isOwning() && !isRenewing)
        return std::nullopt;
    endpoint_status status;
    status.endpoint = mView.name;
    status.owner = mOptions.instance;
    status.fence = mTakeover.fence();
    status.accepting = (mayTakeRuns() || (isRenewing && !mView.leaving))
        && mQueue.queuedCount() < mQueue.options().maxQueued && mHealth.mayStart(mHooks.now());
    for (const std::string &name : mSlots.adaptersIn(scheduling::adapter_slots::state::resident)) {
        if (mSlots.mayStart(name))
            status.resident.push_back(splitAdapterName(name));
    }
    for (const std::string &name : mSlots.adaptersIn(scheduling::adapter_slots::state::loading))
        status.loading.push_back(splitAdapterName(name));
    status.running = mQueue.runningCount();
    status.queued = static_cast<int>(mQueue.queuedCount());
    status.queuedTokens = mQueue.queuedTokens();
    status.estimatedWait = estimatedWait();
    return status;
}

template <endpoint::engine_protocol Engine>
core::duration owned_endpoint<Engine>::estimatedWait() const
{
    if (mQueue.hasFreeSlot())
        return {};
    const int slots = std::max(1, mQueue.options().runSlots);
    return mServiceTime * (static_cast<int>(mQueue.queuedCount()) + 1) / slots;
}

template <endpoint::engine_protocol Engine>
std::string owned_endpoint<Engine>::dump() const
{
    std::string text = "{\"endpoint\":\"" + core::jsonEscape(mView.name) + "\",\"phase\":\"";
    text.append(ownership::toString(mTakeover.current()));
    text.append("\",\"wanted\":").append(mAssigned ? "true" : "false");
    text.append(",\"fence\":").append(std::to_string(mTakeover.fence()));
    text.append(",\"lease_offset\":").append(std::to_string(mLease.offset()));
    text.append(",\"lease_held\":").append(mLease.isHeld(mHooks.now()) ? "true" : "false");
    text.append(",\"reported\":").append(mReported ? "true" : "false");
    text.append(",\"failed_polls\":").append(std::to_string(mFailedPolls));
    text.append(",\"probing\":").append(mHealth.isProbing() ? "true" : "false");
    text.append(",\"running\":").append(std::to_string(mQueue.runningCount()));
    text.append(",\"queued\":").append(std::to_string(mQueue.queuedCount()));
    text.append(",\"queued_tokens\":").append(std::to_string(mQueue.queuedTokens()));
    text.append(",\"loads\":").append(std::to_string(mLoads));
    text.append(",\"failed_loads\":").append(std::to_string(mFailedLoads));
    text.append(",\"unloads\":").append(std::to_string(mUnloads));
    text.append(",\"adapters\":[");
    using state = scheduling::adapter_slots::state;
    bool first = true;
    for (const auto &[which, label] :
         {std::pair{state::resident, "resident"}, std::pair{state::loading, "loading"},
          std::pair{state::unloading, "unloading"}}) {
        for (const std::string &name : mSlots.adaptersIn(which)) {
            text.append(std::exchange(first, false) ? "{" : ",{");
            text.append("\"name\":\"").append(core::jsonEscape(name)).append("\",\"state\":\"");
            text.append(label).append("\",\"in_use\":").append(isInUse(name) ? "true" : "false");
            text.append(",\"retiring\":").append(mSlots.isRetiring(name) ? "true" : "false");
            text.append(",\"running\":").append(std::to_string(mQueue.runningOf(name)));
            text.append(",\"queued\":").append(std::to_string(mQueue.queuedOf(name))).append("}");
        }
    }
    return text.append("]}");
}

} // namespace corneltally::entry
