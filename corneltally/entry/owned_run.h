#pragma once

#include "corneltally/entry/owner_messages.h"

#include <cstdint>
#include <optional>
#include <string>

namespace corneltally::entry {

/// A run that was sent to an owned endpoint and has not ended.
struct owned_run
{
    run_submit submitted;
    /// Adapter and version as one name.
    std::string adapter;
    std::uint64_t call = 0;
    /// Fencing number that was sent with the run.
    std::uint64_t fence = 0;
    core::time_point startedAt;
    std::uint64_t nextPart = 0;
    /// The endpoint answered, so that the request is no longer in flight.
    bool reachedEndpoint = false;
    bool headSent = false;
    /// Resumptions since the last part arrived, and the time of the next one.
    int resumptions = 0;
    std::optional<core::time_point> resumeAt;
};

} // namespace corneltally::entry
