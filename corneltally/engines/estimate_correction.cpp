#include "corneltally/engines/estimate_correction.h"

#include <algorithm>

namespace corneltally::engines {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

/// Factor by which the weight of a pair falls with each later one.
constexpr double cAging = 0.995;
/// Pairs of the start: no time for no prompt, and a typical prompt in its estimated time.
constexpr double cInitialWeight = 4;
constexpr double cInitialEstimateMs = 200;
/// A time counts at most as this multiple of its correction, or its part: it may contain a wait
/// that has nothing to do with the prompt.
constexpr double cMaxDeviation = 2.5;
constexpr double cMinDeviationMs = 20;
constexpr double cMaxOffsetMs = 500;
constexpr double cMinFactor = 0.25;
constexpr double cMaxFactor = 8;

} // namespace

void estimate_correction::observe(core::duration inEstimate, core::duration inSeen)
{
    if (mWeight == 0) {
        mWeight = 2 * cInitialWeight;
        mSumX = mSumY = cInitialWeight * cInitialEstimateMs;
        mSumXX = mSumXY = cInitialWeight * cInitialEstimateMs * cInitialEstimateMs;
    }
    const double estimate = milliseconds(inEstimate).count();
    const double expected = std::max(cMinDeviationMs, milliseconds(corrected(inEstimate)).count());
    const double seen = std::clamp(milliseconds(inSeen).count(), expected / cMaxDeviation,
                                   expected * cMaxDeviation);
    for (double *sum : {&mWeight, &mSumX, &mSumY, &mSumXX, &mSumXY})
        *sum *= cAging;
    mWeight += 1;
    mSumX += estimate;
    mSumY += seen;
    mSumXX += estimate * estimate;
    mSumXY += estimate * seen;
    fit();
}

void estimate_correction::fit()
{
    const double variance = mWeight * mSumXX - mSumX * mSumX;
    const double slope = variance > 0 ? (mWeight * mSumXY - mSumX * mSumY) / variance : mFactor;
    mFactor = std::clamp(slope, cMinFactor, cMaxFactor);
    mOffset = std::clamp((mSumY - mFactor * mSumX) / mWeight, 0.0, cMaxOffsetMs);
    // Without an offset below zero, the line still passes through the mean of the pairs.
    if (mOffset == 0 && mSumX > 0)
        mFactor = std::clamp(mSumY / mSumX, cMinFactor, cMaxFactor);
}

core::duration estimate_correction::corrected(core::duration inEstimate) const
{
    return std::chrono::duration_cast<core::duration>(
        milliseconds(mOffset + mFactor * milliseconds(inEstimate).count()));
}

} // namespace corneltally::engines
