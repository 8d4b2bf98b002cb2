#include "corneltally/engines/engine_pace.h"

#include <algorithm>
#include <cmath>

namespace corneltally::engines {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

/// Shorter intervals count as this; they come from events that were received together.
constexpr double cMinIntervalMs = 1;

} // namespace

void engine_pace::observe(core::duration inInterval, core::time_point inNow)
{
    const double seen = std::log(std::max(cMinIntervalMs, milliseconds(inInterval).count()));
    if (mAnswers == 0 || inNow - mLastAt > sMaxAge) {
        mLogInterval = seen;
        mAnswers = 1;
    } else {
        const double most = std::log(sMaxDeviation);
        ++mAnswers;
        mLogInterval
            += std::max(sWeight, 1.0 / mAnswers) * std::clamp(seen - mLogInterval, -most, most);
    }
    mLastAt = inNow;
}

std::optional<core::duration> engine_pace::interval(core::time_point inNow) const
{
    if (mAnswers == 0 || inNow - mLastAt > sMaxAge)
        return std::nullopt;
    return std::chrono::duration_cast<core::duration>(milliseconds(std::exp(mLogInterval)));
}

double engine_pace::relativeTime(core::duration inTypical, core::time_point inNow) const
{
    if (inTypical <= core::duration::zero() || mAnswers == 0 || inNow - mLastAt > sMaxAge)
        return 1;
    const double difference = mLogInterval - std::log(milliseconds(inTypical).count());
    const double trust = mAnswers / (mAnswers + sHalfTrust);
    return std::clamp(std::exp(difference * trust), sMinRelative, sMaxRelative);
}

core::duration typicalInterval(std::vector<core::duration> inIntervals)
{
    if (inIntervals.empty())
        return {};
    const auto middle = inIntervals.begin() + static_cast<std::ptrdiff_t>(inIntervals.size() / 2);
    std::ranges::nth_element(inIntervals, middle);
    return *middle;
}

} // namespace corneltally::engines
