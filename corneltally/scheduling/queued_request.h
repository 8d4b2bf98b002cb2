#pragma once

#include "corneltally/core/boot_clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace corneltally::scheduling {

/// What the queue of an endpoint needs to know about a request.
struct queued_request
{
    std::string requestId;
    std::string account;
    /// Share of the endpoint relative to other client accounts.
    double weight = 1;
    /// Adapter and version as one name, for example "quotes@7".
    std::string adapter;
    /// Prompt tokens and reserved output.
    double tokens = 0;
    bool prompt = true;
    core::time_point deadline;
    /// Set by the queue.
    core::time_point arrived;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const queued_request &, const queued_request &) = default;
};

} // namespace corneltally::scheduling
