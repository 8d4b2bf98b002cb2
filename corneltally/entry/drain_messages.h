#pragma once

#include <cstdint>

namespace corneltally::entry {

/// From the front end to the drain service: all requests of callers have finished.
struct callers_drained
{
    /// Requests that finished after the drain began.
    std::uint64_t finished = 0;
};

/// From the owner service to the drain service: no runs are left on the owned endpoints, and the
/// next owners may take them over.
struct endpoints_drained
{
    /// Waiting runs that were returned to their origins to be sent to another owner.
    std::uint64_t handedOver = 0;
};

} // namespace corneltally::entry
