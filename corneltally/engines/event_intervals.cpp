#include "corneltally/engines/event_intervals.h"

#include <algorithm>

namespace corneltally::engines {

void event_intervals::add(core::duration inInterval)
{
    if (mIntervals.size() < sMaxIntervals)
        mIntervals.push_back(inInterval);
}

std::optional<core::duration> event_intervals::lowerQuartile() const
{
    if (mIntervals.size() < sMinIntervals)
        return std::nullopt;
    std::vector<core::duration> sorted = mIntervals;
    const auto quartile = sorted.begin() + static_cast<std::ptrdiff_t>(sorted.size() / 4);
    std::ranges::nth_element(sorted, quartile);
    return *quartile;
}

} // namespace corneltally::engines
