#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::routing {

/// A client account with its keys and its rate limit.
struct client_account
{
    std::string name;
    /// SHA-256 digests of the keys.
    std::vector<std::string> keyDigests;
    /// Overrides the priority of the route.
    std::optional<int> priority;
    /// Rate limit across all instances; zero means unlimited.
    double ratePerSecond = 0;
    double burst = 0;
    /// Whether the rate counts tokens instead of requests.
    bool countsTokens = false;
    /// Tokens charged for a request that does not state its token count.
    double defaultTokens = 0;
    /// Regions in which the account's requests may run; absent if they may run in all.
    std::optional<std::vector<std::string>> allowedRegions;

    friend auto operator<=>(const client_account &, const client_account &) = default;
};

} // namespace corneltally::routing
