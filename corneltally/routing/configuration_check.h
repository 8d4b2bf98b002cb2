#pragma once

#include "corneltally/routing/finding.h"
#include "corneltally/routing/member_fault.h"
#include "corneltally/routing/region_restriction.h"
#include "corneltally/routing/routing_table.h"

#include <vector>

namespace corneltally::routing {

/// Findings for the members of the document that are not as its format requires. A member that is
/// not used is reported once for each kind of entry, in case the document is of a later format.
std::vector<finding> findingsOf(const std::vector<member_fault> &inFaults);

/// Checks a configuration for invalid values, entries that can never match a request, and limits
/// that contradict each other. inRegions has the region of each failure domain; null if unknown.
std::vector<finding> checkConfiguration(const configuration &inConfiguration,
                                        const domain_regions *inRegions);

} // namespace corneltally::routing
