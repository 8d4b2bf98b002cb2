#pragma once

#include "corneltally/settings/snapshot_part.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace corneltally::settings {

/// Decides when the next snapshot has to be written to the log. Tracks the records that a new
/// reader needs (the latest complete snapshot and the records after it) and how long the log keeps
/// them. Times are milliseconds of the log's wall clock.
class log_retention
{
public:
    /// Adds a record of the log.
    void noteRecord(std::uint64_t inOffset, std::int64_t inTimeMs);

    /// Adds a snapshot part; inRecordOffset is the offset of its record on the log.
    void notePart(const snapshot_part &inPart, std::uint64_t inRecordOffset, std::int64_t inTimeMs);

    /// Updates the first offset that the log still has, and forgets expired records.
    void noteLogStart(std::uint64_t inFirst, std::int64_t inNowMs);

    /// Whether a snapshot has to be written now. A higher rank (starting at 0) delays the snapshot,
    /// so that normally only one instance writes it.
    bool snapshotDue(std::int64_t inNowMs, std::size_t inRank,
                     std::chrono::seconds inRetention) const;

    /// Time of the oldest record that a new reader needs.
    std::optional<std::int64_t> oldestNeeded() const;

    /// Last record that the latest complete snapshot on the log covers; 0 if there is none.
    std::uint64_t snapshotOffset() const { return mSnapshot ? mSnapshot->lastOffset : 0; }

private:
    struct written_part
    {
        std::uint64_t recordOffset = 0;
        std::int64_t timeMs = 0;
    };
    struct written_snapshot
    {
        std::uint64_t lastOffset = 0;
        /// The part that expires first.
        written_part oldestPart;
    };
    using part_map = std::map<std::size_t, written_part>;

    std::map<std::uint64_t, std::int64_t> mRecordTimes;
    std::map<std::pair<std::uint64_t, std::string>, part_map> mParts;
    std::optional<written_snapshot> mSnapshot;
    /// Shortest observed age of an expired record.
    std::optional<std::int64_t> mObservedRetentionMs;
    /// Whether a record that a new reader needs has expired.
    bool mNeededExpired = false;
};

} // namespace corneltally::settings
