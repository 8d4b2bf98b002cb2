#pragma once

#include "corneltally/core/boot_clock.h"

namespace corneltally::engines {

class endpoint_table;
struct work_request;

/// Whether a usable endpoint of the request's service is not considered for the request because the
/// request may not run in its failure domain.
bool excludesUsableEndpoint(const endpoint_table &inTable, const work_request &inRequest,
                            core::time_point inNow);

} // namespace corneltally::engines
