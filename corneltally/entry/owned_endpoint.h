#pragma once

#include "corneltally/endpoint/engine_protocol.h"
#include "corneltally/entry/admission_messages.h"
#include "corneltally/entry/dispatch_messages.h"
#include "corneltally/entry/owned_endpoint_options.h"
#include "corneltally/entry/owned_run.h"
#include "corneltally/ownership/endpoint_ownership.h"
#include "corneltally/ownership/lease.h"
#include "corneltally/scheduling/adapter_slots.h"
#include "corneltally/scheduling/endpoint_health.h"
#include "corneltally/scheduling/endpoint_queue.h"
#include "corneltally/settings/endpoint_view.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace corneltally::entry {

/// Manages one endpoint that this instance owns or is assigned: acquires and releases ownership,
/// queues and starts runs, and loads and unloads adapters. The engine must exist as long
/// as this object calls it.
template <endpoint::engine_protocol Engine>
class owned_endpoint
{
public:
    owned_endpoint(Engine &inEngine, settings::endpoint_view inView,
                   owned_endpoint_options inOptions, owned_endpoint_hooks inHooks);

    /// Applies the settings tree: the endpoint, the limits of its queue, and the slot that keeps
    /// this instance's fencing numbers distinct from those of other instances.
    void configure(const settings::endpoint_view &inView, std::size_t inMaxQueued,
                   core::duration inPatientMaxWait, std::uint64_t inFenceSlot);

    /// Sets whether ownership::chooseOwner() assigns the endpoint to this instance.
    void setAssigned(bool inAssigned);

    /// Records a fencing number of the endpoint that another instance published.
    void observeFence(std::uint64_t inFence) { mHighestFence = std::max(mHighestFence, inFence); }

    /// Stops accepting runs. Returns the number of queued runs that were returned to their origins.
    std::size_t startDrain();

    /// Gives up ownership after a pause of the process, during which another instance may have
    /// taken the endpoint over.
    void resumeAfterPause();

    void submit(const run_submit &inSubmit);
    void cancel(const std::string &inRequestId, const std::string &inOrigin);
    /// Removes the queued runs of an instance that is no longer present.
    void dropOrigin(const std::string &inOrigin);
    /// Receives the answer to owned_endpoint_hooks::admitLoad.
    void loadAdmitted(const weight_load_result &inResult);

    /// Performs the steps that are due; to be called every few tens of milliseconds.
    void tick();

    /// Status for the dispatching instances; empty if this instance is not the owner.
    std::optional<endpoint_status> status() const;
    bool isAssigned() const { return mAssigned && !mDraining; }
    bool hasRuns() const { return !mRuns.empty(); }
    bool isOwning() const { return mTakeover.isOwning(); }
    const settings::endpoint_view &view() const { return mView; }
    /// The lease of an endpoint that does not check fencing numbers.
    ownership::lease &lease() { return mLease; }
    bool needsLease() const { return mAssigned && !mDraining && !mView.checksFencing; }
    std::string dump() const;

private:
    struct load_permit
    {
        std::string adapter;
        core::time_point since;
        bool granted = false;
    };

    struct sent_command
    {
        std::string adapter;
        std::uint64_t fence = 0;
        std::uint64_t ownership = 0;
    };

    // Ownership.
    void acquire();
    void registerFence(std::uint64_t inHighest, std::uint64_t inAttempt);
    void ownershipAcquired(std::uint64_t inFence);
    void acquireFailed(const std::string &inReason);
    void loseOwnership(const std::string &inReason);
    void handleStaleFence(std::uint64_t inUsedFence, const std::string &inReason);
    void updateLeaseState();
    void poll();
    void handleReport(const endpoint::engine_state &inState);
    void pollFailed(const std::string &inReason);

