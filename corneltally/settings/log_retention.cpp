#include "corneltally/settings/log_retention.h"

#include <algorithm>

namespace corneltally::settings {

namespace {

/// A snapshot is due when the age of the oldest needed record reaches this fraction of the
/// retention. The remaining half allows for outages of the log.
constexpr double cDueAgeFraction = 0.5;
constexpr double cDueAgeFractionPerRank = 0.05;
constexpr std::size_t cMaxRank = 4;
/// Maximum number of records that a new reader has to apply, so that it starts quickly.
constexpr std::size_t cRecordsPerSnapshot = 4'000;
constexpr std::size_t cMaxIncompleteSnapshots = 8;

} // namespace

void log_retention::noteRecord(std::uint64_t inOffset, std::int64_t inTimeMs)
{
    if (inOffset > snapshotOffset())
        mRecordTimes.emplace(inOffset, inTimeMs);
}

void log_retention::notePart(const snapshot_part &inPart, std::uint64_t inRecordOffset,
                             std::int64_t inTimeMs)
{
    if (inPart.offset < snapshotOffset())
        return;
    const std::pair key{inPart.offset, inPart.digest};
    part_map &parts = mParts[key];
    // If a part was written more than once, the later copy expires later.
    parts.insert_or_assign(inPart.index, written_part{inRecordOffset, inTimeMs});
    if (parts.size() < inPart.count) {
        if (mParts.size() > cMaxIncompleteSnapshots)
            mParts.erase(mParts.begin());
        return;
    }
    const auto oldest = std::ranges::min_element(
        parts, {}, [](const auto &inEntry) { return inEntry.second.recordOffset; });
    mSnapshot = written_snapshot{inPart.offset, oldest->second};
    mNeededExpired = false;
    mRecordTimes.erase(mRecordTimes.begin(), mRecordTimes.upper_bound(inPart.offset));
    std::erase_if(mParts, [&](const auto &inEntry) { return inEntry.first.first < inPart.offset; });
}

void log_retention::noteLogStart(std::uint64_t inFirst, std::int64_t inNowMs)
{
    std::optional<std::int64_t> expired;
    if (mSnapshot && mSnapshot->oldestPart.recordOffset < inFirst) {
        expired = mSnapshot->oldestPart.timeMs;
        mSnapshot.reset();
        mNeededExpired = true;
    }
    const auto kept = mRecordTimes.lower_bound(inFirst);
    if (kept != mRecordTimes.begin()) {
        // The newest expired record gives the closest estimate of the retention.
        expired = std::max(expired.value_or(0), std::prev(kept)->second);
        mNeededExpired = true;
        mRecordTimes.erase(mRecordTimes.begin(), kept);
    }
    std::erase_if(mParts, [&](const auto &inEntry) {
        return std::ranges::any_of(inEntry.second, [&](const auto &inPart) {
            return inPart.second.recordOffset < inFirst;
        });
    });
    if (expired) {
        const std::int64_t age = std::max<std::int64_t>(inNowMs - *expired, 1);
        mObservedRetentionMs = std::min(mObservedRetentionMs.value_or(age), age);
    }
}

bool log_retention::snapshotDue(std::int64_t inNowMs, std::size_t inRank,
                                std::chrono::seconds inRetention) const
{
    const std::size_t rank = std::min(inRank, cMaxRank);
    if (mNeededExpired)
        return true;
    if (mRecordTimes.size() > cRecordsPerSnapshot + rank * cRecordsPerSnapshot / 10)
        return true;
    const auto oldest = oldestNeeded();
    if (!oldest)
        return false;
    const std::int64_t configured = std::chrono::milliseconds(inRetention).count();
    const std::int64_t retention = std::min(configured, mObservedRetentionMs.value_or(configured));
    const double dueAge
        = double(retention) * (cDueAgeFraction + cDueAgeFractionPerRank * double(rank));
    return double(inNowMs - *oldest) >= dueAge;
}

std::optional<std::int64_t> log_retention::oldestNeeded() const
{
    std::optional<std::int64_t> oldest;
    if (mSnapshot)
        oldest = mSnapshot->oldestPart.timeMs;
    if (!mRecordTimes.empty())
        oldest
            = std::min(oldest.value_or(mRecordTimes.begin()->second), mRecordTimes.begin()->second);
    return oldest;
}

} // namespace corneltally::settings
