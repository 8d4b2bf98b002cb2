#include "corneltally/claims/append_batcher.h"

#include <algorithm>
#include <utility>

namespace corneltally::claims {

namespace {

std::size_t bytesOf(const claim_record &inRecord)
{
    constexpr std::size_t cOverhead = 200;
    return cOverhead + inRecord.key.size() + inRecord.claimId.size() + inRecord.requestDigest.size()
        + inRecord.body.size() * 2;
}

} // namespace

append_batcher::append_batcher(std::string inIdPrefix)
    : mIdPrefix(std::move(inIdPrefix))
{ }

void append_batcher::add(claim_record inRecord, core::time_point inNow)
{
    mQueue.push_back({.record = std::move(inRecord), .addedAt = inNow});
}

bool append_batcher::withdraw(std::string_view inClaimId)
{
    const auto found = std::ranges::find_if(mQueue, [&](const queued_record &inItem) {
        return inItem.record.action == claim_action::claim && inItem.record.claimId == inClaimId;
    });
    if (found == mQueue.end())
        return false;
    const bool mayBeOnLog = found->mayBeOnLog;
    mQueue.erase(found);
    return !mayBeOnLog;
}

std::optional<claim_batch> append_batcher::poll(core::time_point inNow)
{
    const auto next = nextPoll();
    if (!next || inNow < *next)
        return std::nullopt;
    claim_batch batch{.id = mIdPrefix + "-" + std::to_string(mNextId++)};
    std::size_t bytes = 0;
    mMayBeOnLog = false;
    while (!mQueue.empty() && batch.records.size() < cMaxRecords) {
        bytes += bytesOf(mQueue.front().record);
        if (bytes > cMaxBytes && !batch.records.empty())
            break;
        mMayBeOnLog = mMayBeOnLog || mQueue.front().mayBeOnLog;
        batch.records.push_back(std::move(mQueue.front().record));
        mQueue.pop_front();
    }
    mInFlight = batch;
    mSentAt = inNow;
    mAnswerLostAt.reset();
    return batch;
}

void append_batcher::appended(std::string_view inBatchId)
{
    if (isInFlight(inBatchId))
        finish();
}

void append_batcher::refused(std::string_view inBatchId, core::time_point inNow)
{
    if (isInFlight(inBatchId))
        requeue(inNow);
}

void append_batcher::answerLost(std::string_view inBatchId, core::time_point inNow)
{
    if (isInFlight(inBatchId))
        mAnswerLostAt = inNow;
}

void append_batcher::batchRead(const claim_batch &inBatch)
{
    if (isInFlight(inBatch.id)) {
        finish();
        return;
    }
    // An earlier append took effect late; its records are queued again and need not be sent.
    std::erase_if(mQueue, [&](const queued_record &inItem) {
        return inItem.mayBeOnLog
            && std::ranges::find(inBatch.records, inItem.record) != inBatch.records.end();
    });
}

void append_batcher::readToEnd(core::time_point inSentAt, core::time_point inNow)
{
    if (mInFlight && mAnswerLostAt && inSentAt >= *mAnswerLostAt)
        requeue(inNow);
}

std::optional<core::time_point> append_batcher::nextPoll() const
{
    if (mInFlight || mQueue.empty())
        return std::nullopt;
    const core::time_point due = mQueue.size() >= cMaxRecords ? mQueue.front().addedAt
                                                              : mQueue.front().addedAt + cMaxDelay;
    return std::max(due, mNotBefore);
}

std::optional<core::time_point> append_batcher::sentAt() const
{
    return mInFlight ? std::optional(mSentAt) : std::nullopt;
}

void append_batcher::finish()
{
    mInFlight.reset();
    mAnswerLostAt.reset();
    mFailures = 0;
    mRetryDelay = cMinRetryDelay;
}

void append_batcher::requeue(core::time_point inNow)
{
    const bool mayBeOnLog = mMayBeOnLog || mAnswerLostAt.has_value();
    std::vector<claim_record> records = std::move(mInFlight->records);
    mInFlight.reset();
    mAnswerLostAt.reset();
    for (auto record = records.rbegin(); record != records.rend(); ++record)
        mQueue.push_front(
            {.record = std::move(*record), .addedAt = mSentAt, .mayBeOnLog = mayBeOnLog});
    ++mFailures;
    mNotBefore = inNow + mRetryDelay;
    mRetryDelay = std::min(mRetryDelay * 2, cMaxRetryDelay);
}

} // namespace corneltally::claims
