#pragma once

#include "corneltally/core/boot_clock.h"

namespace corneltally::limits {

/// Tokens that accumulate at a rate up to a burst. Starts empty.
class token_bucket
{
public:
    /// Amounts below this are rounding errors of shares such as 49 x (1 / 49).
    static constexpr double cTolerance = 1e-6;

    token_bucket(double inRate, double inBurst, core::time_point inNow);

    /// Takes the amount if the bucket holds it.
    bool tryTake(double inAmount, core::time_point inNow);

    /// Takes the amount even if the bucket does not hold it; the debt is paid from the refill.
    void take(double inAmount, core::time_point inNow);

    /// Adds tokens; what exceeds the burst is lost.
    void give(double inAmount, core::time_point inNow);

    /// Changes rate and burst from now on; content above the new burst is lost.
    void setLimits(double inRate, double inBurst, core::time_point inNow);

    /// Loses all content.
    void clear(core::time_point inNow);

    /// Content; negative while there is a debt.
    double available(core::time_point inNow);

    /// Time until the bucket holds the amount; duration::max() if it never will.
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
