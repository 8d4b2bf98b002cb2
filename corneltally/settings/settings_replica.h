#pragma once

#include "corneltally/core/error.h"
#include "corneltally/settings/log_retention.h"
#include "corneltally/settings/settings_tree.h"
#include "corneltally/settings/snapshot_assembler.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::settings {

/// Outcome of a log record.
enum class record_outcome : std::uint8_t {
    /// The change is part of the tree.
    accepted,
    rejected,
    /// The record is a snapshot of a tree that the replica already has.
    snapshot,
};

/// Verdict on one log record. It is the same for every reader.
struct record_verdict
{
    std::uint64_t offset = 0;
    record_outcome outcome = record_outcome::rejected;
    std::string changeId;
    std::string author;
    /// Set if the record was rejected.
    core::error reason;
};

/// One instance's copy of the settings tree. It applies log records strictly in offset order,
/// whether they come from the log or from peers, and never returns to an older version. Times are
/// milliseconds of the wall clock.
class settings_replica
{
public:
    /// A log record kept for peers.
    struct record
    {
        std::uint64_t offset = 0;
        std::string data;
    };

    /// Adds a record that was read from the log. Keeps it if it cannot be applied yet. Returns the
    /// verdicts on all records that were applied, including earlier kept ones.
    std::vector<record_verdict> addLogRecord(std::uint64_t inOffset, std::string_view inData,
                                             std::int64_t inTimeMs);

    /// Adds a record that a peer relayed.
    std::vector<record_verdict> addPeerRecord(std::uint64_t inOffset, std::string_view inData);

    /// Adds a snapshot part that a peer sent. A snapshot older than this replica has no effect.
    std::vector<record_verdict> addPeerSnapshot(std::string_view inRecord);

    /// Updates the first offset that the log still has.
    void noteLogStart(std::uint64_t inFirst, std::int64_t inNowMs);

    const settings_tree &tree() const { return mTree; }

    /// Offset of the first record that is neither applied nor covered by an adopted snapshot.
    std::uint64_t nextOffset() const { return mNextOffset; }

    /// Whether later records cannot be applied because earlier ones are missing.
    bool hasGap() const { return mGapEnd > mNextOffset || !mPending.empty(); }

    /// Returns the records after an offset, in order, up to a size; std::nullopt if they are no
    /// longer kept, so that the peer needs a snapshot.
    std::optional<std::vector<record>> recordsAfter(std::uint64_t inOffset,
                                                    std::size_t inMaxBytes) const;

    /// Returns a snapshot of the tree as records for the log or for a peer.
    std::vector<std::string> snapshotRecords() const;

    /// Whether this instance has to write a snapshot to the log now; see log_retention.
    bool snapshotDue(std::int64_t inNowMs, std::size_t inRank) const;

    /// Retention of the log that the tree configures.
    std::chrono::seconds retention() const;

    const log_retention &logRetention() const { return mRetention; }

private:
    std::vector<record_verdict> add(std::uint64_t inOffset, std::string_view inData);
    record_verdict applyNext(std::uint64_t inOffset, std::string_view inData);
    void keepPending(std::uint64_t inOffset, std::string_view inData);
    void keepHistory(std::uint64_t inOffset, std::string_view inData);
    void adopt(const snapshot_assembler::snapshot &inSnapshot);
    void applyPending(std::vector<record_verdict> &ioVerdicts);
    bool isNext(std::uint64_t inOffset) const;

    settings_tree mTree;
    std::uint64_t mNextOffset = 0;
    /// First offset of the log if records before it are missing; 0 without such a gap.
    std::uint64_t mGapEnd = 0;
    std::map<std::uint64_t, std::string> mPending;
    std::size_t mPendingBytes = 0;
    /// The latest applied records, contiguous, for peers.
    std::deque<record> mHistory;
    std::size_t mHistoryBytes = 0;
    snapshot_assembler mAssembler;
    log_retention mRetention;
};

} // namespace corneltally::settings
