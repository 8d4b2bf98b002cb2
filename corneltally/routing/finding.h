#pragma once

#include <compare>
#include <string>

namespace corneltally::routing {

/// A result of the check of a configuration.
struct finding
{
    enum class severity {
        /// The configuration must not be published.
        error,
        /// The configuration can be published, but an entry or a limit has no effect or
        /// contradicts another one.
        warning,
        /// A difference from the version in force.
        difference,
    };

    severity kind = severity::error;
    /// Part of the configuration, for example "route checkout" or "limits".
    std::string entry;
    std::string message;
    /// How to correct it; empty for a difference.
    std::string remedy;

    friend auto operator<=>(const finding &, const finding &) = default;
};

} // namespace corneltally::routing
