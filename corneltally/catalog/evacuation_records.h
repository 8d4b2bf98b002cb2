#pragma once

#include "corneltally/store/record.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::catalog {

/// The newest operator record of each failure domain that was ever evacuated. A record with a value
/// evacuates the failure domain; one without ends the evacuation. Records without value are kept,
/// so that deletions can be relayed. A late copy of a record before the end of the known records
/// changes nothing, whether or not the record that replaced it is known.
class evacuation_records
{
public:
    enum class outcome {
        /// The record is known, or it was replaced or deleted since.
        repeated,
        /// The record is newer, but the failure domain was evacuated, or not, before.
        unchanged,
        begun,
        ended,
    };

    /// Applies a record of a failure domain, in whatever order the records arrive.
    outcome apply(const std::string &inFailureDomain, const store::record &inRecord);

    /// Completes an offset range after its records were applied, which are the newest over all keys
    /// in it. Ends the evacuations whose records are in the range but not in inRecords; returns
    /// their failure domains.
    std::vector<std::string> completeRange(const std::vector<store::record> &inRecords,
                                           std::uint64_t inFrom, std::uint64_t inEnd);

    bool isEvacuated(std::string_view inFailureDomain) const;
    /// Offset of the newest record of a failure domain; 0 if there is none.
    std::uint64_t offsetOf(std::string_view inFailureDomain) const;

    /// The lowest offset of a record that is in force, or inEnd if it is lower.
    std::uint64_t firstInForce(std::uint64_t inEnd) const;

    /// The newest records, with and without value.
    std::vector<store::record> all() const;

private:
    /// All changes before this offset are known.
    std::uint64_t mEnd = 0;
    /// By failure domain.
    std::map<std::string, store::record, std::less<>> mRecords;
};

} // namespace corneltally::catalog
