#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/limits/token_bucket.h"

#include <chrono>

namespace corneltally::limits {

/// Limits retries to a fraction of the requests, so that retries do not amplify an overload.
class retry_budget
{
public:
    /// Retries per request.
    static constexpr double cRatio = 0.1;
    /// Retries per second that are allowed without requests. Without them, the first failure after
    /// an idle time could not be retried.
    static constexpr double cMinimumRate = 0.5;
    static constexpr double cBurst = 10;

    explicit retry_budget(core::time_point inNow)
        : mBucket(cMinimumRate, cBurst, inNow)
    { }

    /// Counts a first attempt.
    void requestStarted(core::time_point inNow) { mBucket.give(cRatio, inNow); }

    /// Counts a retry if the budget covers it; returns whether it does.
    bool tryRetry(core::time_point inNow) { return mBucket.tryTake(1, inNow); }

    double available(core::time_point inNow) { return mBucket.available(inNow); }

private:
    token_bucket mBucket;
};

/// Delay before a retry with full jitter: uniform between 0 and inBase x 2^inAttempt, at most
/// inLimit. inUniform is a random number in [0, 1).
core::duration retryDelay(int inAttempt, core::duration inBase, core::duration inLimit,
                          double inUniform);

} // namespace corneltally::limits
