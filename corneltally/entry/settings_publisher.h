#pragma once

#include "corneltally/core/error.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/platform/log_client.h"
#include "corneltally/platform/log_service.h"
#include "corneltally/settings/change.h"
#include "corneltally/settings/settings_replica.h"

#include <chrono>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace corneltally::entry {

/// How publishing a change ended.
enum class publish_outcome : std::uint8_t {
    accepted,
    rejected,
    /// The change is certainly not on the log.
    not_published,
    /// The change may be on the log, or its verdict could not be read.
    unknown,
};

struct publish_result
{
    publish_outcome outcome = publish_outcome::unknown;
    /// Offset of the record, if it is known.
    std::uint64_t offset = 0;
    core::error reason;
};

/// Publishes changes for an operator: reads the log from its start, appends a change and reports
/// the verdict that every reader of the log reaches. After a lost answer it looks up the change id
/// on the log before it sends the record again.
template <platform::log_service Log>
class settings_publisher
{
public:
    /// inTimeLimit applies to loading and to each change.
    settings_publisher(kernel::event_loop &inLoop, Log &inLog, core::duration inTimeLimit);

    /// Reads the log to its end. The handler receives the reason of a failure.
    void load(std::function<void(const std::optional<core::error> &)> inHandler);

    /// Publishes one change that has an id and a base; load() must have succeeded.
    void publish(const settings::change &inChange,
                 std::function<void(const publish_result &)> inHandler);

    const settings::settings_replica &replica() const { return mReplica; }

    /// Returns the verdict on a change; empty if the change was not found on the log.
    std::optional<publish_result> findVerdict(const std::string &inId) const;

private:
    void readNextPage();
    void receivePage(const platform::read_result &inResult);
    void append();
    void receiveAppend(const platform::append_result &inResult);
    void advance();
    void finish(const publish_result &inResult);
    void runLater(std::function<void()> inStep);
    bool isTimedOut() const { return core::boot_clock::now() >= mDeadline; }

    Log &mLog;
    core::duration mTimeLimit;
    settings::settings_replica mReplica;
    std::map<std::string, publish_result> mVerdicts;
    std::uint64_t mReadFrom = 0;
    /// Whether the last page reached the end of the log.
    bool mAtEnd = false;
    core::error mLastFailure;
    std::function<void(const std::optional<core::error> &)> mLoaded;
    std::function<void(const publish_result &)> mPublished;
    std::string mId;
    std::string mRecord;
    bool mMayBeOnLog = false;
    std::optional<std::uint64_t> mAppendedOffset;
    core::time_point mDeadline;
    std::function<void()> mNextStep;
    kernel::timer mDelay;
};

extern template class settings_publisher<platform::log_client>;

template <platform::log_service Log>
settings_publisher<Log>::settings_publisher(kernel::event_loop &inLoop, Log &inLog,
                                            core::duration inTimeLimit)
    : mLog(inLog)
    , mTimeLimit(inTimeLimit)
    , mDelay(inLoop, [this] { std::exchange(mNextStep, nullptr)(); })
{ }

template <platform::log_service Log>
void settings_publisher<Log>::load(
    std::function<void(const std::optional<core::error> &)> inHandler)
{
    mLoaded = std::move(inHandler);
    mDeadline = core::boot_clock::now() + mTimeLimit;
    readNextPage();
}

template <platform::log_service Log>
void settings_publisher<Log>::publish(const settings::change &inChange,
                                      std::function<void(const publish_result &)> inHandler)
{
    mPublished = std::move(inHandler);
    mDeadline = core::boot_clock::now() + mTimeLimit;
    mId = inChange.id;
    mRecord = inChange.toJson();
    mMayBeOnLog = false;
    mAppendedOffset.reset();
    if (const auto verdict = findVerdict(mId))
        runLater([this, result = *verdict] { finish(result); });
    else
        append();
}

template <platform::log_service Log>
std::optional<publish_result> settings_publisher<Log>::findVerdict(const std::string &inId) const
{
    const auto found = mVerdicts.find(inId);
    return found == mVerdicts.end() ? std::nullopt : std::optional(found->second);
}

