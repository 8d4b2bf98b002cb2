#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace corneltally::settings {

/// Urgency of a request. Requests of the prompt class start before those of the patient class,
/// within a bound.
enum class traffic_class : std::uint8_t { prompt, patient };

/// Kind of endpoint that serves a route.
enum class endpoint_kind : std::uint8_t { model, service };

/// Effective settings of a route.
struct route_view
{
    std::string name;
    endpoint_kind kind = endpoint_kind::model;
    /// Path of the caller's request; it must match exactly.
    std::string path;
    /// Whether requests need no API key.
    bool open = false;
    /// Whether a request may be run more than once.
    bool repeatable = false;
    bool requireIdempotencyKey = false;
    traffic_class trafficClass = traffic_class::prompt;
    std::chrono::milliseconds timeout{60'000};
    /// Idle time after which a stream counts as unresponsive.
    std::chrono::milliseconds streamIdle{15'000};
    /// Names of the endpoints that serve a service route; if empty, all endpoints of the kind do.
    std::vector<std::string> endpoints;
    /// Client accounts that may use the route; if empty, all may.
    std::vector<std::string> accounts;

    friend auto operator<=>(const route_view &, const route_view &) = default;
};

} // namespace corneltally::settings
