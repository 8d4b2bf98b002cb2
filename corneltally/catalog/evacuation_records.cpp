#include "corneltally/catalog/evacuation_records.h"

#include <algorithm>

namespace corneltally::catalog {

evacuation_records::outcome evacuation_records::apply(const std::string &inFailureDomain,
                                                      const store::record &inRecord)
{
    if (inRecord.offset < mEnd)
        return outcome::repeated;
    const auto [known, isNew] = mRecords.try_emplace(inFailureDomain, inRecord);
    if (!isNew && known->second.offset >= inRecord.offset)
        return outcome::repeated;
    const bool wasEvacuated = !isNew && known->second.value.has_value();
    known->second = inRecord;
    if (wasEvacuated == inRecord.value.has_value())
        return outcome::unchanged;
    return wasEvacuated ? outcome::ended : outcome::begun;
}

std::vector<std::string>
evacuation_records::completeRange(const std::vector<store::record> &inRecords, std::uint64_t inFrom,
                                  std::uint64_t inEnd)
{
    std::vector<std::string> ended;
    for (auto &entry : mRecords) {
        store::record &known = entry.second;
        const bool isListed = std::ranges::any_of(inRecords, [&](const store::record &inRecord) {
            return inRecord.key == known.key && inRecord.offset == known.offset;
        });
        if (!known.value || known.offset < inFrom || known.offset >= inEnd || isListed)
            continue;
        // The record was deleted at some offset before the end of the range. The last one is taken,
        // so that the deletion is relayed to every instance that lacks a part of the range.
        known.value.reset();
        known.offset = inEnd - 1;
        ended.push_back(entry.first);
    }
    if (inFrom <= mEnd)
        mEnd = std::max(mEnd, inEnd);
    return ended;
}

bool evacuation_records::isEvacuated(std::string_view inFailureDomain) const
{
    const auto found = mRecords.find(inFailureDomain);
    return found != mRecords.end() && found->second.value.has_value();
}

std::uint64_t evacuation_records::offsetOf(std::string_view inFailureDomain) const
{
    const auto found = mRecords.find(inFailureDomain);
    return found == mRecords.end() ? 0 : found->second.offset;
}

std::uint64_t evacuation_records::firstInForce(std::uint64_t inEnd) const
{
    std::uint64_t first = inEnd;
    for (const auto &[domain, known] : mRecords) {
        if (known.value)
            first = std::min(first, known.offset);
    }
    return first;
}

std::vector<store::record> evacuation_records::all() const
{
    std::vector<store::record> records;
    for (const auto &[domain, known] : mRecords)
        records.push_back(known);
    return records;
}

} // namespace corneltally::catalog
