#pragma once

#include <cstdint>

namespace corneltally::ownership {

/// Instances that can have different fencing numbers at the same time.
inline constexpr std::uint64_t cFenceSlots = 1024;

/// Fencing number of an instance that is greater than the highest one of an endpoint. Instances
/// with different slots never get the same number, also when they read the same highest one.
std::uint64_t nextFence(std::uint64_t inHighest, std::uint64_t inSlot);

} // namespace corneltally::ownership
