#include "corneltally/catalog/operator_records.h"

#include <algorithm>
#include <utility>

namespace corneltally::catalog {

bool operator_records::has(const store::record &inRecord) const
{
    const auto known = mRecords.find(inRecord.key);
    return known != mRecords.end() && known->second.record == inRecord;
}

bool operator_records::add(const store::record &inRecord, std::uint64_t inVersion)
{
    const auto [known, isNew]
        = mRecords.try_emplace(inRecord.key, versioned_record{inRecord, inVersion});
    if (isNew)
        return true;
    versioned_record &entry = known->second;
    const bool isNewer = inVersion > entry.version;
    if (isNewer || (inVersion == entry.version && inRecord.position > entry.record.position))
        entry = {inRecord, inVersion};
    return isNewer;
}

std::vector<store::record> operator_records::missingAt(store::position inEnd) const
{
    std::vector<store::record> records;
    for (const auto &[key, entry] : mRecords) {
        if (entry.record.position >= inEnd || entry.record.position.era() < inEnd.era())
            records.push_back(entry.record);
    }
    std::ranges::sort(records, {}, &store::record::position);
    return records;
}

} // namespace corneltally::catalog
