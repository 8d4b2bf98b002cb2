#pragma once

#include "corneltally/core/digest.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

namespace corneltally::quarantine {

/// Digest that identifies a prompt part, or a whole request, in messages between instances.
using part_digest = std::uint64_t;

/// The upper 16 bits of the digests of whole requests.
constexpr part_digest cWholeRequestMark = 0x5251ULL;
constexpr int cWholeRequestShift = 48;

constexpr bool isWholeRequest(part_digest inDigest)
{
    return inDigest >> cWholeRequestShift == cWholeRequestMark;
}

/// A prompt part that other requests may share, or the last link of this chain: a whole request,
/// which its repeats share.
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

    /// A whole request, with a hash of its content.
    static shared_part sWholeRequest(std::uint64_t inContent, part_digest inParent)
    {
        shared_part whole({}, inParent);
        constexpr part_digest cContentMask = (part_digest{1} << cWholeRequestShift) - 1;
        whole.digest = (inContent & cContentMask) | cWholeRequestMark << cWholeRequestShift;
        return whole;
    }

    friend auto operator<=>(const shared_part &, const shared_part &) = default;
};

} // namespace corneltally::quarantine
