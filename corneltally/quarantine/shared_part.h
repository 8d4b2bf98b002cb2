#pragma once

#include "corneltally/core/digest.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace corneltally::quarantine {

/// Digest that identifies a prompt part in messages between instances.
using part_digest = std::uint64_t;

/// A prompt part that other requests may share.
struct shared_part
{
    std::string id;
    part_digest digest = 0;
    /// The part before it in the prompt; zero for the first one.
    part_digest parent = 0;

    shared_part(std::string_view inId, part_digest inParent)
        : id(inId)
        , digest(core::stableHash(inId))
        , parent(inParent)
    { }

    friend auto operator<=>(const shared_part &, const shared_part &) = default;
};

} // namespace corneltally::quarantine
