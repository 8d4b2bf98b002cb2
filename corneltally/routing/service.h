#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::routing {

/// A base model that the engines of a service may have.
struct base_model
{
    std::string name;
    double weightsMb = 0;
    int adapters = 0;
    double adapterMb = 0;

    friend auto operator<=>(const base_model &, const base_model &) = default;
};

/// Properties shared by the engines of a service.
struct engine_profile
{
    /// Maximum number of requests that an engine runs at the same time.
    int batch = 0;
    /// Tokens of prompts and answers that fit into the KV cache of an engine.
    double memoryTokens = 0;
    double weightsMb = 0;
    /// Maximum number of resident adapters, including those that are being loaded.
    int adapterSlots = 0;
    std::vector<base_model> models;

    friend auto operator<=>(const engine_profile &, const engine_profile &) = default;
};

/// A service that routes refer to.
struct service
{
    std::string name;
    /// Maximum number of connections that one endpoint accepts from all instances together.
    int maxConnections = 0;
    /// Present if the endpoints are language-model engines.
    std::optional<engine_profile> engine;
    /// How long an endpoint is cold after its start, and the requests per second that it sustains
    /// meanwhile; without the latter endpoints never count as cold.
    std::chrono::milliseconds coldTime{};
    double coldPerSecond = 0;

    friend auto operator<=>(const service &, const service &) = default;
};

} // namespace corneltally::routing
