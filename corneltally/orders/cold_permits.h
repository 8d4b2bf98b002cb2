#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/limits/permit_window.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace corneltally::orders {

/// Grants permits for requests to cold endpoints, for the instance that holds them. The caller
/// states its authority for an endpoint as the fencing number of its claim, or as nothing while it
/// may not give orders there.
class cold_permits
{
public:
    using authority = std::optional<std::uint64_t>;

    /// Time after which a denied requester asks again if this instance has no authority: a claim
    /// takes longer to come into force.
    static constexpr core::duration sNoAuthorityPause = std::chrono::milliseconds(500);

    /// Notes the authority over an endpoint. The wait before the first grant counts from the first
    /// call with the fencing number, so call it often.
    void confirm(std::string_view inEndpoint, authority inAuthority, core::time_point inNow);

    /// Decides a request. inBound is the number of requests that the endpoint may receive in a
    /// second while it is cold.
    limits::permit_decision request(std::string_view inEndpoint, const std::string &inRequester,
                                    authority inAuthority, double inBound, core::time_point inNow);

    /// Drops the state of endpoints that the predicate rejects.
    void keepOnly(const std::function<bool(const std::string &)> &inKeeps);

private:
    struct granted_endpoint
    {
        std::uint64_t fence = 0;
        limits::permit_window window;
    };

    std::map<std::string, granted_endpoint, std::less<>> mEndpoints;
};

} // namespace corneltally::orders
