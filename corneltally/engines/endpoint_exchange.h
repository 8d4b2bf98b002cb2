#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <optional>
#include <string>

namespace corneltally::engines {

/// Message: what an exchange of the holder with an endpoint, an order or a status check, says about
/// how long the endpoint is cold.
struct endpoint_exchange
{
    std::string endpoint;
    std::uint64_t startedMs = 0;
    core::time_point sentAt;
    /// Empty if no connection was established.
    std::optional<core::duration> coldLeft;
};

} // namespace corneltally::engines
