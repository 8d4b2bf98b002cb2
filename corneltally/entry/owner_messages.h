#pragma once

#include "corneltally/entry/run.h"

#include <cstdint>
#include <string>

namespace corneltally::entry {

/// Submits a run to the owner of an endpoint, which sends run_event messages to the dispatch
/// service of the origin instance. An instance that does not own the endpoint answers
/// run_end{not_run}.
struct run_submit
{
    run request;
    std::string endpoint;
    /// Instance that the caller is connected to.
    std::string origin;
    /// First part that the origin still needs; greater than 0 resumes a stream.
    std::uint64_t resumeFrom = 0;
};

/// Cancels a run whose caller disconnected.
struct run_cancel
{
    std::string requestId;
    std::string origin;
};

/// The process is shutting down: endpoints are handed over once no run is left on them.
struct drain_started
{ };

} // namespace corneltally::entry
