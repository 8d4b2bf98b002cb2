#pragma once

#include "corneltally/engines/held_weights.h"

#include <compare>
#include <cstdint>
#include <vector>

namespace corneltally::engines {

/// State of an engine as it reports it. The values lag by some hundred milliseconds.
struct engine_report
{
    std::uint64_t startedMs = 0;
    /// Orders accepted since the start.
    std::uint64_t orders = 0;
    /// A base model is being loaded or unloaded.
    bool busy = false;
    int waiting = 0;
    int running = 0;
    /// Memory that cannot yield, in tokens.
    double memoryUsed = 0;
    double memoryTotal = 0;
    std::vector<held_model> models;
    /// Adapters on their way to the engine, by base model.
    std::vector<held_model> arriving;

    friend auto operator<=>(const engine_report &, const engine_report &) = default;
};

} // namespace corneltally::engines
