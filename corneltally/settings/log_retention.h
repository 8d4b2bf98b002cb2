#pragma once

#include "corneltally/settings/snapshot_part.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace corneltally::settings {

/// Knows what a new reader of the log needs (the latest complete snapshot and the records after
/// it), how long the log keeps it, and hence when the next snapshot has to be written. Times are
/// milliseconds of the log's wall clock.
class log_retention
{
public:
    /// Notes a record of the log.
    void noteRecord(std::uint64_t inOffset, std::int64_t inTimeMs);

    /// Notes a snapshot part that is on the log as the record at an offset.
    void notePart(const snapshot_part &inPart, std::uint64_t inRecordOffset, std::int64_t inTimeMs);

    /// Notes the first offset that the log still has.
    void noteLogStart(std::uint64_t inFirst, std::int64_t inNowMs);

    /// Whether a snapshot has to be written now. The writer's rank (0 first) staggers the
    /// instances, so that normally only one writes.
    bool snapshotDue(std::int64_t inNowMs, std::size_t inRank,
                     std::chrono::seconds inRetention) const;

    /// Time of the oldest record that a new reader needs.
    std::optional<std::int64_t> oldestNeeded() const;

    /// Last record that the latest complete snapshot on the log covers; 0 if there is none.
    std::uint64_t snapshotOffset() const { return mSnapshot ? mSnapshot->covers : 0; }

private:
    struct written_part
    {
        std::uint64_t recordOffset = 0;
        std::int64_t timeMs = 0;
    };
    struct written_snapshot
    {
        std::uint64_t covers = 0;
        /// Of the part that expires first.
        written_part oldestPart;
    };
    using part_map = std::map<std::size_t, written_part>;

    std::map<std::uint64_t, std::int64_t> mRecordTimes;
    std::map<std::pair<std::uint64_t, std::string>, part_map> mParts;
    std::optional<written_snapshot> mSnapshot;
    /// Shortest age at which a record was found to have expired.
    std::optional<std::int64_t> mObservedRetentionMs;
    /// Something that a new reader needs is not on the log any more.
    bool mNeededExpired = false;
};

} // namespace corneltally::settings
