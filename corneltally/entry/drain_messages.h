#pragma once

#include <cstdint>

namespace corneltally::entry {

/// From the front end to the drain service: no caller's request runs any more.
struct callers_drained
{
    /// Requests that finished after the drain began.
    std::uint64_t finished = 0;
};

/// From the owner service to the drain service: nothing runs on the owned endpoints any more and
/// they are left to their next owners.
struct endpoints_drained
{
    /// Waiting runs that were returned to their origins for another owner.
    std::uint64_t handedOver = 0;
};

} // namespace corneltally::entry
