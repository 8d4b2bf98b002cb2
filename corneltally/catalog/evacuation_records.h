#pragma once

#include "corneltally/store/record.h"

#include <cstdint>
#include <functional>
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

    /// Completes a range after its records were applied, which are the newest over all keys in it.
    /// Ends the evacuations whose records are in the range but not in inRecords; returns their
    /// failure domains. Those of earlier eras than the end of the range stay in force, since a
    /// restored store may have lost their records.
    std::vector<std::string> completeRange(const std::vector<store::record> &inRecords,
                                           store::position inFrom, store::position inEnd);

    /// Ends the evacuations of earlier eras than that of the known records, which the operator has
    /// not written again; returns their failure domains.
    std::vector<std::string> endLost();

    /// Era of the end of the known records.
    std::uint64_t era() const { return mEnd.era(); }

    bool isEvacuated(std::string_view inFailureDomain) const;
    /// Position of the newest record of a failure domain, if there is one.
    store::position positionOf(std::string_view inFailureDomain) const;

    /// The first position of a record that is in force, or inEnd if it is lower.
    store::position firstInForce(store::position inEnd) const;

    /// The newest records, with and without value.
    std::vector<store::record> all() const;

private:
    std::vector<std::string> endWhere(const std::function<bool(const store::record &)> &inIsEnded,
                                      store::position inEndedBy);

    /// All changes before this position are known.
    store::position mEnd;
    /// By failure domain.
    std::map<std::string, store::record, std::less<>> mRecords;
};

} // namespace corneltally::catalog