    // Runs.
    bool mayTakeRuns() const;
    bool mayResumeRuns() const;
    void queueRun(const run_submit &inSubmit);
    void resumeStream(const run_submit &inSubmit);
    void startRuns();
    void startRun(const scheduling::queued_request &inRequest);
    void resumeRun(owned_run &ioRun);
    endpoint::engine_run engineRun(const owned_run &inRun) const;
    endpoint::engine_run_events runEvents(const std::string &inRequestId);
    void handleHead(owned_run &ioRun, int inStatus, const std::string &inContentType);
    void handleEnd(const std::string &inRequestId, const endpoint::engine_run_end &inEnd);
    void handleInterruption(owned_run &ioRun, const std::string &inReason);
    void finishRun(const std::string &inRequestId, run_end inEnd, double inUsedTokens);
    void markUncertainRun(const owned_run &inRun);
    void refuse(const run_submit &inSubmit, core::error_kind inKind, const std::string &inReason);
    std::size_t refuseWaiting(core::error_kind inKind, const std::string &inReason);
    void dropEarlierRun(const std::string &inRequestId);
    void expireWaiting();
    scheduling::queued_request queueEntry(const run_submit &inSubmit) const;
    run_end makeNotRunEnd(core::error_kind inKind, const std::string &inReason) const;
    core::duration estimatedWait() const;

    // Adapters.
    bool mayCommand() const;
    bool isInUse(const std::string &inAdapter) const;
    void decideSlots();
    void requestPermit(const std::string &inAdapter);
    void returnPermit();
    void sendLoad(const std::string &inAdapter);
    void loadEnded(const sent_command &inSent, const endpoint::engine_command_result &inResult);
    void sendUnload(const std::string &inAdapter);
    void unloadEnded(const sent_command &inSent, const endpoint::engine_command_result &inResult);
    void expireUncertainUnloads();

    Engine &mEngine;
    settings::endpoint_view mView;
    owned_endpoint_options mOptions;
    owned_endpoint_hooks mHooks;
    std::uint64_t mFenceSlot = 0;
    bool mAssigned = false;
    bool mDraining = false;

    ownership::endpoint_ownership mTakeover;
    ownership::lease mLease;
    bool mLeaseHeld = false;
    /// Identify the current acquisition and the current ownership, so that answers to calls of
    /// earlier ones are discarded.
    std::uint64_t mAttempt = 0;
    std::uint64_t mOwnershipNumber = 0;
    core::time_point mNextAcquire;
    core::duration mAcquireDelay{};
    /// Delay before acquiring again after a loss; doubled for each loss within 30 s of acquisition.
    core::duration mLossDelay{};
    std::uint64_t mHighestFence = 0;
    bool mNeedsNewFence = false;
    core::time_point mAcquiredAt;

    bool mPolling = false;
    core::time_point mNextPoll;
    int mFailedPolls = 0;
    static constexpr int sFailedPollLimit = 3;
    /// A report was received since this instance acquired the endpoint.
    bool mReported = false;
    std::map<std::string, int, std::less<>> mReportedRuns;

    scheduling::endpoint_queue mQueue;
    scheduling::adapter_slots mSlots;
    scheduling::endpoint_health mHealth;
    std::map<std::string, run_submit, std::less<>> mWaiting;
    std::map<std::string, owned_run, std::less<>> mRuns;
    core::duration mServiceTime{};

    std::optional<load_permit> mPermit;
    core::time_point mNextLoad;
    /// Adapters with an unload that may still take effect, and when that is ruled out. Until then
    /// no run of these adapters starts.
    std::map<std::string, core::time_point> mUncertainUnloads;
    std::uint64_t mLoads = 0;
    std::uint64_t mFailedLoads = 0;
    std::uint64_t mUnloads = 0;
};

/// Name of an adapter version in the engine protocol: adapter@version.
std::string adapterName(std::string_view inAdapter, std::string_view inVersion);

/// Splits a name made by adapterName().
resident_adapter splitAdapterName(std::string_view inName);

} // namespace corneltally::entry

#include "corneltally/entry/owned_endpoint_adapters_impl.h"
#include "corneltally/entry/owned_endpoint_impl.h"
#include "corneltally/entry/owned_endpoint_runs_impl.h"
