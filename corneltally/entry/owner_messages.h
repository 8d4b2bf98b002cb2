#pragma once

#include "corneltally/entry/run.h"

#include <cstdint>
#include <string>

namespace corneltally::entry {

/// Submits a run to the owner of an endpoint. Its run_event messages go to the dispatch service of
/// the origin instance; the owner refuses with run_end{not_run} if it does not own the endpoint.
struct run_submit
{
    run request;
    std::string endpoint;
    /// Instance that the caller is connected to.
    std::string origin;
    /// First part that the origin still needs; greater than 0 resumes a stream.
    std::uint64_t resumeFrom = 0;
};

/// Ends a run whose caller left.
struct run_cancel
{
    std::string requestId;
    std::string origin;
};

/// The process is shutting down: hand over endpoints once nothing runs on them.
struct drain_started
{ };

} // namespace corneltally::entry
