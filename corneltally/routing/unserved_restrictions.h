#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/routing/region_restriction.h"

#include <compare>
#include <map>
#include <string>
#include <vector>

namespace corneltally::routing {

struct configuration;

/// Routes and client accounts of the configuration in force whose allowed regions contain no
/// failure domain, so that all their requests are refused.
class unserved_restrictions
{
public:
    /// A restriction that became unserved, or that no longer is.
    struct change
    {
        /// "route NAME" or "account NAME".
        std::string subject;
        /// Its allowed regions, separated by commas; for the end of a condition, those at its
        /// beginning.
        std::string regions;
        bool unserved = true;
        /// How long it was unserved, if it no longer is.
        core::duration lasted{};

        friend bool operator==(const change &, const change &) = default;
    };

    /// Applies a configuration and the regions of the failure domains. Returns what changed since
    /// the last call.
    std::vector<change> update(const configuration &inConfiguration,
                               const domain_regions &inRegions, core::time_point inNow);

private:
    struct condition
    {
        std::string regions;
        core::time_point since;
    };

    std::map<std::string, condition, std::less<>> mConditions;
};

} // namespace corneltally::routing
