#pragma once

#include "corneltally/core/boot_clock.h"

namespace standins {

/// Token bucket of a platform service. Independent of the daemon's own, which it is used to check.
class rate_bucket
{
public:
    rate_bucket(double inPerSecond, double inBurst)
        : mPerSecond(inPerSecond)
        , mBurst(inBurst)
        , mLevel(inBurst)
    { }

    bool tryTake(corneltally::core::time_point inNow)
    {
        if (mLast.time_since_epoch().count() != 0) {
            const std::chrono::duration<double> passed = inNow - mLast;
            mLevel += passed.count() * mPerSecond;
        }
        mLast = inNow;
        if (mLevel > mBurst)
            mLevel = mBurst;
        if (mLevel < 1)
            return false;
        mLevel -= 1;
        return true;
    }

private:
    double mPerSecond;
    double mBurst;
    double mLevel;
    corneltally::core::time_point mLast;
};

} // namespace standins
