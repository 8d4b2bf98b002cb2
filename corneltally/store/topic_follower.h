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
    /// Offset from which the records were read, and the offset after them.
    std::uint64_t from = 0;
    std::uint64_t end = 0;
};

/// Follows a keyed topic: reads the newest record of each key, then all later records. Starts over
/// with the newest records if the store no longer retains the later ones.
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
    std::uint64_t end() const { return mOffset; }
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
        if (mLoaded)
            read(core::duration::zero());
    }

    /// Accepts records relayed by another instance and postpones the next read. Returns false if
    /// records before them are missing; the next read fetches these.
    bool acceptRelayed(const topic_update &inUpdate)
    {
        if (!mLoaded || inUpdate.from > mOffset || inUpdate.end < mOffset)
            return false;
        std::vector<record> newRecords;
        std::ranges::copy_if(inUpdate.records, std::back_inserter(newRecords),
                             [&](const record &inRecord) {
                                 return inUpdate.complete || inRecord.offset >= mOffset;
                             });
        const std::uint64_t from = mOffset;
        mOffset = inUpdate.end;
        // A read in flight is left running; its answer will contain no further records.
        deliver(std::move(newRecords), inUpdate.complete, inUpdate.asOf, from);
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
        if (mLoaded) {
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
        mClient.read(mTopic, mOffset, inWait, [this, number](const read_result &inResult) {
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
        core::logEvent(
            core::log_level::warning, "store_read_failed",
            {{"topic", mTopic}, {"era", mEra}, {"offset", mOffset}, {"loaded", mLoaded}});
        mFailed = true;
        schedule(mRetryPause);
        mRetryPause = std::min(mRetryPause * 2, mOptions.maxRetryPause);
    }

    void newestReceived(const read_result &inResult)
    {
        noteEra(inResult);
        if (inResult.outcome != read_result::status::done) {
            readFailed();
            return;
        }
        // The pages are not an atomic snapshot. Records appended meanwhile are read afterwards,
        // starting from the end of the topic at the first page.
        if (mAfterKey.empty()) {
            if (mHasRead)
                core::logEvent(core::log_level::info, "topic_read_anew",
                               {{"topic", mTopic},
                                {"era", mEra},
                                {"end_before", mOffset},
                                {"end", inResult.end}});
            mOffset = inResult.end;
            mSnapshotStartedAt = mStartedAt;
        }
        mPages.insert(mPages.end(), inResult.records.begin(), inResult.records.end());
        if (inResult.hasMore && !inResult.records.empty()) {
            mAfterKey = inResult.records.back().key;
            readNext();
            return;
        }
        mAfterKey.clear();
        const bool isFirst = !mHasRead;
        mLoaded = true;
        mHasRead = true;
        deliver(std::exchange(mPages, {}), true, mSnapshotStartedAt, 0);
        schedule(isFirst ? std::max(mOptions.pause, mOptions.firstPause) : mOptions.pause);
    }

    void recordsReceived(const read_result &inResult)
    {
        noteEra(inResult);
        if (inResult.outcome == read_result::status::expired) {
            mLoaded = false;
            readNext();
            return;
        }
        if (inResult.outcome != read_result::status::done) {
            readFailed();
            return;
        }
        const std::uint64_t from = mOffset;
        std::vector<record> newRecords;
        std::ranges::copy_if(inResult.records, std::back_inserter(newRecords),
                             [this](const record &inRecord) { return inRecord.offset >= mOffset; });
        mHasNewRecords = !newRecords.empty();
        if (!newRecords.empty())
            mOffset = newRecords.back().offset + 1;
        deliver(std::move(newRecords), false, mStartedAt, from);
        schedule(mOptions.pause);
    }

    /// Logs the first answer from another copy of the store.
    void noteEra(const read_result &inResult)
    {
        if (inResult.era == 0 || inResult.era == mEra)
            return;
        core::logEvent(core::log_level::info, "store_era",
                       {{"topic", mTopic},
                        {"era", inResult.era},
                        {"era_before", mEra},
                        {"offset", mOffset},
                        {"end", inResult.end}});
        mEra = inResult.era;
    }

    void deliver(std::vector<record> inRecords, bool inComplete, core::time_point inStartedAt,
                 std::uint64_t inFrom)
    {
        const bool afterOutage
            = mConfirmedAt != core::time_point() && inStartedAt - mConfirmedAt > sOutageTime;
        const bool afterFailure = std::exchange(mFailed, false);
        mConfirmedAt = std::max(mConfirmedAt, inStartedAt);
        mRetryPause = mOptions.minRetryPause;
        mHandler({std::move(inRecords), inComplete, inStartedAt, afterFailure, afterOutage, inFrom,
                  mOffset});
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
    bool mHasRead = false;
    bool mFailed = false;
    /// Whether the last read returned records.
    bool mHasNewRecords = false;
    /// Number of the last started read; answers to earlier reads are ignored.
    std::uint64_t mReadNumber = 0;
    std::uint64_t mOffset = 0;
    /// Era of the last answer that told it.
    std::uint64_t mEra = 0;
    std::string mAfterKey;
    std::vector<record> mPages;
    core::time_point mStartedAt;
    core::time_point mSnapshotStartedAt;
    core::time_point mConfirmedAt;
};

} // namespace corneltally::store
