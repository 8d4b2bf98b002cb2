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
    /// The engine responded; for a run, with a complete response.
    completed,
    /// The engine refused the call without effect, because it knows a higher fencing number.
    stale_fence,
    /// The engine refused the call without effect, because the adapter is not resident.
    not_resident,
    /// The engine refused the call without effect for another reason.
    refused,
    /// No byte was sent.
    not_sent,
    /// The engine does not know the stream to resume.
    unknown_stream,
    /// The call may have taken effect, completely or in part.
    unknown,
};

/// A run to be sent to an engine.
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
    /// Opens a new connection, so that a connect failure proves that nothing was sent.
    bool freshConnection = false;
};

/// The end of a run or of a resumed stream.
struct engine_run_end
{
    engine_outcome outcome = engine_outcome::unknown;
    double outputTokens = 0;
    std::string reason;
};

/// Events of a run. They are called from the event loop, never from inside run() or resume(). No
/// event follows a cancellation.
struct engine_run_events
{
    std::function<void(int inStatus, const std::string &inContentType)> onHead;
    /// A server-sent event of a stream, or the complete body of a response that is not streamed.
    std::function<void(std::uint64_t inIndex, std::string_view inData)> onChunk;
    std::function<void(const engine_run_end &inEnd)> onEnd;
};

/// Result of a load or an unload.
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

/// An adapter in an engine's state report.
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
    /// Time of the request minus the report's age. The report describes the state at this time or
    /// later.
    core::time_point describedAt;
    std::string reason;
};

} // namespace corneltally::endpoint
