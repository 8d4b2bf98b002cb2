#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/fleet/fleet_messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace corneltally::fleet {

/// Body of a frame. Points in time are sent as the time that is left.
std::string encode(const message &inMessage, core::time_point inNow);

/// Nothing if the bytes are not a message.
std::optional<message> decode(std::string_view inBytes, core::time_point inNow);

} // namespace corneltally::fleet
