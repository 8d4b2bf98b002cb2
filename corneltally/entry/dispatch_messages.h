#pragma once

#include "corneltally/entry/run.h"

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace corneltally::entry {

/// From the front end to dispatch: starts a run. Its run_event messages are sent back to the front
/// end.
struct run_start
{
    run request;
};

/// From the front end to dispatch: cancels a run, for example because its caller disconnected.
struct run_abandon
{
    std::string requestId;
};

/// An adapter version on an endpoint.
struct resident_adapter
{
    std::string adapter;
    std::string version;

    friend auto operator<=>(const resident_adapter &, const resident_adapter &) = default;
};

/// Status of an endpoint, published by its owner to the local dispatch service and to peers.
struct endpoint_status
{
    std::string endpoint;
    /// Instance that owns the endpoint.
    std::string owner;
    std::uint64_t fence = 0;
    bool accepting = false;
    std::vector<resident_adapter> resident;
    std::vector<resident_adapter> loading;
    int running = 0;
    int queued = 0;
    double queuedTokens = 0;
    /// Estimated wait of a new request of the prompt class for a resident adapter.
    core::duration estimatedWait{};

    friend auto operator<=>(const endpoint_status &, const endpoint_status &) = default;
};

} // namespace corneltally::entry
