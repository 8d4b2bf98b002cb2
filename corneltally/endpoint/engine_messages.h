#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::endpoint {

/// How a call to an engine ended.
enum class engine_outcome : std::uint8_t {
    /// The engine answered; for a run, with a complete answer.
    completed,
    /// The engine refused the call without effect: its highest fencing number is greater.
    stale_fence,
    /// The engine refused the run without effect.
    not_resident,
    /// The engine refused the call without effect for another reason.
    refused,
    /// No byte was sent.
    not_sent,
    /// A stream that should be resumed is not known to the engine.
    unknown_stream,
    /// The call may have taken effect, fully or partly.
    unknown,
};

/// A run as it is sent to an engine.
struct engine_run
{
    std::string requestId;
    std::string account;
    std::string path;
    std::string contentType;
    std::string body;
    std::uint64_t fence = 0;
    /// Lower numbers are served first.
    int priority = 0;
    bool stream = false;
    core::duration timeout{};
    core::duration streamIdle{};
    /// A new connection, so that a failed connect proves that nothing was sent.
    bool freshConnection = false;
};

/// The end of a run or of the continuation of a stream.
struct engine_run_end
{
    engine_outcome outcome = engine_outcome::unknown;
    double outputTokens = 0;
    std::string reason;
};

/// What a run reports; called from the loop, never from inside the call. Nothing is called after
/// the call was cancelled.
struct engine_run_events
{
    std::function<void(int inStatus, const std::string &inContentType)> onHead;
    /// A server-sent event of a stream, or the whole body of an answer that is not streamed.
    std::function<void(std::uint64_t inIndex, std::string_view inData)> onChunk;
    std::function<void(const engine_run_end &inEnd)> onEnd;
};

/// Result of a load, an unload or a cancellation.
struct engine_command_result
{
    engine_outcome outcome = engine_outcome::unknown;
    std::string reason;
};

/// Result of reading or registering a fencing number.
struct engine_fence_result
{
    engine_outcome outcome = engine_outcome::unknown;
    std::uint64_t highest = 0;
    std::string reason;
};

/// An adapter in an engine's report.
struct engine_adapter
{
    std::string adapter;
    std::string version;
    int running = 0;
};

/// An engine's report of its state.
struct engine_state
{
    engine_outcome outcome = engine_outcome::unknown;
    std::uint64_t fence = 0;
    std::vector<engine_adapter> resident;
    std::vector<engine_adapter> loading;
    int queued = 0;
    /// The report describes this moment or a later one: when it was asked for, minus its age.
    core::time_point describedAt;
    std::string reason;
};

} // namespace corneltally::endpoint
