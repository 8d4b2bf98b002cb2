#pragma once

#include "corneltally/core/boot_clock.h"

namespace corneltally::engines {

/// Learns how the time to the first event of a service depends on its estimate, from answers: a
/// line fitted by least squares to the recent pairs of both. Engines differ in the tokens that they
/// prefill in a millisecond, and each first event waits for the engine's step in progress.
class estimate_correction
{
public:
    /// Adds the time to the first event of an answer and its estimate without correction.
    void observe(core::duration inEstimate, core::duration inSeen);

    core::duration corrected(core::duration inEstimate) const;

private:
    void fit();

    /// Weighted sums over pairs (estimate, seen) in milliseconds. They begin with pairs for which
    /// the estimate was right.
    double mWeight = 0;
    double mSumX = 0;
    double mSumY = 0;
    double mSumXX = 0;
    double mSumXY = 0;
    double mOffset = 0;
    double mFactor = 1;
};

} // namespace corneltally::engines
