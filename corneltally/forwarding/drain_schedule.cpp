#include "corneltally/forwarding/drain_schedule.h"

namespace corneltally::forwarding {

drain_schedule::drain_schedule(core::time_point inBegan, core::duration inGrace)
    : mBegan(inBegan)
    , mGrace(inGrace)
{ }

drain_step drain_schedule::next(core::time_point inNow, std::size_t inRunning,
                                std::size_t inUnfinished)
{
    const core::duration elapsed = inNow - mBegan;
    drain_step step;
    // The listener stays open until late, since callers may have no other instance to connect to
    // while several instances drain.
    step.stopListening = elapsed >= mGrace - sListenStopMargin;
    step.endRequests = !mRequestsEnded && elapsed >= mGrace - sRequestEndMargin;
    mRequestsEnded = mRequestsEnded || step.endRequests;
    // A late event loop may have read requests, and ended others, whose answers it has not sent
    // yet.
    const bool isLastPart = elapsed >= mGrace - sExitMargin;
    step.exit = isLastPart && mInLastPart;
    mInLastPart = isLastPart;
    if (step.exit || (elapsed < sBalancerRemovalTime && !mRequestsEnded))
        return step;
    step.closeIdle = !mIdleClosed;
    mIdleClosed = true;
    if (inRunning > 0 || inUnfinished > 0) {
        mSettledSince.reset();
        return step;
    }
    // Closing connections need some time to send their last bytes, and those that wait in the
    // listener's queue to send their request.
    if (!mSettledSince) {
        step.stopListening = true;
        mSettledSince = inNow;
    }
    step.exit = inNow - *mSettledSince > sSettleTime;
    return step;
}

} // namespace corneltally::forwarding
