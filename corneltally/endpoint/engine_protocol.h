#pragma once

#include "corneltally/endpoint/engine_messages.h"

#include <concepts>
#include <cstdint>
#include <functional>
#include <string>

namespace corneltally::endpoint {

/// Calls to an engine that the owner of an endpoint uses. engine_client implements them over HTTP.
/// Handlers are never called from inside these functions.
template <typename Engine>
concept engine_protocol
    = requires(Engine &ioEngine, engine_run inRun, engine_run_events inEvents, std::string inText,
               std::uint64_t inNumber, core::duration inTimeout,
               std::function<void(const engine_command_result &)> inCommandHandler,
               std::function<void(const engine_fence_result &)> inFenceHandler,
               std::function<void(const engine_state &)> inStateHandler)
{
    {
        ioEngine.run(inRun, inEvents)
        } -> std::same_as<std::uint64_t>;
    {
        ioEngine.resume(inRun, inNumber, inEvents)
        } -> std::same_as<std::uint64_t>;
    ioEngine.cancelCall(inNumber);
    ioEngine.cancelStream(inText);
    ioEngine.load(inText, inText, inNumber, inCommandHandler);
    ioEngine.unload(inText, inText, inNumber, inCommandHandler);
    ioEngine.readFence(inFenceHandler);
    ioEngine.registerFence(inNumber, inFenceHandler);
    ioEngine.readState(inStateHandler);
};

} // namespace corneltally::endpoint
