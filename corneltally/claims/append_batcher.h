#pragma once

#include "corneltally/claims/claim_record.h"
#include "corneltally/core/boot_clock.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::claims {

/// Groups records into appends to the log, one append at a time.
///
/// A lost answer is resolved by reading the stream to an end that lies after the loss: if the batch
/// is not there, its records are sent again. The first append may still take effect later; readers
/// count only the first record of a claim id, so that the duplicate does no harm.
class append_batcher
{
public:
    /// The log takes several hundred appends a second from the whole fleet.
    static constexpr core::duration cMaxDelay = std::chrono::milliseconds(20);
    static constexpr std::size_t cMaxRecords = 64;
    /// Keeps one record of the log well below a limit of 1 MiB.
    static constexpr std::size_t cMaxBytes = 256 * 1024;
    static constexpr core::duration cMinRetryDelay = std::chrono::milliseconds(100);
    static constexpr core::duration cMaxRetryDelay = std::chrono::seconds(2);

    /// The prefix must differ between instances and starts.
    explicit append_batcher(std::string inIdPrefix);

    void add(claim_record inRecord, core::time_point inNow);

    /// Removes a claim that is queued. Returns false if it was not queued or may have been sent
    /// before: it may then still appear on the stream.
    bool withdraw(std::string_view inClaimId);

    /// The batch to append now, if any; it is in flight until one of the next three calls.
    std::optional<claim_batch> poll(core::time_point inNow);

    void appended(std::string_view inBatchId);
    /// Certain: the batch is not on the log.
    void refused(std::string_view inBatchId, core::time_point inNow);
    /// The answer was lost.
    void answerLost(std::string_view inBatchId, core::time_point inNow);

    /// A batch was read from the stream.
    void batchRead(const claim_batch &inBatch);
    /// All records up to the end of the stream were read; the read was sent at inSentAt.
    void readToEnd(core::time_point inSentAt, core::time_point inNow);

    /// An answer was lost and the stream has to be read to its end.
    bool needsRead() const { return mInFlight && mAnswerLostAt.has_value(); }

    /// When to poll next; none while there is nothing to send or an append is in flight.
    std::optional<core::time_point> nextPoll() const;

    /// Failed appends in a row, without the ones whose lost answer was resolved as appended.
    int failures() const { return mFailures; }
    /// When the append in flight was sent.
    std::optional<core::time_point> sentAt() const;
    std::size_t queued() const { return mQueue.size(); }

private:
    struct queued_record
    {
        claim_record record;
        core::time_point addedAt;
        bool mayBeOnLog = false;
    };

    void finish();
    void requeue(core::time_point inNow);
    bool isInFlight(std::string_view inBatchId) const
    {
        return mInFlight && mInFlight->id == inBatchId;
    }

    std::string mIdPrefix;
    std::uint64_t mNextId = 1;
    std::deque<queued_record> mQueue;
    std::optional<claim_batch> mInFlight;
    core::time_point mSentAt;
    std::optional<core::time_point> mAnswerLostAt;
    /// An earlier append of a record of the batch may still take effect.
    bool mMayBeOnLog = false;
    core::time_point mNotBefore;
    core::duration mRetryDelay = cMinRetryDelay;
    int mFailures = 0;
};

} // namespace corneltally::claims
