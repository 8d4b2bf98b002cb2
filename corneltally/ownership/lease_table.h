#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/ownership/lease_record.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace corneltally::ownership {

/// The current lease of each endpoint, by replay of the log stream "leases". Every reader of the
/// same records reaches the same verdicts; clocks only decide when a lease has expired.
class lease_table
{
public:
    struct current_lease
    {
        std::uint64_t offset = 0;
        lease_record record;
        /// When this instance read the record.
        core::time_point readAt;
        /// The record that it replaces is no longer on the log, so that it was not verified.
        bool unverified = false;
    };

    /// Tells the table the oldest offset that the log still holds; called before the first record
    /// and after a gap. Records that replace older ones cannot be verified.
    void startAt(std::uint64_t inFirstOffset);

    /// Applies a record; true if it is valid and now the current lease.
    bool apply(std::uint64_t inOffset, const lease_record &inRecord, core::time_point inNow);

    /// Passes over a record that cannot be read; all readers do so.
    void skip(std::uint64_t inOffset);

    /// The current lease of an endpoint, or nullptr.
    const current_lease *find(std::string_view inEndpoint) const;

    /// Whether another instance may take over: the lease was not renewed for its duration and a
    /// margin of 20% after it was read.
    bool isExpired(std::string_view inEndpoint, core::time_point inNow) const;

    std::uint64_t nextOffset() const { return mNextOffset; }

private:
    std::uint64_t mFirstOffset = 1;
    std::uint64_t mNextOffset = 1;
    std::map<std::string, current_lease, std::less<>> mLeases;
};

} // namespace corneltally::ownership
