#pragma once

#include "corneltally/core/boot_clock.h"

#include <chrono>
#include <cmath>

namespace corneltally::limits {

/// Recent demand in tokens per second: an exponentially weighted moving average with the time
/// constant cWindow.
class demand_meter
{
public:
    /// Equals the duration of a loan, because the demand decides how much is lent or borrowed for
    /// that time.
    static constexpr std::chrono::duration<double> cWindow{2.0};

    void add(double inTokens, core::time_point inNow)
    {
        mRate = rate(inNow) + inTokens / cWindow.count();
        mTime = inNow;
    }

    double rate(core::time_point inNow) const
    {
        const std::chrono::duration<double> elapsed = inNow - mTime;
        return elapsed.count() <= 0 ? mRate : mRate * std::exp(-elapsed / cWindow);
    }

private:
    double mRate = 0;
    core::time_point mTime;
};

} // namespace corneltally::limits
