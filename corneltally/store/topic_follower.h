#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/core/json_log.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/store/record.h"
#include "corneltally/store/store_client.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

namespace corneltally::store {

/// Options of a topic follower: the timing of its reads.
struct follow_options
{
    /// Maximum time that a read waits at the store for a record.
    core::duration wait{};
    /// Maximum wait of the read after one that returned records; zero for the full wait. Records
    /// come in series, and the store may not end the wait of a read that began while a record was
    /// being appended.
    core::duration followUpWait{};
    /// Pause between two reads.
    core::duration pause{};
    /// Pause after the first read. Until then other instances may begin to relay the records.
    core::duration firstPause{};
    /// Pause after a failed read; doubles with each further failure up to the maximum.
    core::duration minRetryPause = std::chrono::milliseconds(100);
    core::duration maxRetryPause = std::chrono::milliseconds(800);
    /// Reads resume this long after the last records relayed by another instance.
    core::duration relayTimeout = std::chrono::milliseconds(1300);
};

/// Records delivered by a read or by another instance.
struct topic_update
{
    std::vector<record> records;
    /// Whether the records are the newest of all keys. If so, all other keys were removed.
    bool complete = false;
    /// When the read was started. The records are at least as recent.
    core::time_point asOf;
    /// Whether the previous read failed, and whether no read had succeeded for the outage time.
    bool afterFailure = false;
    bool afterOutage = false;
    /// Whether the store was restored from an older copy since the previous update. Records that
    /// were known before may have been lost and not be written again yet.
    bool afterRestore = false;
    /// Position from which the records were read, and the one after them.
    position from;
    position end;
};

/// Follows a keyed topic: reads the newest record of each key, then all later records. Starts over
/// with the newest records if the store no longer retains the later ones, or was restored from an
/// older copy.
template <store_client Client>
class topic_follower
{
public:
    using update_handler = std::function<void(const topic_update &)>;

    /// The store counts as unavailable if no read has succeeded for this long.
    static constexpr core::duration sOutageTime = std::chrono::seconds(2);

    topic_follower(kernel::event_loop &inLoop, Client &ioClient, std::string inTopic,
                   follow_options inOptions, update_handler inHandler)
        : mClient(ioClient)
        , mTopic(std::move(inTopic))
        , mOptions(inOptions)
        , mHandler(std::move(inHandler))
        , mTimer(inLoop, [this] { readNext(); })
    { }

    void start() { readNext(); }

    /// Whether the newest records of all keys have been read.
    bool isLoaded() const { return mLoaded; }
    /// Start time of the last successful read.
    core::time_point confirmedAt() const { return mConfirmedAt; }
    position end() const { return mEnd; }
    bool isUnavailable(core::time_point inNow) const { return inNow - mConfirmedAt > sOutageTime; }

    /// Whether the last read failed.
    bool isFailing() const { return mFailed; }

    /// Abandons the read in flight and starts another one.
    void restart()
    {
        if (!mTimer.isPending())
            readNext();
    }

    /// Ends the pause between reads and a postponement, for example because an append expected an
    /// outdated offset, or because this instance now reads for the others.
    void readSoon()
    {
        mPostponedUntil = {};
        if (mTimer.isPending())
            schedule(core::duration::zero());
    }

    /// Reads the newest records if the store has begun an era that this follower has not seen,
    /// unless another instance reads the topic. The store may never answer a read from before.
    void eraBegan(std::uint64_t inEra)
    {
        if (!mLoaded || isPostponed() || inEra <= std::max(mEraSought, mEnd.era()))
            return;
        readAnew(inEra);
    }

    /// Changes the time that reads wait at the store, including the read in flight.
    void setWait(core::duration inWait)
    {
        if (mOptions.wait == inWait)
            return;
        mOptions.wait = inWait;
        restart();
    }

    /// Polls the topic: reads without waiting at the store, to confirm its current state.
    void poll()
    {
        if (mLoaded && !mReadsAnew)
            read(core::duration::zero());
    }

