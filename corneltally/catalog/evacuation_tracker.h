#pragma once

#include "corneltally/catalog/evacuation_records.h"
#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::core {
class metrics;
}
namespace corneltally::kernel {
class service_registry;
}

namespace corneltally::catalog {

/// Follows the evacuations of failure domains for the catalog service: notifies the other services,
/// logs and measures.
class evacuation_tracker
{
public:
    evacuation_tracker(kernel::service_registry &ioRegistry, core::metrics &ioMetrics);

    /// Time that the operator has to write again the records that a restored store has lost.
    static constexpr core::duration sRewriteTime = std::chrono::seconds(5);

    /// Applies the evacuation records among those of a range, from a read of the store or another
    /// instance. They are the newest records in the range over all keys.
    void apply(const std::vector<store::record> &inRecords, store::position inFrom,
               store::position inEnd, std::string_view inSource, core::time_point inNow);

    /// Whether a record concerns an evacuation.
    static bool sIsEvacuation(const store::record &inRecord);

    const evacuation_records &records() const { return mRecords; }

    /// Ends the evacuations that the operator has not written again after a restore of the store,
    /// and updates the gauges of the others' ages.
    void update(core::time_point inNow);

    /// State of the evacuations as a JSON list.
    std::string dump(core::time_point inNow) const;

private:
    struct arrival
    {
        core::time_point at;
        std::string source;
    };

    void begin(const std::string &inFailureDomain, std::string_view inSource,
               core::time_point inNow);
    void end(const std::string &inFailureDomain, std::string_view inSource, std::string_view inSeen,
             core::time_point inNow);
    void notify(const std::string &inFailureDomain);

    kernel::service_registry &mRegistry;
    core::metrics &mMetrics;
    evacuation_records mRecords;
    /// When records of a later era than before were first applied.
    core::time_point mEraBeganAt;
    /// Arrivals of the records in force, by failure domain.
    std::map<std::string, arrival, std::less<>> mArrivals;
};

} // namespace corneltally::catalog
