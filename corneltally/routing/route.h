#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::routing {

/// Whether a request or its stream may be repeated.
enum class repetition {
    /// May run more than once.
    repeatable,
    /// Runs at most once.
    once,
    /// A stream of events that runs at most once.
    once_stream,
    /// A stream of events that another endpoint may resume after the last delivered event.
    resumable_stream,
};

constexpr bool isStream(repetition inRepetition)
{
    return inRepetition == repetition::once_stream || inRepetition == repetition::resumable_stream;
}

/// Whether a request whose outcome is unknown may be sent again.
constexpr bool mayRepeat(repetition inRepetition)
{
    return inRepetition == repetition::repeatable || inRepetition == repetition::resumable_stream;
}

/// A service that receives a share of a route's requests.
struct weighted_service
{
    std::string service;
    double weight = 1;

    friend auto operator<=>(const weighted_service &, const weighted_service &) = default;
};

/// Services and limits for the requests of one host and path prefix.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    repetition kind = repetition::once;
    /// Maximum time from the arrival of a request to its final answer.
    std::chrono::milliseconds timeout{};
    /// Target for the time to the answer or to the first event.
    std::chrono::milliseconds targetLatency{};
    /// Target for the longest pause between two events; zero if not stated.
    std::chrono::milliseconds targetPause{};
    /// 0 is the most urgent.
    int priority = 0;
    /// Maximum number of endpoints that one request may be sent to.
    int maxEndpoints = 1;
    /// Whether requests are served without a key.
    bool open = false;
    std::vector<weighted_service> services;
    /// Regions in which the route's requests may run; absent if they may run in all.
    std::optional<std::vector<std::string>> allowedRegions;

    friend auto operator<=>(const route &, const route &) = default;
};

} // namespace corneltally::routing