    /// Accepts records relayed by another instance and postpones the next read. Returns false if
    /// records before them are missing; the next read fetches these.
    bool acceptRelayed(const topic_update &inUpdate)
    {
        if (!mLoaded || inUpdate.from > mEnd || inUpdate.end < mEnd) {
            // The relay of a later era shows that all is to be read again, and no read waits.
            if (inUpdate.end.era() > mEnd.era()) {
                mPostponedUntil = {};
                eraBegan(inUpdate.end.era());
            }
            return false;
        }
        std::vector<record> newRecords;
        std::ranges::copy_if(
            inUpdate.records, std::back_inserter(newRecords),
            [&](const record &inRecord) { return inUpdate.complete || inRecord.position >= mEnd; });
        // A read of the newest records is of no use any more. Another one in flight is left
        // running; its answer will contain no further records.
        if (mReadsAnew && inUpdate.end.era() >= mEraSought) {
            endReadAnew();
            ++mReadNumber;
            schedule(mOptions.pause);
        }
        deliver(std::move(newRecords), inUpdate.complete, inUpdate.asOf, mEnd, inUpdate.end);
        postpone();
        return true;
    }

    /// Postpones the next read by the relay timeout, since another instance reads the topic.
    void postpone()
    {
        mPostponedUntil = core::boot_clock::now() + mOptions.relayTimeout;
        if (mTimer.isPending())
            schedule(core::duration::zero());
    }

    /// Whether reads are postponed because another instance reads the topic.
    bool isPostponed() const { return core::boot_clock::now() < mPostponedUntil; }

    /// Sets a function that is called when a read starts.
    void onReadStarted(std::function<void()> inHandler) { mReadStarted = std::move(inHandler); }

private:
    void readNext()
    {
        if (mLoaded && !mReadsAnew) {
            const bool isFollowUp
                = mHasNewRecords && mOptions.followUpWait > core::duration::zero();
            read(isFollowUp ? std::min(mOptions.wait, mOptions.followUpWait) : mOptions.wait);
            return;
        }
        const std::uint64_t number = beginRead();
        mClient.readNewest(mTopic, mAfterKey, [this, number](const read_result &inResult) {
            if (number == mReadNumber)
                newestReceived(inResult);
        });
    }

    void read(core::duration inWait)
    {
        const std::uint64_t number = beginRead();
        mClient.read(mTopic, mEnd.offset(), inWait, [this, number](const read_result &inResult) {
            if (number == mReadNumber)
                recordsReceived(inResult);
        });
    }

    std::uint64_t beginRead()
    {
        mTimer.cancel();
        mStartedAt = core::boot_clock::now();
        if (mReadStarted)
            mReadStarted();
        return ++mReadNumber;
    }

    void schedule(core::duration inDelay)
    {
        mTimer.cancel();
        mTimer.startOnce(std::max(inDelay, mPostponedUntil - core::boot_clock::now()));
    }

    void readFailed()
    {
        core::logEvent(core::log_level::warning, "store_read_failed",
                       {{"topic", mTopic},
                        {"era", mEnd.era()},
                        {"offset", mEnd.offset()},
                        {"loaded", mLoaded}});
        mFailed = true;
        schedule(mRetryPause);
        mRetryPause = std::min(mRetryPause * 2, mOptions.maxRetryPause);
    }

