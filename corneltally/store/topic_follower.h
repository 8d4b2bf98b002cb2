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

/// Constants of following a topic.
struct follow_settings
{
    /// Time that a read waits at the store for a record.
    core::duration wait{};
    /// Pause between two reads.
    core::duration pause{};
    /// Pause after a failed read, doubled with each further failure.
    core::duration minRetryPause = std::chrono::milliseconds(100);
    core::duration maxRetryPause = std::chrono::milliseconds(800);
    /// Own reads begin this long after the last records that another instance passed on.
    core::duration relayTimeout = std::chrono::milliseconds(1300);
};

/// Records of a topic as they arrive.
struct topic_update
{
    std::vector<record> records;
    /// The records are the newest of all keys; keys that are not among them are gone.
    bool complete = false;
    /// When the read was started whose answer this is: the state is at least as new.
    core::time_point asOf;
    /// Whether the read before failed, and whether the store had not answered for some time.
    bool afterFailure = false;
    bool afterOutage = false;
    /// Offset from which the records were read, and the one behind the last of them.
    std::uint64_t from = 0;
    std::uint64_t end = 0;
};

/// Follows a keyed topic: the newest record of each key first, then all records from there. Where
/// the history is gone it begins anew.
template <store_client Client>
class topic_follower
{
public:
    using update_handler = std::function<void(const topic_update &)>;

    /// Failures in a row, or a time without answer, after which the store counts as away.
    static constexpr core::duration sOutageTime = std::chrono::seconds(2);

    topic_follower(kernel::event_loop &inLoop, Client &ioClient, std::string inTopic,
                   follow_settings inSettings, update_handler inHandler)
        : mClient(ioClient)
        , mTopic(std::move(inTopic))
        , mSettings(inSettings)
        , mHandler(std::move(inHandler))
        , mTimer(inLoop, [this] { readNext(); })
    { }

    void start() { readNext(); }

    /// Whether the newest records were read once.
    bool isLoaded() const { return mLoaded; }
    /// When the last successful read was started.
    core::time_point confirmedAt() const { return mConfirmedAt; }
    std::uint64_t end() const { return mOffset; }
    bool isUnavailable(core::time_point inNow) const { return inNow - mConfirmedAt > sOutageTime; }

    /// Gives up the read that is under way and starts another one.
    void restart()
    {
        if (!mTimer.isPending())
            readNext();
    }

    /// Reads again soon, for example because an append failed on an old offset.
    void readSoon()
    {
        if (mTimer.isPending())
            schedule(core::duration::zero());
    }

    /// Changes the time that reads wait at the store, also of the one that is under way.
    void setWait(core::duration inWait)
    {
        if (mSettings.wait == inWait)
            return;
        mSettings.wait = inWait;
        restart();
    }

    /// Reads what there is without waiting at the store, so that the state is known as of now.
    void readNow()
    {
        if (mLoaded)
            read(core::duration::zero());
    }

    /// Takes records that another instance has read, and puts the own reads off. Returns false if
    /// records between these and the own ones are missing; the next own read brings them.
    bool acceptRelayed(const topic_update &inUpdate)
    {
        if (!mLoaded || inUpdate.from > mOffset || inUpdate.end < mOffset)
            return false;
        std::vector<record> newRecords;
        std::ranges::copy_if(inUpdate.records, std::back_inserter(newRecords),
                             [this](const record &inRecord) { return inRecord.offset >= mOffset; });
        const std::uint64_t from = mOffset;
        mOffset = inUpdate.end;
        // A read that is under way answers later and brings nothing new.
        const bool isReading = !mTimer.isPending();
        deliver(std::move(newRecords), false, core::boot_clock::now(), from);
        mTimer.cancel();
        if (!isReading)
            schedule(mSettings.relayTimeout);
        return true;
    }

private:
    void readNext()
    {
        if (mLoaded) {
            read(mSettings.wait);
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
        return ++mReadNumber;
    }

    void schedule(core::duration inDelay)
    {
        mTimer.cancel();
        mTimer.startOnce(inDelay);
    }

    void readFailed()
    {
        core::logEvent(core::log_level::warning, "store_read_failed",
                       {{"topic", mTopic}, {"offset", mOffset}, {"loaded", mLoaded}});
        mFailed = true;
        schedule(mRetryPause);
        mRetryPause = std::min(mRetryPause * 2, mSettings.maxRetryPause);
    }

    void newestReceived(const read_result &inResult)
    {
        if (inResult.outcome != read_result::status::done) {
            readFailed();
            return;
        }
        // The pages are no snapshot: what changes meanwhile is read again from the first one's end.
        if (mAfterKey.empty()) {
            mOffset = inResult.end;
            mSnapshotStartedAt = mStartedAt;
        }
        mPages.insert(mPages.end(), inResult.records.begin(), inResult.records.end());
        if (inResult.more && !inResult.records.empty()) {
            mAfterKey = inResult.records.back().key;
            readNext();
            return;
        }
        mAfterKey.clear();
        mLoaded = true;
        deliver(std::exchange(mPages, {}), true, mSnapshotStartedAt, 0);
        schedule(mSettings.pause);
    }

    void recordsReceived(const read_result &inResult)
    {
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
        if (!newRecords.empty())
            mOffset = newRecords.back().offset + 1;
        deliver(std::move(newRecords), false, mStartedAt, from);
        schedule(mSettings.pause);
    }

    void deliver(std::vector<record> inRecords, bool inComplete, core::time_point inStartedAt,
                 std::uint64_t inFrom)
    {
        const bool afterOutage
            = mConfirmedAt != core::time_point() && inStartedAt - mConfirmedAt > sOutageTime;
        const bool afterFailure = std::exchange(mFailed, false);
        mConfirmedAt = inStartedAt;
        mRetryPause = mSettings.minRetryPause;
        mHandler({std::move(inRecords), inComplete, inStartedAt, afterFailure, afterOutage, inFrom,
                  mOffset});
    }

    Client &mClient;
    std::string mTopic;
    follow_settings mSettings;
    update_handler mHandler;
    kernel::timer mTimer;
    core::duration mRetryPause = mSettings.minRetryPause;
    bool mLoaded = false;
    bool mFailed = false;
    /// Number of the last read; answers to earlier ones are dropped.
    std::uint64_t mReadNumber = 0;
    std::uint64_t mOffset = 0;
    std::string mAfterKey;
    std::vector<record> mPages;
    core::time_point mStartedAt;
    core::time_point mSnapshotStartedAt;
    core::time_point mConfirmedAt;
};

} // namespace corneltally::store
