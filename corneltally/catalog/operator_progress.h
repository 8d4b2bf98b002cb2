#pragma once

#include "corneltally/store/position.h"

#include <compare>
#include <cstdint>

namespace corneltally::catalog {

/// What an instance has of the operator records: all before a position, and a configuration. The
/// version counts by itself, since a restored store may have lost a configuration that is in force.
struct operator_progress
{
    store::position end;
    /// Version of the configuration in force; zero if there is none.
    std::uint64_t configuration = 0;

    /// Whether this instance has something that another one lacks.
    bool isAheadOf(const operator_progress &inOther) const
    {
        return end > inOther.end || configuration > inOther.configuration;
    }

    friend auto operator<=>(const operator_progress &, const operator_progress &) = default;
};

} // namespace corneltally::catalog
