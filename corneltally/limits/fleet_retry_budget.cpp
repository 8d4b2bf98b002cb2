#include "corneltally/limits/fleet_retry_budget.h"

#include <algorithm>
#include <numeric>

namespace corneltally::limits {

fleet_retry_budget::counts &fleet_retry_budget::advance(std::string_view inService,
                                                        core::time_point inNow)
{
    const auto found = mServices.find(inService);
    counts &target = found != mServices.end() ? found->second : mServices[std::string(inService)];
    const long long slice = inNow.time_since_epoch() / (mLimits.window / cSlices);
    const long long passed = std::min<long long>(slice - target.slice, cSlices);
    for (long long step = 0; step < passed; ++step) {
        const auto index = static_cast<std::size_t>((slice - step) % cSlices);
        target.requests[index] = 0;
        target.retries[index] = 0;
    }
    target.slice = std::max(target.slice, slice);
    return target;
}

void fleet_retry_budget::requestArrived(std::string_view inService, core::time_point inNow)
{
    counts &target = advance(inService, inNow);
    ++target.requests[static_cast<std::size_t>(target.slice % cSlices)];
}

bool fleet_retry_budget::tryRetry(std::string_view inService, core::time_point inNow)
{
    counts &target = advance(inService, inNow);
    const auto sum = [](const auto &inCounts) {
        return std::accumulate(inCounts.begin(), inCounts.end(), 0.0);
    };
    const double bound = mLimits.usable
        * (mLimits.ratio * sum(target.requests) + mLimits.slack / std::max(1, mInstanceCount));
    if (sum(target.retries) + 1 > bound)
        return false;
    ++target.retries[static_cast<std::size_t>(target.slice % cSlices)];
    return true;
}

} // namespace corneltally::limits
