#include "corneltally/limits/token_bucket.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace corneltally::limits {

token_bucket::token_bucket(double inRate, double inBurst, core::time_point inNow)
    : mRate(inRate)
    , mBurst(inBurst)
    , mTime(inNow)
{
    assert(inRate >= 0 && inBurst >= 0);
}

bool token_bucket::tryTake(double inAmount, core::time_point inNow)
{
    refill(inNow);
    if (mLevel + cTolerance < inAmount)
        return false;
    mLevel -= inAmount;
    return true;
}

void token_bucket::take(double inAmount, core::time_point inNow)
{
    refill(inNow);
    mLevel -= inAmount;
}

void token_bucket::give(double inAmount, core::time_point inNow)
{
    assert(inAmount >= 0);
    refill(inNow);
    mLevel = std::min(mBurst, mLevel + inAmount);
}

void token_bucket::setLimits(double inRate, double inBurst, core::time_point inNow)
{
    assert(inRate >= 0 && inBurst >= 0);
    refill(inNow);
    mRate = inRate;
    mBurst = inBurst;
    mLevel = std::min(mLevel, mBurst);
}

void token_bucket::clear(core::time_point inNow)
{
    refill(inNow);
    mLevel = std::min(mLevel, 0.0);
}

double token_bucket::available(core::time_point inNow)
{
    refill(inNow);
    return mLevel;
}

core::duration token_bucket::timeUntil(double inAmount, core::time_point inNow)
{
    refill(inNow);
    const double missing = inAmount - mLevel;
    if (missing <= cTolerance)
        return core::duration::zero();
    if (inAmount > mBurst + cTolerance || mRate <= 0)
        return core::duration::max();
    const double microseconds = std::ceil(missing / mRate * 1e6);
    // Larger values do not fit the clock; callers treat them as "never".
    constexpr double cLongest = 1e15;
    return microseconds < cLongest ? core::duration(static_cast<core::duration::rep>(microseconds))
                                   : core::duration::max();
}

void token_bucket::refill(core::time_point inNow)
{
    if (inNow <= mTime)
        return;
    const double seconds = std::chrono::duration<double>(inNow - mTime).count();
    mLevel = std::min(mBurst, mLevel + mRate * seconds);
    mTime = inNow;
}

} // namespace corneltally::limits
