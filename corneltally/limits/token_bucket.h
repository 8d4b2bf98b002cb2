#pragma once

#include "corneltally/core/boot_clock.h"

namespace corneltally::limits {

/// Token bucket with a rate and a burst. Starts empty.
class token_bucket
{
public:
    /// Tolerance for rounding errors of shares such as 49 x (1 / 49).
    static constexpr double cTolerance = 1e-6;

    token_bucket(double inRate, double inBurst, core::time_point inNow);

    /// Takes the amount if the bucket contains it.
    bool tryTake(double inAmount, core::time_point inNow);

    /// Takes the amount even if the bucket does not contain it; the refill pays the debt.
    void take(double inAmount, core::time_point inNow);

    /// Adds tokens; the excess over the burst is lost.
    void give(double inAmount, core::time_point inNow);

    /// Changes rate and burst from now on; tokens above the new burst are lost.
    void setLimits(double inRate, double inBurst, core::time_point inNow);

    /// Drops all tokens; a debt remains.
    void clear(core::time_point inNow);

    /// Tokens in the bucket; negative while there is a debt.
    double available(core::time_point inNow);

    /// Time until the bucket contains the amount; duration::max() if it never will.
    core::duration timeUntil(double inAmount, core::time_point inNow);

    double rate() const { return mRate; }
    double burst() const { return mBurst; }

private:
    void refill(core::time_point inNow);

    double mRate;
    double mBurst;
    double mLevel = 0;
    core::time_point mTime;
};

} // namespace corneltally::limits
