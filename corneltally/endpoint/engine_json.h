#pragma once

#include "corneltally/endpoint/engine_messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corneltally::endpoint {

/// Body of a run with the priority that the owner gave it; nothing if the body is not an object.
std::optional<std::string> bodyWithPriority(std::string_view inBody, int inPriority);

/// Body of a load or unload command.
std::string adapterBody(std::string_view inAdapter, std::string_view inVersion);

/// Type of the error in an answer; empty if there is none.
std::string errorType(std::string_view inBody);

/// "highest" of a fence answer.
std::optional<std::uint64_t> highestFence(std::string_view inBody);

/// Reads a state report; inRequestedAt is when it was asked for.
std::optional<engine_state> parseState(std::string_view inBody, core::time_point inRequestedAt);

/// Number of output tokens in the usage part of an answer or event, if there is one.
std::optional<double> completionTokens(std::string_view inText);

} // namespace corneltally::endpoint
