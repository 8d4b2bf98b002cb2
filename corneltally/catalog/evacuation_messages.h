#pragma once

#include <cstdint>
#include <string>

/// Messages about the evacuation of failure domains.
namespace corneltally::catalog {

/// The evacuation of a failure domain has begun or ended: its endpoints get no new requests and no
/// orders meanwhile.
struct evacuation_changed
{
    std::string failureDomain;
    bool evacuated = false;
    /// Offset of the operator record that says so.
    std::uint64_t offset = 0;

    friend auto operator<=>(const evacuation_changed &, const evacuation_changed &) = default;
};

/// Another instance has not yet learned of an evacuation and is to be relayed its record.
struct evacuation_unknown
{
    std::string instance;
};

} // namespace corneltally::catalog
