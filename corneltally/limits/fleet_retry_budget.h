#pragma once

#include "corneltally/core/boot_clock.h"

#include <array>
#include <map>
#include <string>
#include <string_view>

namespace corneltally::limits {

/// Bounds how often requests are sent again. Each instance may repeat a share of its own requests
/// and an equal part of the allowance that all instances have together, so that the sum keeps the
/// bound without messages.
class fleet_retry_budget
{
public:
    struct limits
    {
        /// Repeats for each request.
        double ratio = 0.2;
        core::duration window = std::chrono::seconds(10);
        /// Repeats in a window that all instances have besides.
        double slack = 0;
        /// Part of the bound that is used; the rest covers the edges of the windows.
        double usable = 0.8;
    };

    explicit fleet_retry_budget(limits inLimits)
        : mLimits(inLimits)
    { }

    void setLimits(limits inLimits) { mLimits = inLimits; }
    void setInstanceCount(int inCount) { mInstanceCount = inCount; }

    /// A request for a service arrived.
    void requestArrived(std::string_view inService, core::time_point inNow);

    /// Takes one repeat at a service if the budget holds it.
    bool tryRetry(std::string_view inService, core::time_point inNow);

private:
    /// Parts of the window that are counted and forgotten together.
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
