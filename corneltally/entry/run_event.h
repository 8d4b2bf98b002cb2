#pragma once

#include "corneltally/core/error.h"
#include "corneltally/http/message.h"

#include <compare>
#include <cstdint>
#include <string>
#include <variant>

namespace corneltally::entry {

/// Start of the answer.
struct run_head
{
    int status = 200;
    std::string contentType;

    friend auto operator<=>(const run_head &, const run_head &) = default;
};

/// A part of the answer. Parts of a stream are one server-sent event each, numbered from 0; the
/// body of an answer that is not streamed is one part.
struct run_chunk
{
    std::uint64_t index = 0;
    std::string data;

    friend auto operator<=>(const run_chunk &, const run_chunk &) = default;
};

/// How a run ended.
enum class run_outcome : std::uint8_t {
    completed,
    /// The endpoint certainly did not run the request.
    not_run,
    /// The request may have run completely or in part.
    unknown,
};

/// The last event of a run.
struct run_end
{
    run_outcome outcome = run_outcome::unknown;
    /// Set unless the run completed.
    core::error error;
    double outputTokens = 0;
    /// Delay after which the caller should retry; 0 if none is suggested.
    int retryAfterSeconds = 0;
    std::string endpoint;

    friend auto operator<=>(const run_end &, const run_end &) = default;
};

/// An event of a run, sent from the endpoint's side to the caller's side.
struct run_event
{
    std::string requestId;
    std::variant<run_head, run_chunk, run_end> event;

    friend auto operator<=>(const run_event &, const run_event &) = default;
};

} // namespace corneltally::entry
