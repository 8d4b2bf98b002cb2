#pragma once

#include "corneltally/core/boot_clock.h"

#include <compare>

namespace corneltally::scheduling {

/// Sums of the load of a service's endpoints, as an instance knows them from its own requests and
/// the heartbeats of others.
struct service_backlog
{
    /// Endpoints that may receive requests.
    int endpoints = 0;
    int requests = 0;
    /// Prompt tokens of requests that have not returned a first event.
    double promptTokens = 0;
    /// Average age of the reports in the sums, weighted by prompt tokens.
    core::duration age{};

    friend auto operator<=>(const service_backlog &, const service_backlog &) = default;
};

} // namespace corneltally::scheduling
