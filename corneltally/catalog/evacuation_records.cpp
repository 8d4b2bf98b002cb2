#include "corneltally/catalog/evacuation_records.h"

#include <algorithm>

namespace corneltally::catalog {

evacuation_records::outcome evacuation_records::apply(const std::string &inFailureDomain,
                                                      const store::record &inRecord)
{
    if (inRecord.position < mEnd)
        return outcome::repeated;
    const auto [known, isNew] = mRecords.try_emplace(inFailureDomain, inRecord);
    if (!isNew && known->second.position >= inRecord.position)
        return outcome::repeated;
    const bool wasEvacuated = !isNew && known->second.value.has_value();
    known->second = inRecord;
    if (wasEvacuated == inRecord.value.has_value())
        return outcome::unchanged;
    return wasEvacuated ? outcome::ended : outcome::begun;
}

std::vector<std::string>
evacuation_records::completeRange(const std::vector<store::record> &inRecords,
                                  store::position inFrom, store::position inEnd)
{
    if (inFrom >= inEnd)
        return {};
    const auto isDeleted = [&](const store::record &inKnown) {
        return inKnown.position >= inFrom && inKnown.position < inEnd
            && inKnown.position.era() == inEnd.era()
            && std::ranges::none_of(inRecords, [&](const store::record &inRecord) {
                   return inRecord.key == inKnown.key && inRecord.position == inKnown.position;
               });
    };
    // A record was deleted at some position before the end of the range. The last one is taken, so
    // that the deletion is relayed to every instance that lacks a part of the range.
    std::vector<std::string> ended = endWhere(isDeleted, inEnd.previous());
    if (inFrom <= mEnd)
        mEnd = std::max(mEnd, inEnd);
    return ended;
}

std::vector<std::string> evacuation_records::endLost()
{
    const auto isLost
        = [&](const store::record &inKnown) { return inKnown.position.era() < mEnd.era(); };
    return endWhere(isLost, store::position(mEnd.era(), 0));
}

/// Ends the evacuations whose record meets a condition, as by a deletion at a position.
std::vector<std::string>
evacuation_records::endWhere(const std::function<bool(const store::record &)> &inIsEnded,
                             store::position inEndedBy)
{
    std::vector<std::string> ended;
    for (auto &[domain, known] : mRecords) {
        if (!known.value || !inIsEnded(known))
            continue;
        known.value.reset();
        known.position = inEndedBy;
        ended.push_back(domain);
    }
    return ended;
}

bool evacuation_records::isEvacuated(std::string_view inFailureDomain) const
{
    const auto found = mRecords.find(inFailureDomain);
    return found != mRecords.end() && found->second.value.has_value();
}

store::position evacuation_records::positionOf(std::string_view inFailureDomain) const
{
    const auto found = mRecords.find(inFailureDomain);
    return found == mRecords.end() ? store::position() : found->second.position;
}

store::position evacuation_records::firstInForce(store::position inEnd) const
{
    store::position first = inEnd;
    for (const auto &[domain, known] : mRecords) {
        if (known.value)
            first = std::min(first, known.position);
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
