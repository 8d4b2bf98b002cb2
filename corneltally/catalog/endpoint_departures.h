#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace corneltally::engines {
struct endpoint_entry;
}

namespace corneltally::catalog {

/// The starts of endpoints that lately left or were removed. A store that was restored from an
/// older copy has entries from before, which must not bring these endpoints back into use.
class endpoint_departures
{
public:
    /// Greatest age of a copy that a store is restored from.
    static constexpr core::duration sRetention = std::chrono::minutes(1);

    /// Notes the newest entry of an endpoint.
    void entryApplied(const engines::endpoint_entry &inEntry, core::time_point inNow);

    /// Notes that the entry of an endpoint was removed, and not because it lapsed in an outage.
    void entryRemoved(std::string_view inEndpoint, core::time_point inNow);

    /// Whether an entry is older than the departure of the same start of its endpoint.
    bool isOutdated(const engines::endpoint_entry &inEntry) const;

    /// Drops the departures that are older than the retention time.
    void dropOld(core::time_point inNow);

private:
    struct start
    {
        std::uint64_t startedMs = 0;
        std::string address;
        /// When it left or was removed.
        core::time_point departedAt;
        bool isDeparted = false;

        bool isOf(const engines::endpoint_entry &inEntry) const;
    };

    /// The last start of each endpoint that has an entry or departed lately.
    std::map<std::string, start, std::less<>> mStarts;
};

} // namespace corneltally::catalog
