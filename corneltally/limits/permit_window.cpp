#include "corneltally/limits/permit_window.h"

#include <algorithm>

namespace corneltally::limits {

permit_decision permit_window::request(const std::string &inRequester, std::size_t inLimit,
                                       core::time_point inNow)
{
    while (!mGrants.empty() && inNow - mGrants.front() > sSpan)
        mGrants.pop_front();
    if (inNow < mNotBefore || mGrants.size() >= inLimit)
        return {false, retryIn(inRequester, inLimit, inNow)};
    mDenied.erase(inRequester);
    mGrants.push_back(inNow);
    return {.granted = true};
}

core::duration permit_window::retryIn(const std::string &inRequester, std::size_t inLimit,
                                      core::time_point inNow)
{
    std::erase_if(mDenied, [&](const auto &inEntry) { return inEntry.second <= inNow; });
    mDenied.erase(inRequester);
    const std::size_t before = mDenied.size();
    // Without a limit or grants there is no time at which a permit becomes available.
    core::time_point at = inNow + sSpan;
    if (inNow < mNotBefore)
        at = mNotBefore
            + (inLimit == 0
                   ? core::duration::zero()
                   : sSpan * static_cast<long>(before % inLimit) / static_cast<long>(inLimit));
    else if (!mGrants.empty())
        at = mGrants[before % mGrants.size()] + sSpan + core::duration(1);
    mDenied[inRequester] = at;
    return at - inNow;
}

} // namespace corneltally::limits
