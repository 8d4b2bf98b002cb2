#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/core/result.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace corneltally::ownership {

/// A record of the log stream "leases".
struct lease_record
{
    std::string endpoint;
    std::string instance;
    std::uint64_t incarnation = 0;
    /// Unique among the appends of one incarnation.
    std::uint64_t sequence = 0;
    /// Offset of the lease record that this one replaces; 0 if there was none.
    std::uint64_t replaces = 0;
    core::duration length{};

    std::string toJson() const;
    static core::result<lease_record> sFromJson(std::string_view inText);

    friend auto operator<=>(const lease_record &, const lease_record &) = default;
};

} // namespace corneltally::ownership
