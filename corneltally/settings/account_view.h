#pragma once

#include <compare>
#include <string>

namespace corneltally::settings {

/// Effective settings of a client account.
struct account_view
{
    std::string name;
    double rateTokensPerSecond = 0;
    double burstTokens = 0;
    /// Share of an endpoint relative to other client accounts.
    double weight = 1;
    /// Longest time that keys are accepted without confirmation that the tree is current; 0 means
    /// unlimited.
    long long maxSettingsAgeSeconds = 0;

    friend auto operator<=>(const account_view &, const account_view &) = default;
};

} // namespace corneltally::settings
