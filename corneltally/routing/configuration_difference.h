#pragma once

#include "corneltally/routing/finding.h"
#include "corneltally/routing/routing_table.h"

#include <vector>

namespace corneltally::routing {

/// Lists what a configuration changes of the one in force, by route, service and client account.
/// Keys are only counted. A version that is not above the one in force is an error, since instances
/// ignore it.
std::vector<finding> compareConfigurations(const configuration &inInForce,
                                           const configuration &inNew);

} // namespace corneltally::routing
