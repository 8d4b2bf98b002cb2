#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/fleet/fleet_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace corneltally::fleet {

/// Encodes the body of a frame. Points in time are sent as the remaining time, since the clocks of
/// instances differ.
std::string encode(const message &inMessage, core::time_point inNow);

/// Decodes the body of a frame; returns nothing if the bytes are not a valid message.
std::optional<message> decode(std::string_view inBytes, core::time_point inNow);

} // namespace corneltally::fleet
