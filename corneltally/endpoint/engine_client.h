#pragma once

#include "corneltally/endpoint/engine_messages.h"
#include "corneltally/endpoint/engine_protocol.h"
#include "corneltally/endpoint/event_stream_parser.h"
#include "corneltally/http/client.h"

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace corneltally::kernel {
class event_loop;
}

namespace corneltally::endpoint {

/// HTTP client of one engine. It never retries a call.
class engine_client
{
public:
    using call_id = std::uint64_t;
    using command_handler = std::function<void(const engine_command_result &)>;
    using fence_handler = std::function<void(const engine_fence_result &)>;
    using state_handler = std::function<void(const engine_state &)>;

    engine_client(kernel::event_loop &inLoop, http::address inAddress);
    ~engine_client();
    engine_client(const engine_client &) = delete;
    engine_client &operator=(const engine_client &) = delete;

    /// Sends a run. Its chunks are numbered from 0.
    call_id run(const engine_run &inRun, engine_run_events inEvents);

    /// Resumes a stream at the chunk with index inFrom.
    call_id resume(const engine_run &inRun, std::uint64_t inFrom, engine_run_events inEvents);

    /// Closes the connection of a run or a resumed stream. The engine may continue the run.
    void cancelCall(call_id inCall);

    /// Asks the engine to cancel a run.
    void cancelStream(const std::string &inRequestId);

    void load(const std::string &inAdapter, const std::string &inVersion, std::uint64_t inFence,
              command_handler inHandler);
    void unload(const std::string &inAdapter, const std::string &inVersion, std::uint64_t inFence,
                command_handler inHandler);
    void readFence(fence_handler inHandler);
    void registerFence(std::uint64_t inFence, fence_handler inHandler);
    void readState(state_handler inHandler);

private:
    struct running_call
    {
        http::client::call_id wireCall = 0;
        std::string requestId;
        bool stream = false;
        engine_run_events events;
        std::uint64_t nextIndex = 0;
        int status = 0;
        http::header_list headers;
        std::string body;
        event_stream_parser parser;
    };

    call_id start(const engine_run &inRun, http::call_request inRequest, std::uint64_t inFrom,
                  bool inStreams, engine_run_events inEvents);
    void headReceived(call_id inCall, int inStatus, const http::header_list &inHeaders);
    void dataReceived(call_id inCall, std::string_view inData);
    void finish(call_id inCall, http::call_outcome inOutcome);
    void abortCall(call_id inCall, const char *inReason);
    void command(std::string_view inCommand, const std::string &inAdapter,
                 const std::string &inVersion, std::uint64_t inFence, core::duration inTimeout,
                 command_handler inHandler);
    void fetch(http::call_request inRequest, std::function<void(const http::response &)> inHandler);

    http::client mClient;
    http::address mAddress;
    call_id mNextId = 1;
    std::map<call_id, running_call> mCalls;
};

static_assert(engine_protocol<engine_client>);

} // namespace corneltally::endpoint
