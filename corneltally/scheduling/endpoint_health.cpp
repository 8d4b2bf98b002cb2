#include "corneltally/scheduling/endpoint_health.h"

#include <algorithm>

namespace corneltally::scheduling {

namespace {

/// A failing endpoint keeps at least this weight while requests may be sent to it: its error rate
/// falls only through requests that succeed.
constexpr double cMinimumWeight = 0.05;

} // namespace

endpoint_health::endpoint_health(health_options inOptions)
    : mOptions(inOptions)
{ }

bool endpoint_health::mayStart(core::time_point inNow) const
{
    if (!mAllowance)
        return true;
    return inNow >= mNextProbe && mInFlight < *mAllowance;
}

void endpoint_health::started()
{
    ++mInFlight;
}

void endpoint_health::succeeded(core::duration inLatency, core::time_point inNow)
{
    removeInFlight();
    mErrorRate -= mErrorRate * mOptions.smoothing;
    if (mLatency.count() == 0)
        mLatency = inLatency;
    else
        mLatency += core::duration(static_cast<core::duration::rep>(
            static_cast<double>((inLatency - mLatency).count()) * mOptions.smoothing));
    mConsecutiveFailures = 0;
    mBackoff = {};
    mNextProbe = inNow;
    if (!mAllowance)
        return;
    *mAllowance *= 2;
    if (*mAllowance >= mOptions.fullAllowance)
        mAllowance.reset();
}

void endpoint_health::failed(core::time_point inNow)
{
    removeInFlight();
    mErrorRate += (1 - mErrorRate) * mOptions.smoothing;
    ++mConsecutiveFailures;
    if (mConsecutiveFailures < mOptions.failureLimit && !mAllowance)
        return;
    // Requests that were already in flight fail together and raise the back-off only once.
    if (mAllowance && inNow < mNextProbe)
        return;
    mAllowance = 1;
    mBackoff = mBackoff.count() == 0 ? mOptions.firstBackoff
                                     : std::min(mOptions.maxBackoff, mBackoff * 2);
    mNextProbe = inNow + mBackoff;
}

void endpoint_health::abandoned()
{
    removeInFlight();
}

double endpoint_health::weight(core::time_point inNow, core::duration inTypicalLatency) const
{
    if (!mayStart(inNow))
        return 0;
    const double allowed
        = mAllowance ? static_cast<double>(*mAllowance) / mOptions.fullAllowance : 1.0;
    double speed = 1;
    if (inTypicalLatency.count() > 0 && mLatency > inTypicalLatency * 2)
        speed = 2 * static_cast<double>(inTypicalLatency.count())
            / static_cast<double>(mLatency.count());
    return std::max(cMinimumWeight, allowed * (1 - mErrorRate) * speed);
}

void endpoint_health::removeInFlight()
{
    mInFlight = std::max(0, mInFlight - 1);
}

} // namespace corneltally::scheduling
