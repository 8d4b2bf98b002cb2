#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/endpoint/service_client.h"
#include "corneltally/entry/dispatched_run.h"
#include "corneltally/entry/endpoint_directory.h"
#include "corneltally/entry/peers_messages.h"
#include "corneltally/kernel/service.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/limits/retry_budget.h"

#include <memory>
#include <random>
#include <string>
#include <string_view>
#include <unordered_map>

namespace corneltally::kernel {
class service_registry;
}

namespace corneltally::core {
class metrics;
}

namespace corneltally::entry {

/// Runs the requests of this instance's callers: chooses an endpoint, sends the run to its owner or
/// to the application service, forwards the answer, and retries or resumes after failures.
class dispatch_service : public kernel::service
{
public:
    dispatch_service(kernel::service_registry &inRegistry, core::metrics &inMetrics,
                     std::string inInstance);
    ~dispatch_service() override;

    std::string_view name() const override { return "dispatch"; }
    void start() override;
    std::string dump() const override;

private:
    using run_map = std::unordered_map<std::string, std::unique_ptr<dispatched_run>>;

    void startRun(const run &inRun);
    void abandon(const std::string &inRequestId);

    void attempt(dispatched_run &ioRun);
    void attemptModel(dispatched_run &ioRun, core::time_point inNow);
    void attemptService(dispatched_run &ioRun, core::time_point inNow);
    void resume(dispatched_run &ioRun, core::time_point inNow);
    void submit(dispatched_run &ioRun, const std::string &inOwner, core::time_point inNow);
    void waitForEndpoint(dispatched_run &ioRun, core::time_point inNow);

    void handleEvent(const run_event &inEvent, const std::string &inFrom);
    void handleChunk(dispatched_run &ioRun, const run_chunk &inChunk);
    void handleServiceAnswer(const std::string &inRequestId,
                             const endpoint::service_result &inAnswer);
    void handleEnd(dispatched_run &ioRun, run_end inEnd);
    void handleFailedAttempt(dispatched_run &ioRun, run_end inEnd);
    void repeatOrFinish(dispatched_run &ioRun, run_end inEnd, bool inUseRetryBudget);
    void handleOwnerLost(dispatched_run &ioRun, std::string_view inReason);
    void handleStreamLost(dispatched_run &ioRun, std::string_view inReason);

    void releaseEndpoint(dispatched_run &ioRun, const run_end &inEnd);
    void cancelAtOwner(const dispatched_run &inRun);
    void finish(dispatched_run &ioRun, run_end inEnd);
    void forward(const dispatched_run &inRun, run_event inEvent);

    void applyPeers(const peers_changed &inChange);
    void handlePeerLost(const peer_lost &inLost);
    void sweep();
    void sweepRun(dispatched_run &ioRun, core::time_point inNow);
    bool takeRetryBudget();

    kernel::service_registry &mRegistry;
    core::metrics &mMetrics;
    std::string mInstance;
    endpoint_directory mDirectory;
    endpoint::service_client mServiceClient;
    kernel::timer mSweep;
    run_map mRuns;
    std::mt19937_64 mRandom;
    limits::retry_budget mRetryBudget;
    core::time_point mLastPrune;
};

} // namespace corneltally::entry
