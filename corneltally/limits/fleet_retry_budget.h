#pragma once

#include "corneltally/core/boot_clock.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace corneltally::limits {

/// Limits retries over all instances. Each instance may retry a fraction of its own requests and
/// use an equal part of the fleet-wide slack, so that the sum stays within the limit without
/// messages between instances.
class fleet_retry_budget
{
public:
    struct limits
    {
        /// Retries per request.
        double ratio = 0.2;
        core::duration window = std::chrono::seconds(10);
        /// Additional retries per window over all instances.
        double slack = 0;
        /// Fraction of the limit that is used. The rest covers windows that are not aligned with
        /// the slices.
        double usable = 0.8;
    };

    explicit fleet_retry_budget(limits inLimits)
        : mLimits(inLimits)
    { }

    void setLimits(limits inLimits) { mLimits = inLimits; }
    void setInstanceCount(int inCount) { mInstanceCount = inCount; }

    /// Counts a request for a service.
    void requestArrived(std::string_view inService, core::time_point inNow);

    /// Counts a retry at a service if the budget covers it.
    bool tryRetry(std::string_view inService, core::time_point inNow);

private:
    /// Parts of the window; each is counted and dropped as a whole.
    static constexpr int cSlices = 10;

    struct counts
    {
        std::array<double, cSlices> requests{};
        std::array<double, cSlices> retries{};
        long long slice = 0;
    };

    counts &advance(std::string_view inService, core::time_point inNow);

    limits mLimits;
    int mInstanceCount = 1;
    std::map<std::string, counts, std::less<>> mServices;
};

} // namespace corneltally::limits
