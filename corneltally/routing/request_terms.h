#pragma once

#include <chrono>
#include <compare>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::routing {

/// A part of a prompt that other requests may share.
struct prompt_part
{
    std::string id;
    double tokens = 0;

    friend auto operator<=>(const prompt_part &, const prompt_part &) = default;
};

/// Request properties decoded from its head.
struct request_terms
{
    std::string requestId;
    std::string host;
    /// Key of the client account; empty if the request has none.
    std::string key;
    /// How long the caller waits for the answer, counted from the arrival of the request.
    std::optional<std::chrono::milliseconds> timeLeft;
    /// Base model and adapter; empty if the request names none.
    std::string model;
    std::string adapter;
    /// Tokens of the prompt, if stated, and of the longest possible answer; zero if not stated.
    std::optional<double> promptTokens;
    double answerTokens = 0;
    /// Tokens of the answer that the caller expects; zero if not stated.
    double expectedTokens = 0;
    /// Parts in prompt order; the last one is specific to the request or its session.
    std::vector<prompt_part> parts;
    std::string lastEventId;

    friend auto operator<=>(const request_terms &, const request_terms &) = default;
};

/// Answer properties decoded from its head.
struct answer_terms
{
    int status = 0;
    /// The endpoint states that it did not run the request.
    bool notExecuted = false;
    /// The answer comes from another endpoint that now uses the address.
    bool misdirected = false;
    /// The answer carries the endpoint's seal.
    bool sealed = false;
    /// The answer carries the id of its request.
    bool namesRequest = false;
    /// How much longer the endpoint is cold, if stated.
    std::optional<std::chrono::milliseconds> coldLeft;

    friend auto operator<=>(const answer_terms &, const answer_terms &) = default;
};

} // namespace corneltally::routing
