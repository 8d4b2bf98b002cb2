#include "corneltally/settings/settings_replica.h"

#include "corneltally/settings/change.h"

#include <algorithm>
#include <cassert>

namespace corneltally::settings {

namespace {

/// Limits on records that wait for earlier ones and on records kept for peers.
constexpr std::size_t cMaxPendingBytes = 16 * 1024 * 1024;
constexpr std::size_t cMaxHistoryBytes = 1024 * 1024;
constexpr std::size_t cMaxHistoryRecords = 4'096;
/// Longer changes are rejected, since they would not fit into a message between instances.
constexpr std::size_t cMaxChangeBytes = 512 * 1024;

/// Versions start at 1, since 0 denotes an absent node. A log may number its records from 0 or from
/// 1: a record at offset 0 is always rejected, so that the replica works with both.
constexpr std::uint64_t cFirstVersion = 1;

/// Returns the data of a record, or a malformed placeholder for a change that is too long.
std::string_view limitedData(std::string_view inData)
{
    return inData.size() > cMaxChangeBytes ? std::string_view("too long") : inData;
}

} // namespace

std::vector<record_verdict> settings_replica::addLogRecord(std::uint64_t inOffset,
                                                           std::string_view inData,
                                                           std::int64_t inTimeMs)
{
    mRetention.noteRecord(inOffset, inTimeMs);
    if (!snapshot_part::sIsSnapshot(inData))
        return add(inOffset, limitedData(inData));
    std::vector<record_verdict> verdicts;
    if (auto part = snapshot_part::sFromRecord(inData)) {
        mRetention.notePart(*part, inOffset, inTimeMs);
        if (part->offset >= mNextOffset && !isNext(inOffset)) {
            if (const auto complete = mAssembler.add(*std::move(part)))
                adopt(*complete);
        }
    }
    verdicts = add(inOffset, cSnapshotPlaceholder);
    applyPending(verdicts);
    return verdicts;
}

std::vector<record_verdict> settings_replica::addPeerRecord(std::uint64_t inOffset,
                                                            std::string_view inData)
{
    return add(inOffset,
               snapshot_part::sIsSnapshot(inData) ? cSnapshotPlaceholder : limitedData(inData));
}

std::vector<record_verdict> settings_replica::addPeerSnapshot(std::string_view inRecord)
{
    std::vector<record_verdict> verdicts;
    auto part = snapshot_part::sFromRecord(inRecord);
    if (!part || part->offset < mNextOffset)
        return verdicts;
    if (const auto complete = mAssembler.add(*std::move(part)))
        adopt(*complete);
    applyPending(verdicts);
    return verdicts;
}

void settings_replica::noteLogStart(std::uint64_t inFirst, std::int64_t inNowMs)
{
    mRetention.noteLogStart(inFirst, inNowMs);
    if (inFirst > std::max(mNextOffset, cFirstVersion))
        mGapEnd = inFirst;
}

std::vector<record_verdict> settings_replica::add(std::uint64_t inOffset, std::string_view inData)
{
    std::vector<record_verdict> verdicts;
    if (isNext(inOffset)) {
        verdicts.push_back(applyNext(inOffset, inData));
        applyPending(verdicts);
    } else if (inOffset > mNextOffset) {
        keepPending(inOffset, inData);
    }
    return verdicts;
}

bool settings_replica::isNext(std::uint64_t inOffset) const
{
    return inOffset == mNextOffset || (mNextOffset == 0 && inOffset == cFirstVersion);
}

record_verdict settings_replica::applyNext(std::uint64_t inOffset, std::string_view inData)
{
    assert(isNext(inOffset));
    mNextOffset = inOffset + 1;
    keepHistory(inOffset, inData);
    record_verdict verdict{.offset = inOffset};
    if (snapshot_part::sIsSnapshot(inData)) {
        verdict.outcome = record_outcome::snapshot;
        return verdict;
    }
    const core::result<change> parsed = change::sFromJson(inData);
    if (!parsed) {
        verdict.reason = parsed.reason();
        return verdict;
    }
    verdict.changeId = parsed->id;
    verdict.author = parsed->author;
    if (inOffset < cFirstVersion)
        verdict.reason
            = {core::error_kind::conflict, "the first record of the log cannot be a change",
               "publish the change again"};
    else if (auto reason = mTree.applyInPlace(*parsed, inOffset))
        verdict.reason = *std::move(reason);
    else
        verdict.outcome = record_outcome::accepted;
    return verdict;
}

void settings_replica::keepPending(std::uint64_t inOffset, std::string_view inData)
{
    const auto [entry, isNew] = mPending.emplace(inOffset, inData);
    if (isNew)
        mPendingBytes += inData.size();
    // A snapshot most likely covers the lowest offsets.
    while (mPendingBytes > cMaxPendingBytes) {
        mPendingBytes -= mPending.begin()->second.size();
        mPending.erase(mPending.begin());
    }
}

void settings_replica::keepHistory(std::uint64_t inOffset, std::string_view inData)
{
    mHistory.push_back({inOffset, std::string(inData)});
    mHistoryBytes += inData.size();
    while (mHistoryBytes > cMaxHistoryBytes || mHistory.size() > cMaxHistoryRecords) {
        mHistoryBytes -= mHistory.front().data.size();
        mHistory.pop_front();
    }
}

void settings_replica::adopt(const snapshot_assembler::snapshot &inSnapshot)
{
    if (inSnapshot.offset < mNextOffset)
        return;
    core::result<settings_tree> tree = settings_tree::sFromJson(inSnapshot.tree);
    if (!tree || tree->version() > inSnapshot.offset || tree->version() < mTree.version())
        return;
    mTree = std::move(tree).value();
    mNextOffset = inSnapshot.offset + 1;
    mHistory.clear();
    mHistoryBytes = 0;
    mAssembler.dropThrough(inSnapshot.offset);
}

void settings_replica::applyPending(std::vector<record_verdict> &ioVerdicts)
{
    while (!mPending.empty()
           && (mPending.begin()->first < mNextOffset || isNext(mPending.begin()->first))) {
        auto entry = mPending.extract(mPending.begin());
        mPendingBytes -= entry.mapped().size();
        if (entry.key() >= mNextOffset)
            ioVerdicts.push_back(applyNext(entry.key(), entry.mapped()));
    }
    if (mGapEnd <= mNextOffset)
        mGapEnd = 0;
}

std::optional<std::vector<settings_replica::record>>
settings_replica::recordsAfter(std::uint64_t inOffset, std::size_t inMaxBytes) const
{
    std::vector<record> records;
    if (inOffset + 1 >= mNextOffset)
        return records;
    if (mHistory.empty() || mHistory.front().offset > std::max(inOffset + 1, cFirstVersion))
        return std::nullopt;
    std::size_t bytes = 0;
    const auto start = std::ranges::lower_bound(mHistory, inOffset + 1, {}, &record::offset);
    for (auto entry = start; entry != mHistory.end(); ++entry) {
        bytes += entry->data.size();
        if (!records.empty() && bytes > inMaxBytes)
            break;
        records.push_back(*entry);
    }
    return records;
}

std::vector<std::string> settings_replica::snapshotRecords() const
{
    std::vector<std::string> records;
    if (mNextOffset == 0)
        return records;
    const auto parts = snapshot_part::sSplit(mNextOffset - 1, mTree.toJson());
    records.reserve(parts.size());
    for (const snapshot_part &part : parts)
        records.push_back(part.toRecord());
    return records;
}

bool settings_replica::snapshotDue(std::int64_t inNowMs, std::size_t inRank) const
{
    return mTree.version() > 0 && !hasGap() && mRetention.snapshotDue(inNowMs, inRank, retention());
}

std::chrono::seconds settings_replica::retention() const
{
    constexpr std::chrono::seconds cDefault{115'200};
    const auto found = mTree.find("/", "log_retention_s");
    const auto *seconds = found ? std::get_if<std::int64_t>(&found->value) : nullptr;
    return seconds != nullptr ? std::chrono::seconds(*seconds) : cDefault;
}

} // namespace corneltally::settings
