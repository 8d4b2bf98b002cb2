#include "corneltally/limits/fleet_retry_budget.h"

#include <algorithm>
#include <numeric>

namespace corneltally::limits {

fleet_retry_budget::counts &fleet_retry_budget::advance(std::string_view inService,
                                                        core::time_point inNow)
{
    const auto found = mServices.find(inService);
    counts &target = found != mServices.end() ? found->second : mServices[std::string(inService)];
    const long long slice = inNow.time_since_epoch() / (mLimits.window / sSlices);
    const long long passed = std::min<long long>(slice - target.slice, sSlices);
    for (long long step = 0; step < passed; ++step) {
        const auto index = static_cast<std::size_t>((slice - step) % sSlices);
        target.requests[index] = 0;
        target.repeats[index] = 0;
    }
    target.slice = std::max(target.slice, slice);
    return target;
}

void fleet_retry_budget::arrived(std::string_view inService, core::time_point inNow)
{
    counts &target = advance(inService, inNow);
    ++target.requests[static_cast<std::size_t>(target.slice % sSlices)];
}

bool fleet_retry_budget::tryRepeat(std::string_view inService, core::time_point inNow)
{
    counts &target = advance(inService, inNow);
    const auto sum = [](const auto &inCounts) {
        return std::accumulate(inCounts.begin(), inCounts.end(), 0.0);
    };
    const double bound = mLimits.usable
        * (mLimits.ratio * sum(target.requests) + mLimits.slack / std::max(1, mInstances));
    if (sum(target.repeats) + 1 > bound)
        return false;
    ++target.repeats[static_cast<std::size_t>(target.slice % sSlices)];
    return true;
}

} // namespace corneltally::limits
