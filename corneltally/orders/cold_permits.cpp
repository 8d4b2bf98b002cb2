#include "corneltally/orders/cold_permits.h"

#include <algorithm>
#include <cmath>

namespace corneltally::orders {

void cold_permits::confirm(std::string_view inEndpoint, authority inAuthority,
                           core::time_point inNow)
{
    if (!inAuthority)
        return;
    const auto found = mEndpoints.find(inEndpoint);
    if (found != mEndpoints.end() && found->second.fence == *inAuthority)
        return;
    // Another holder, or an earlier process of this one, may have granted permits until now.
    mEndpoints.insert_or_assign(
        std::string(inEndpoint),
        granted_endpoint{*inAuthority,
                         limits::permit_window(inNow + limits::permit_window::sSpan)});
}

limits::permit_decision cold_permits::request(std::string_view inEndpoint,
                                              const std::string &inRequester, authority inAuthority,
                                              double inBound, core::time_point inNow)
{
    if (!inAuthority)
        return {false, sNoAuthorityPause};
    confirm(inEndpoint, inAuthority, inNow);
    const auto limit = static_cast<std::size_t>(std::floor(std::max(0.0, inBound)));
    return mEndpoints.find(inEndpoint)->second.window.request(inRequester, limit, inNow);
}

void cold_permits::keepOnly(const std::function<bool(const std::string &)> &inKeeps)
{
    std::erase_if(mEndpoints, [&](const auto &inEntry) { return !inKeeps(inEntry.first); });
}

} // namespace corneltally::orders
