#pragma once

#include <chrono>
#include <compare>
#include <string>
#include <vector>

namespace corneltally::routing {

/// What may be repeated of a request.
enum class repetition {
    /// May run more than once.
    repeatable,
    /// Runs at most once.
    once,
    /// A stream of events that runs at most once.
    once_stream,
    /// A stream of events that another endpoint may continue behind the last event.
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

/// A service that takes part of a route's requests.
struct weighted_service
{
    std::string service;
    double weight = 1;

    friend auto operator<=>(const weighted_service &, const weighted_service &) = default;
};

/// Where requests of one host and path go, and how.
struct route
{
    std::string name;
    std::string host;
    /// Begins and ends with a slash.
    std::string pathPrefix;
    repetition kind = repetition::once;
    /// Longest time that a request is kept without its final answer.
    std::chrono::milliseconds timeout{};
    /// Time to the answer, or to the first event, that users want.
    std::chrono::milliseconds targetLatency{};
    /// Longest pause between two events that users want; zero if not stated.
    std::chrono::milliseconds targetPause{};
    /// 0 is the most urgent.
    int priority = 0;
    /// Endpoints to which one request may be sent.
    int maxEndpoints = 1;
    /// Served without a key.
    bool open = false;
    std::vector<weighted_service> services;

    friend auto operator<=>(const route &, const route &) = default;
};

} // namespace corneltally::routing
