#pragma once

#include "corneltally/store/position.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::store {

/// A record of a keyed topic. A record without a value removes the key.
struct record
{
    std::string key;
    std::optional<std::string> value;
    store::position position;

    friend auto operator<=>(const record &, const record &) = default;
};

/// Result of a read.
struct read_result
{
    enum class status {
        done,
        /// The store no longer retains the requested records.
        expired,
        /// The store did not answer or does not serve this instance.
        unavailable,
    };

    status outcome = status::unavailable;
    std::vector<record> records;
    /// End of the topic: the position after its last record.
    position end;
    /// Whether there are more keys after the last one; used only for reads of newest records.
    bool hasMore = false;
    /// Era of the store that answered, also if it did not deliver records.
    std::uint64_t era = 0;

    friend auto operator<=>(const read_result &, const read_result &) = default;
};

/// Result of an append.
struct append_result
{
    enum class status {
        accepted,
        /// The topic does not end at the expected offset.
        conflict,
        /// The store rejected the append; nothing was appended.
        refused,
        /// The store did not answer; the records may have been or may still be appended.
        unknown,
    };

    status outcome = status::unknown;
    /// Position of the first record.
    store::position position;
    /// Era of the store that answered.
    std::uint64_t era = 0;

    friend auto operator<=>(const append_result &, const append_result &) = default;
};

} // namespace corneltally::store
