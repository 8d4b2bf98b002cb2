#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::store {

/// A record of a keyed topic; without a value it removes the key.
struct record
{
    std::string key;
    std::optional<std::string> value;
    std::uint64_t offset = 0;

    friend auto operator<=>(const record &, const record &) = default;
};

/// Answer to a read.
struct read_result
{
    enum class status {
        done,
        /// The records asked for are not kept any more.
        expired,
        /// No answer, or the store does not serve this instance.
        unavailable,
    };

    status outcome = status::unavailable;
    std::vector<record> records;
    /// Offset behind the last record of the topic.
    std::uint64_t end = 0;
    /// Newest records only: there are more behind the last key.
    bool more = false;

    friend auto operator<=>(const read_result &, const read_result &) = default;
};

/// Answer to an append.
struct append_result
{
    enum class status {
        accepted,
        /// The topic does not end where the append expected it.
        moved,
        /// Nothing was done.
        refused,
        /// No answer: the records may be appended, now or later.
        unknown,
    };

    status outcome = status::unknown;
    /// Offset of the first record.
    std::uint64_t offset = 0;

    friend auto operator<=>(const append_result &, const append_result &) = default;
};

} // namespace corneltally::store
