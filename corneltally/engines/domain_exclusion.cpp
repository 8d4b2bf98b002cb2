#include "corneltally/engines/domain_exclusion.h"

#include "corneltally/engines/endpoint_choice.h"
#include "corneltally/engines/endpoint_table.h"

#include <algorithm>

namespace corneltally::engines {

bool excludesUsableEndpoint(const endpoint_table &inTable, const work_request &inRequest,
                            core::time_point inNow)
{
    if (!inRequest.domains.isRestricted())
        return false;
    return std::ranges::any_of(inTable.all(), [&](const auto &inEntry) {
        const endpoint &target = inEntry.second;
        return target.entry.service == inRequest.service
            && !inRequest.domains.contains(target.entry.failureDomain)
            && inTable.usable(target, inNow);
    });
}

} // namespace corneltally::engines
