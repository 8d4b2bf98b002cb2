#pragma once

#include "corneltally/store/record.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace corneltally::catalog {

/// The newest operator record of each key, except evacuations. Versions in the records order them:
/// their positions do not, since a restored store delivers old records at new positions.
class operator_records
{
public:
    bool has(const store::record &inRecord) const;

    /// Keeps a record, unless one of its key with a greater version is known. Returns whether the
    /// version is greater than the known one. Records without a version have version 0.
    bool add(const store::record &inRecord, std::uint64_t inVersion);

    /// The records that another instance may lack which has all before a position, in the order of
    /// their positions: the later ones and, if the store has lost them, those of earlier eras.
    std::vector<store::record> missingAt(store::position inEnd) const;

private:
    struct versioned_record
    {
        store::record record;
        std::uint64_t version = 0;
    };

    std::map<std::string, versioned_record, std::less<>> mRecords;
};

} // namespace corneltally::catalog
