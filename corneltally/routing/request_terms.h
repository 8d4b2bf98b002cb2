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

/// What a request says of itself.
struct request_terms
{
    std::string requestId;
    std::string host;
    /// Key of the client account; empty if the request carries none.
    std::string key;
    /// How long the caller waits, counted from the request.
    std::optional<std::chrono::milliseconds> timeLeft;
    /// Base model and adapter; empty if the request names none.
    std::string model;
    std::string adapter;
    /// Prompt and longest answer, if stated.
    std::optional<double> promptTokens;
    double answerTokens = 0;
    /// Tokens that the caller expects of the answer; zero if it did not say.
    double expectedTokens = 0;
    /// In the order of the prompt; the last one belongs to the request or its session.
    std::vector<prompt_part> parts;
    std::string lastEventId;

    friend auto operator<=>(const request_terms &, const request_terms &) = default;
};

/// What an endpoint's answer says.
struct answer_terms
{
    int status = 0;
    /// The endpoint states that it did not run the request.
    bool notExecuted = false;
    /// Another endpoint has the address.
    bool otherEndpoint = false;
    /// The answer bears the endpoint's signature.
    bool sealed = false;

    friend auto operator<=>(const answer_terms &, const answer_terms &) = default;
};

} // namespace corneltally::routing
