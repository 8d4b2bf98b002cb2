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

/// Groups idempotency claim records into batches and appends them to the log, one batch at a time.
///
/// After a lost answer the stream is read to its end, with a read sent after the loss. If the batch
/// is not there, its records are sent again. The first append may still take effect later. Readers
/// use only the first record with a claim id, so the duplicate has no effect.
class append_batcher
{
public:
    /// Longest wait for more records; the log accepts several hundred appends per second from the
    /// whole fleet.
    static constexpr core::duration cMaxDelay = std::chrono::milliseconds(20);
    static constexpr std::size_t cMaxRecords = 64;
    /// Keeps a record of the log well below its size limit of 1 MiB.
    static constexpr std::size_t cMaxBytes = 256 * 1024;
    static constexpr core::duration cMinRetryDelay = std::chrono::milliseconds(100);
    static constexpr core::duration cMaxRetryDelay = std::chrono::seconds(2);

    /// The prefix must be unique per instance and start.
    explicit append_batcher(std::string inIdPrefix);

    void add(claim_record inRecord, core::time_point inNow);

    /// Removes a queued claim. Returns false if it was not queued or may have been sent before, so
    /// that it may still appear on the stream.
    bool withdraw(std::string_view inClaimId);

    /// Returns the batch to append now, if any. It is in flight until appended(), refused() or
    /// answerLost() is called.
    std::optional<claim_batch> poll(core::time_point inNow);

    void appended(std::string_view inBatchId);
    /// Called if the batch is certainly not on the log.
    void refused(std::string_view inBatchId, core::time_point inNow);
    /// Called if the answer was lost, so that the batch may be on the log.
    void answerLost(std::string_view inBatchId, core::time_point inNow);

    /// Called when a batch was read from the stream.
    void batchRead(const claim_batch &inBatch);
    /// Called when the stream was read to its end; the read was sent at inSentAt.
    void readToEnd(core::time_point inSentAt, core::time_point inNow);

    /// Whether an answer was lost and the stream has to be read to its end.
    bool needsRead() const { return mInFlight && mAnswerLostAt.has_value(); }

    /// Time of the next poll; none while there is nothing to send or an append is in flight.
    std::optional<core::time_point> nextPoll() const;

    /// Number of consecutive failed appends. Appends whose answer was lost but which were found on
    /// the stream do not count.
    int failures() const { return mFailures; }
    /// Time at which the append in flight was sent.
    std::optional<core::time_point> sentAt() const;
    std::size_t queued() const { return mQueue.size(); }

private:
    struct queued_record
    {
        claim_record record;
        core::time_point addedAt;
        /// Set if an earlier append of the record may still take effect.
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
    /// Set if an earlier append of a record in the batch may still take effect.
    bool mMayBeOnLog = false;
    core::time_point mNotBefore;
    core::duration mRetryDelay = cMinRetryDelay;
    int mFailures = 0;
};

} // namespace corneltally::claims
