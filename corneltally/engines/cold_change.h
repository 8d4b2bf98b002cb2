#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/cold_state.h"

#include <compare>
#include <string>

namespace corneltally::engines {

/// An endpoint became cold, or is no longer cold.
struct cold_change
{
    std::string endpoint;
    bool cold = false;
    /// Last source, and the time since its information arrived.
    cold_source source = cold_source::none;
    core::duration age{};
    core::duration remaining{};

    friend auto operator<=>(const cold_change &, const cold_change &) = default;
};

} // namespace corneltally::engines
