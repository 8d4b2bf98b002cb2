#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace corneltally::settings {

/// How quickly a request must start. Prompt requests go before patient ones, within a bound.
enum class traffic_class : std::uint8_t { prompt, patient };

/// What kind of endpoint serves a route.
enum class endpoint_kind : std::uint8_t { model, service };

/// Effective settings of a route.
struct route_view
{
    std::string name;
    endpoint_kind kind = endpoint_kind::model;
    /// Path of the caller's request, matched exactly.
    std::string path;
    /// Open routes need no key.
    bool open = false;
    /// Whether a request may run more than once.
    bool repeatable = false;
    bool requireIdempotencyKey = false;
    traffic_class trafficClass = traffic_class::prompt;
    std::chrono::milliseconds timeout{60'000};
    /// Longest silence of a stream before it is taken as dead.
    std::chrono::milliseconds streamIdle{15'000};
    /// Names of the endpoints that serve a service route; empty means all of the kind.
    std::vector<std::string> endpoints;
    /// Client accounts that may use the route; empty means all.
    std::vector<std::string> accounts;

    friend auto operator<=>(const route_view &, const route_view &) = default;
};

} // namespace corneltally::settings
