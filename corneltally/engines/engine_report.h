#pragma once

#include "corneltally/engines/held_weights.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace corneltally::engines {

/// State that an engine reports. The values lag by some hundred milliseconds.
struct engine_report
{
    std::uint64_t startedMs = 0;
    /// Number of orders accepted since the start.
    std::uint64_t orders = 0;
    /// A base model is being loaded or unloaded.
    bool busy = false;
    int waiting = 0;
    int running = 0;
    /// KV cache that can't be evicted, in tokens.
    double memoryUsed = 0;
    double memoryTotal = 0;
    std::vector<held_model> models;
    /// Adapters that are being loaded, by base model.
    std::vector<held_model> arriving;

    friend auto operator<=>(const engine_report &, const engine_report &) = default;
};

} // namespace corneltally::engines
