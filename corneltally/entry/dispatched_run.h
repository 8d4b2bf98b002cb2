#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/endpoint/service_client.h"
#include "corneltally/entry/run.h"
#include "corneltally/entry/run_event.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>

namespace corneltally::entry {

/// A run in progress, with the state of its attempts.
struct dispatched_run
{
    run request;
    core::time_point startedAt;
    /// When the run was sent to the current owner or last received an event from it.
    core::time_point lastEventAt;
    /// Endpoint of the current attempt; empty between attempts.
    std::string endpoint;
    /// Instance that the current attempt was sent to; empty for application services.
    std::string owner;
    int attempts = 0;
    /// How often the stream was silent or had a gap, or an owner refused to resume it.
    int resumptions = 0;
    bool headSent = false;
    /// An earlier attempt has an unknown outcome, so that the run must not be reported as not run.
    bool mayHaveRun = false;
    /// Number of parts passed to the front end, which is the index of the next one.
    std::uint64_t nextPart = 0;
    std::set<std::string, std::less<>> failedEndpoints;
    /// Time of the next attempt or resume; set while none is in flight.
    std::optional<core::time_point> nextAttemptAt;
    std::optional<endpoint::service_client::call_id> call;
    /// End of the last failed attempt.
    std::optional<run_end> lastFailure;
};

} // namespace corneltally::entry
