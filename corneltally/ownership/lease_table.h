#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/ownership/lease_record.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace corneltally::ownership {

/// The current lease of each endpoint, by replay of the log stream "leases". All readers of the
/// same records accept the same leases; clocks only decide when a lease has expired.
class lease_table
{
public:
    struct current_lease
    {
        std::uint64_t offset = 0;
        lease_record record;
        /// Time at which this instance read the record.
        core::time_point readAt;
        /// Set if the replaced record is no longer on the log, so that this one could not be
        /// verified.
        bool unverified = false;
    };

    /// Sets the oldest offset that the log still has; to be called before the first record and
    /// after a gap. Records that replace older ones cannot be verified.
    void startAt(std::uint64_t inFirstOffset);

    /// Applies a record; returns whether it is valid and now the current lease.
    bool apply(std::uint64_t inOffset, const lease_record &inRecord, core::time_point inNow);

    /// Skips a record that cannot be parsed, as all readers do.
    void skip(std::uint64_t inOffset);

    /// Returns the current lease of an endpoint, or nullptr.
    const current_lease *find(std::string_view inEndpoint) const;

    /// Whether another instance may take over: the lease was not renewed for its duration plus a
    /// margin of 20% since it was read.
    bool isExpired(std::string_view inEndpoint, core::time_point inNow) const;

    std::uint64_t nextOffset() const { return mNextOffset; }

private:
    std::uint64_t mFirstOffset = 1;
    std::uint64_t mNextOffset = 1;
    std::map<std::string, current_lease, std::less<>> mLeases;
};

} // namespace corneltally::ownership
