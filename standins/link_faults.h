#pragma once

#include "corneltally/core/boot_clock.h"

#include <array>
#include <cstdint>
#include <optional>

namespace standins {

/// Direction of data through a proxy link: forward is from the connecting side to the target.
enum class link_direction : std::uint8_t { forward, backward };

/// Faults of one direction of a link.
struct direction_faults
{
    /// Nothing is forwarded; connections stay open.
    bool frozen = false;
    corneltally::core::duration delay{};
    /// Connections are closed after this many more bytes.
    std::optional<std::uint64_t> dropAfter;
};

/// Faults of a link by direction.
using link_faults = std::array<direction_faults, 2>;

} // namespace standins
