#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/quarantine/shared_part.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace corneltally::quarantine {

/// A change of a part's quarantine, with its evidence.
struct part_change
{
    enum class kind {
        quarantined,
        /// Another instance reported the quarantine.
        quarantine_learned,
        /// A request with the part was answered.
        cleared,
        /// The hold ended long ago and no request was sent as a probe.
        expired,
    };

    kind what = kind::quarantined;
    part_digest part = 0;
    /// Empty if no request with the part was seen here.
    std::string id;
    std::uint32_t round = 0;
    /// Number of endpoints lost since the last answer, and the time since the first loss.
    int losses = 0;
    core::duration evidenceAge{};
    core::duration hold{};

    friend bool operator==(const part_change &, const part_change &) = default;
};

constexpr std::string_view toString(part_change::kind inKind)
{
    switch (inKind) {
    case part_change::kind::quarantined:
        return "quarantined";
    case part_change::kind::quarantine_learned:
        return "quarantine_learned";
    case part_change::kind::cleared:
        return "cleared";
    case part_change::kind::expired:
        break;
    }
    return "expired";
}

} // namespace corneltally::quarantine
