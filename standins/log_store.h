#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace standins {

/// One named stream of the append-only log, with limited retention. Offsets start at 1.
class log_store
{
public:
    struct record
    {
        std::uint64_t offset = 0;
        long long timeMs = 0;
        corneltally::core::time_point appended;
        std::string data;
    };

    /// Limits on how many records are kept and for how long.
    struct retention
    {
        std::size_t records = 1'000'000;
        corneltally::core::duration age = std::chrono::hours(48);
    };

    explicit log_store(retention inRetention)
        : mRetention(inRetention)
    { }

    std::uint64_t append(std::string inData, corneltally::core::time_point inNow);

    void setRetention(retention inRetention) { mRetention = inRetention; }

    /// Drops records that are over the limits.
    void expire(corneltally::core::time_point inNow);

    /// Offset of the oldest record that is kept, or the next offset if there is none.
    std::uint64_t first() const { return mNext - mRecords.size(); }
    std::uint64_t next() const { return mNext; }

    /// Answer to a read as JSON, with a bound on the number of records and on the bytes.
    std::string toJson(std::uint64_t inFrom, std::size_t inLimit) const;

private:
    retention mRetention;
    std::deque<record> mRecords;
    std::uint64_t mNext = 1;
};

} // namespace standins
