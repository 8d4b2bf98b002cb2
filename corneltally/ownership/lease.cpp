#include "corneltally/ownership/lease.h"

#include "corneltally/ownership/lease_table.h"

#include <utility>

namespace corneltally::ownership {

namespace {

constexpr core::duration cRetryDelay = std::chrono::seconds(1);

} // namespace

lease::lease(std::string inEndpoint, std::string inInstance, std::uint64_t inIncarnation,
             core::duration inLength, std::uint64_t inFirstSequence)
    : mEndpoint(std::move(inEndpoint))
    , mInstance(std::move(inInstance))
    , mIncarnation(inIncarnation)
    , mLength(inLength)
    , mNextSequence(inFirstSequence)
{ }

std::optional<lease_record> lease::propose(const lease_table &inTable, core::time_point inNow)
{
    if (mPending) {
        // An append without an answer counts as failed after the duration of the lease.
        if (inNow < mStarted[*mPending] + mLength)
            return std::nullopt;
        mPending.reset();
    }
    if (inNow < mNotBefore)
        return std::nullopt;
    if (mHeldUntil && inNow + mLength / 2 < *mHeldUntil)
        return std::nullopt;
    const lease_table::current_lease *current = inTable.find(mEndpoint);
    const bool isOwn = current != nullptr && current->record.instance == mInstance
        && current->record.incarnation == mIncarnation;
    if (current != nullptr && !isOwn && !inTable.isExpired(mEndpoint, inNow))
        return std::nullopt;
    const std::uint64_t sequence = mNextSequence++;
    mStarted[sequence] = inNow;
    mPending = sequence;
    return lease_record{.endpoint = mEndpoint,
                        .instance = mInstance,
                        .incarnation = mIncarnation,
                        .sequence = sequence,
                        .replaces = current == nullptr ? 0 : current->offset,
                        .length = mLength};
}

void lease::appendFailed(core::time_point inNow)
{
    mPending.reset();
    mNotBefore = inNow + cRetryDelay;
}

void lease::observe(const lease_table &inTable, core::time_point /*inNow*/)
{
    const lease_table::current_lease *current = inTable.find(mEndpoint);
    if (current == nullptr || current->offset == mOffset)
        return;
    if (current->record.instance != mInstance || current->record.incarnation != mIncarnation) {
        // The log is authoritative: another instance holds the lease.
        mHeldUntil.reset();
        mOffset = 0;
        return;
    }
    mOffset = current->offset;
    const auto started = mStarted.find(current->record.sequence);
    if (started != mStarted.end())
        mHeldUntil = started->second + current->record.length;
    mStarted.erase(mStarted.begin(), mStarted.upper_bound(current->record.sequence));
    if (mPending && *mPending <= current->record.sequence)
        mPending.reset();
}

void lease::drop()
{
    mHeldUntil.reset();
    mStarted.clear();
    mPending.reset();
}

} // namespace corneltally::ownership
