#pragma once

#include "corneltally/catalog/endpoint_departures.h"
#include "corneltally/core/boot_clock.h"
#include "corneltally/store/record.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace corneltally::core {
class metrics;
}
namespace corneltally::kernel {
class service_registry;
}
namespace corneltally::store {
struct topic_update;
}

namespace corneltally::catalog {

/// Follows the entries of the endpoints for the catalog service: decodes them, notifies the other
/// services and logs.
class endpoint_entries
{
public:
    endpoint_entries(kernel::service_registry &ioRegistry, core::metrics &ioMetrics)
        : mRegistry(ioRegistry)
        , mMetrics(ioMetrics)
    { }

    /// Applies the records of an update. Returns those whose value has changed.
    std::vector<store::record> apply(const store::topic_update &inUpdate, core::time_point inNow);

    /// Applies the entries that were taken for outdated after a restore, and that the store still
    /// has although their endpoints have had time to write them again or to lapse. Forgets what is
    /// no longer needed for that.
    void update(core::time_point inNow);

private:
    bool isOutdated(const store::record &inRecord) const;
    bool isChanged(const store::record &inRecord) const;
    void applyEntry(const store::record &inRecord, core::time_point inNow);
    void remove(const std::string &inEndpoint, bool inMayReturn, core::time_point inNow);

    kernel::service_registry &mRegistry;
    core::metrics &mMetrics;
    std::map<std::string, std::string, std::less<>> mValues;
    std::set<std::string> mLeaving;
    endpoint_departures mDepartures;
    /// Entries of a restored store that are not applied yet, by endpoint.
    std::map<std::string, store::record, std::less<>> mOutdated;
    core::time_point mStoreReturnedAt{-std::chrono::hours(1)};
};

} // namespace corneltally::catalog