template <platform::log_service Log>
void settings_publisher<Log>::append()
{
    mLog.append("settings", mRecord,
                [this](const platform::append_result &inResult) { receiveAppend(inResult); });
}

template <platform::log_service Log>
void settings_publisher<Log>::receiveAppend(const platform::append_result &inResult)
{
    if (inResult.outcome == platform::append_outcome::appended)
        mAppendedOffset = inResult.offset;
    else
        mLastFailure = inResult.reason;
    if (inResult.outcome != platform::append_outcome::refused)
        mMayBeOnLog = true;
    else if (!mMayBeOnLog) {
        if (isTimedOut())
            finish({publish_outcome::not_published, 0, mLastFailure});
        else
            runLater([this] { append(); });
        return;
    }
    readNextPage();
}

template <platform::log_service Log>
void settings_publisher<Log>::readNextPage()
{
    mLog.read({.stream = "settings", .from = mReadFrom},
              [this](const platform::read_result &inResult) { receivePage(inResult); });
}

template <platform::log_service Log>
void settings_publisher<Log>::receivePage(const platform::read_result &inResult)
{
    if (inResult.outcome == platform::read_outcome::failed
        || (inResult.outcome == platform::read_outcome::expired && inResult.first <= mReadFrom)) {
        mLastFailure = inResult.reason;
        mAtEnd = false;
        if (isTimedOut())
            advance();
        else
            runLater([this] { readNextPage(); });
        return;
    }
    mReplica.noteLogStart(inResult.first, 0);
    if (inResult.outcome == platform::read_outcome::expired) {
        mReadFrom = inResult.first;
        readNextPage();
        return;
    }
    for (const platform::log_record &record : inResult.records) {
        mReadFrom = record.offset + 1;
        for (const auto &verdict : mReplica.addLogRecord(record.offset, record.data, 0)) {
            const bool isAccepted = verdict.outcome == settings::record_outcome::accepted;
            // Only the first record with an id counts; readers reject further copies.
            if (!verdict.changeId.empty())
                mVerdicts.emplace(verdict.changeId,
                                  publish_result{isAccepted ? publish_outcome::accepted
                                                            : publish_outcome::rejected,
                                                 verdict.offset, verdict.reason});
        }
    }
    mAtEnd = mReadFrom >= inResult.next || inResult.records.empty();
    if (mAtEnd)
        advance();
    else
        readNextPage();
}

template <platform::log_service Log>
void settings_publisher<Log>::advance()
{
    if (mLoaded) {
        std::optional<core::error> reason;
        if (!mAtEnd)
            reason = mLastFailure;
        else if (mReplica.hasGap())
            reason = core::error{
                core::error_kind::unavailable,
                "the log no longer holds its first records and has no snapshot",
                "start an entry instance that has the settings tree; it writes a snapshot"};
        std::exchange(mLoaded, nullptr)(reason);
        return;
    }
    if (const auto verdict = findVerdict(mId)) {
        finish(*verdict);
    } else if (isTimedOut()) {
        finish({publish_outcome::unknown, mAppendedOffset.value_or(0), mLastFailure});
    } else if (mAppendedOffset) {
        runLater([this] { readNextPage(); });
    } else {
        // The log was read to its end after the append returned, and the change is not on it. If
        // the lost record still arrives, readers reject the second copy by its id and its base.
        runLater([this] { append(); });
    }
}

template <platform::log_service Log>
void settings_publisher<Log>::finish(const publish_result &inResult)
{
    if (mPublished)
        std::exchange(mPublished, nullptr)(inResult);
}

template <platform::log_service Log>
void settings_publisher<Log>::runLater(std::function<void()> inStep)
{
    // Limits the call rate of an operator's command during an outage of the log.
    constexpr core::duration cRetryDelay = std::chrono::milliseconds(200);
    mNextStep = std::move(inStep);
    mDelay.startOnce(cRetryDelay);
}

} // namespace corneltally::entry