    void newestReceived(const read_result &inResult)
    {
        if (inResult.outcome != read_result::status::done || isOutdated(inResult)) {
            readFailed();
            return;
        }
        // The pages are not an atomic snapshot. Records appended meanwhile are read afterwards,
        // starting from the end of the topic at the first page.
        if (mAfterKey.empty()) {
            mSnapshotEnd = inResult.end;
            mSnapshotStartedAt = mStartedAt;
        } else if (inResult.era != mSnapshotEnd.era()) {
            readAnew(inResult.era);
            return;
        }
        mPages.insert(mPages.end(), inResult.records.begin(), inResult.records.end());
        if (inResult.hasMore && !inResult.records.empty()) {
            mAfterKey = inResult.records.back().key;
            readNext();
            return;
        }
        std::vector<record> pages = std::move(mPages);
        endReadAnew();
        const bool isFirst = !mLoaded;
        if (!isFirst)
            core::logEvent(
                core::log_level::info, "topic_read_anew",
                {{"topic", mTopic}, {"before", mEnd.toString()}, {"end", mSnapshotEnd.toString()}});
        deliver(std::move(pages), true, mSnapshotStartedAt, position(), mSnapshotEnd);
        schedule(isFirst ? std::max(mOptions.pause, mOptions.firstPause) : mOptions.pause);
    }

    void recordsReceived(const read_result &inResult)
    {
        const bool isDone = inResult.outcome == read_result::status::done;
        if (inResult.outcome == read_result::status::expired
            || (isDone && inResult.era > mEnd.era())) {
            readAnew(inResult.era);
            return;
        }
        if (!isDone || isOutdated(inResult)) {
            readFailed();
            return;
        }
        std::vector<record> newRecords;
        std::ranges::copy_if(inResult.records, std::back_inserter(newRecords),
                             [this](const record &inRecord) { return inRecord.position >= mEnd; });
        mHasNewRecords = !newRecords.empty();
        const position end = newRecords.empty() ? mEnd : newRecords.back().position.next();
        deliver(std::move(newRecords), false, mStartedAt, mEnd, end);
        schedule(mOptions.pause);
    }

    /// Whether an answer is of an era that the store has left.
    bool isOutdated(const read_result &inResult) const { return inResult.era < mEnd.era(); }

    /// Reads the newest records of all keys, which are expected to be of an era or a later one.
    void readAnew(std::uint64_t inEra)
    {
        mEraSought = std::max(mEraSought, inEra);
        endReadAnew();
        mReadsAnew = true;
        readNext();
    }

    void endReadAnew()
    {
        mReadsAnew = false;
        mAfterKey.clear();
        mPages.clear();
    }

    void deliver(std::vector<record> inRecords, bool inComplete, core::time_point inStartedAt,
                 position inFrom, position inEnd)
    {
        const bool afterRestore = std::exchange(mLoaded, true) && inEnd.era() > mEnd.era();
        mEnd = inEnd;
        const bool afterOutage
            = mConfirmedAt != core::time_point() && inStartedAt - mConfirmedAt > sOutageTime;
        const bool afterFailure = std::exchange(mFailed, false);
        mConfirmedAt = std::max(mConfirmedAt, inStartedAt);
        mRetryPause = mOptions.minRetryPause;
        mHandler({std::move(inRecords), inComplete, inStartedAt, afterFailure, afterOutage,
                  afterRestore, inFrom, mEnd});
    }

    Client &mClient;
    std::string mTopic;
    follow_options mOptions;
    update_handler mHandler;
    kernel::timer mTimer;
    std::function<void()> mReadStarted;
    /// No read starts before this time, except those that are asked for.
    core::time_point mPostponedUntil;
    core::duration mRetryPause = mOptions.minRetryPause;
    bool mLoaded = false;
    /// Whether the newest records of all keys are to be read although they were read before.
    bool mReadsAnew = false;
    bool mFailed = false;
    /// Whether the last read returned records.
    bool mHasNewRecords = false;
    /// Number of the last started read; answers to earlier reads are ignored.
    std::uint64_t mReadNumber = 0;
    /// Position after the last record that was delivered.
    position mEnd;
    /// Greatest era for which the newest records were asked for. Relays of earlier eras are no
    /// substitute for them.
    std::uint64_t mEraSought = 0;
    std::string mAfterKey;
    std::vector<record> mPages;
    core::time_point mStartedAt;
    position mSnapshotEnd;
    core::time_point mSnapshotStartedAt;
    core::time_point mConfirmedAt;
};

} // namespace corneltally::store
