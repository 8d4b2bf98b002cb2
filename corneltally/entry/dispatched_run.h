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

/// A run on its way through one or more attempts.
struct dispatched_run
{
    run request;
    core::time_point startedAt;
    /// Last sign of the run from the current owner.
    core::time_point lastEventAt;
    /// Where the current attempt runs; empty between attempts.
    std::string endpoint;
    /// Instance that the current attempt was sent to; empty for application services.
    std::string owner;
    int attempts = 0;
    /// Attempts that another owner has to continue after parts were received.
    int resumptions = 0;
    bool headSent = false;
    /// The outcome of an earlier attempt is unknown, so that "not run" would be a false answer.
    bool mayHaveRun = false;
    /// Parts that were passed to the front end.
    std::uint64_t nextPart = 0;
    std::set<std::string, std::less<>> failedEndpoints;
    /// When the next attempt is made; set between attempts.
    std::optional<core::time_point> nextAttempt;
    std::optional<endpoint::service_client::call_id> call;
    /// Why the last attempt failed.
    std::optional<run_end> lastFailure;
};

} // namespace corneltally::entry
