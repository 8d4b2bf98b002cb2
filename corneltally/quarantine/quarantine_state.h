#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/quarantine/shared_part.h"

#include <compare>
#include <cstdint>
#include <map>
#include <utility>

namespace corneltally::quarantine {

/// Digest of one start of an endpoint: it differs after a restart under the same id.
using start_digest = std::uint64_t;

/// An endpoint closed its connections while requests with these parts were in flight.
struct endpoint_loss
{
    core::time_point at;
    /// Parts, each with the part before it in the prompt.
    std::map<part_digest, part_digest> parts;

    friend bool operator==(const endpoint_loss &, const endpoint_loss &) = default;
};

/// Quarantine of a part, or its end.
struct quarantined_part
{
    /// Increases with each quarantine of the part. Of two states of a part, the one with the higher
    /// round holds; of the same round, the cleared one.
    std::uint32_t round = 0;
    bool cleared = false;
    core::time_point since;
    /// From here on one instance at a time sends a request with the part as a probe.
    core::time_point until;

    bool isNewerThan(const quarantined_part &inOther) const
    {
        return std::pair(round, cleared) > std::pair(inOther.round, inOther.cleared);
    }

    friend bool operator==(const quarantined_part &, const quarantined_part &) = default;
};

/// What instances tell each other of parts that may crash endpoints. Merging states is
/// idempotent and independent of their order.
struct quarantine_state
{
    std::map<start_digest, endpoint_loss> losses;
    /// When the last answer to a request with a part arrived, and when the last request that a
    /// start of an endpoint answered was sent, by the digest of the part or start.
    std::map<std::uint64_t, core::time_point> answers;
    std::map<part_digest, quarantined_part> parts;

    void merge(const quarantine_state &inOther);

    friend bool operator==(const quarantine_state &, const quarantine_state &) = default;
};

} // namespace corneltally::quarantine
