#pragma once

#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::routing {

/// A customer with its keys and its allowance.
struct client_account
{
    std::string name;
    /// SHA-256 digests of the keys.
    std::vector<std::string> keyDigests;
    /// Takes precedence over the route's priority.
    std::optional<int> priority;
    /// Allowance over all instances; no limit if the rate is zero.
    double ratePerSecond = 0;
    double burst = 0;
    /// Whether the allowance counts tokens; otherwise it counts requests.
    bool countsTokens = false;
    /// Tokens charged for a request that states none.
    double defaultTokens = 0;

    friend auto operator<=>(const client_account &, const client_account &) = default;
};

} // namespace corneltally::routing
