#pragma once

#include "corneltally/core/boot_clock.h"

#include <compare>
#include <cstdint>
#include <string>

namespace corneltally::scheduling {

/// Request as the queue of an endpoint sees it.
struct queued_request
{
    std::string requestId;
    std::string account;
    /// Weight of the client account: its share of the endpoint relative to other accounts.
    double weight = 1;
    /// Adapter and version as one name, for example "quotes@7".
    std::string adapter;
    /// Prompt tokens plus reserved output tokens.
    double tokens = 0;
    /// Prompt class if true, patient class if false.
    bool prompt = true;
    core::time_point deadline;
    /// arrived and sequence are set by the queue.
    core::time_point arrived;
    std::uint64_t sequence = 0;

    friend auto operator<=>(const queued_request &, const queued_request &) = default;
};

} // namespace corneltally::scheduling
