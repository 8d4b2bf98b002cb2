#pragma once

#include <cstdint>

namespace corneltally::ownership {

/// Number of instances that can have distinct fencing numbers at the same time.
inline constexpr std::uint64_t cFenceSlots = 1024;

/// Returns a fencing number that is greater than the highest one of an endpoint. Instances with
/// different slots never get the same number, even if they read the same highest one.
std::uint64_t nextFence(std::uint64_t inHighest, std::uint64_t inSlot);

} // namespace corneltally::ownership
