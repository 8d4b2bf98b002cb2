#pragma once

#include "corneltally/endpoint/engine_messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corneltally::endpoint {

/// Body of a run with its priority replaced by the owner's; nothing if the body is not an object.
std::optional<std::string> bodyWithPriority(std::string_view inBody, int inPriority);

/// Body of a load or unload command.
std::string adapterBody(std::string_view inAdapter, std::string_view inVersion);

/// Type of the error in a response body; empty if there is none.
std::string errorType(std::string_view inBody);

/// Value of "highest" in a response to a fence call; nothing if it is missing.
std::optional<std::uint64_t> highestFence(std::string_view inBody);

/// Parses a state report that was requested at inRequestedAt; nothing if it is invalid.
std::optional<engine_state> parseState(std::string_view inBody, core::time_point inRequestedAt);

/// Number of output tokens in the usage section of a response or event, if present.
std::optional<double> completionTokens(std::string_view inText);

} // namespace corneltally::endpoint
