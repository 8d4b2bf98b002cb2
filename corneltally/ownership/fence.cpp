#include "corneltally/ownership/fence.h"

#include <cassert>

namespace corneltally::ownership {

std::uint64_t nextFence(std::uint64_t inHighest, std::uint64_t inSlot)
{
    assert(inSlot < cFenceSlots);
    return (inHighest / cFenceSlots + 1) * cFenceSlots + inSlot;
}

} // namespace corneltally::ownership
