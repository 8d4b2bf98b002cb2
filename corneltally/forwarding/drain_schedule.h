#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstddef>
#include <optional>

namespace corneltally::forwarding {

/// What a stopping instance does in one step.
struct drain_step
{
    bool closeIdle = false;
    bool stopListening = false;
    /// Ends the requests that still run with an answer to their callers.
    bool endRequests = false;
    bool exit = false;

    friend bool operator==(const drain_step &, const drain_step &) = default;
};

/// Decides when a stopping instance closes connections, ends requests and exits, so that everything
/// happens before the process is killed at the end of its grace period.
class drain_schedule
{
public:
    drain_schedule(core::time_point inBegan, core::duration inGrace);

    /// When the requests that still run are ended.
    core::time_point requestsEnd() const { return mBegan + mGrace - sRequestEndMargin; }

    /// Called repeatedly with the number of running requests, and of those that have begun to
    /// arrive and are not answered in full.
    drain_step next(core::time_point inNow, std::size_t inRunning, std::size_t inUnfinished);

    /// Callers still arrive for this long after the signal: the load balancer checks readiness once
    /// a second and removes an instance after two failed checks.
    static constexpr core::duration sBalancerRemovalTime = std::chrono::milliseconds(2600);
    /// The listener closes this long before the end of the grace period.
    static constexpr core::duration sListenStopMargin = std::chrono::milliseconds(1000);
    /// Requests are ended this long before the end of the grace period.
    static constexpr core::duration sRequestEndMargin = std::chrono::milliseconds(400);
    /// The process exits with the second step after this time before the end of the grace period.
    static constexpr core::duration sExitMargin = std::chrono::milliseconds(150);
    /// An instance without requests waits for this long before it exits.
    static constexpr core::duration sSettleTime = std::chrono::milliseconds(200);

private:
    core::time_point mBegan;
    core::duration mGrace;
    bool mIdleClosed = false;
    bool mRequestsEnded = false;
    /// Whether the last step was within the exit margin.
    bool mInLastPart = false;
    std::optional<core::time_point> mSettledSince;
};

} // namespace corneltally::forwarding
