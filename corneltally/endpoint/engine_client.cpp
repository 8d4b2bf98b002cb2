#include "corneltally/endpoint/engine_client.h"

#include "corneltally/endpoint/engine_json.h"

#include <algorithm>
#include <utility>

namespace corneltally::endpoint {

namespace {

using namespace std::chrono_literals;

constexpr core::duration cQueryTimeout = 2s;
constexpr core::duration cUnloadTimeout = 5s;
/// A load takes 0.25 s, but may wait for other loads at the weight store.
constexpr core::duration cLoadTimeout = 30s;
constexpr std::size_t cMaxResponseBytes = 8 * 1024 * 1024;

std::string runPath(const engine_run &inRun)
{
    return inRun.path.empty() ? "/v1/completions" : inRun.path;
}

/// Determines from a response whether the call took effect. Only refusals that the protocol defines
/// prove that it did not.
engine_outcome classify(const http::response &inResponse, std::string_view inErrorType)
{
    if (inResponse.outcome == http::call_outcome::not_sent)
        return engine_outcome::not_sent;
    if (inResponse.outcome == http::call_outcome::interrupted)
        return engine_outcome::unknown;
    if (inResponse.status == 409 && inErrorType == "stale_fence")
        return engine_outcome::stale_fence;
    if (inResponse.status == 404 && inErrorType == "adapter_not_resident")
        return engine_outcome::not_resident;
    if (inResponse.status == 404 && inErrorType == "unknown_stream")
        return engine_outcome::unknown_stream;
    if (inResponse.status == 503 && http::findHeader(inResponse.headers, "X-Not-Run") == "true")
        return engine_outcome::refused;
    return inResponse.status >= 500 ? engine_outcome::unknown : engine_outcome::completed;
}

std::string describeResult(const http::response &inResponse, std::string_view inErrorType)
{
    switch (inResponse.outcome) {
    case http::call_outcome::not_sent:
        return "the engine could not be reached";
    case http::call_outcome::interrupted:
        return "the connection to the engine ended without a complete response";
    case http::call_outcome::completed:
        break;
    }
    std::string text("the engine responded with status ");
    text.append(std::to_string(inResponse.status));
    if (!inErrorType.empty())
        text.append(" ").append(inErrorType);
    return text;
}

} // namespace

engine_client::engine_client(kernel::event_loop &inLoop, http::address inAddress)
    : mClient(inLoop)
    , mAddress(std::move(inAddress))
{ }

engine_client::~engine_client() = default;

engine_client::call_id engine_client::run(const engine_run &inRun, engine_run_events inEvents)
{
    // Sends only these headers; the caller's headers are not forwarded.
    http::call_request request{.target = mAddress,
                               .method = "POST",
                               .path = runPath(inRun),
                               .headers = {{"X-Request-Id", inRun.requestId},
                                           {"X-Fence", std::to_string(inRun.fence)},
                                           {"X-Account", inRun.account},
                                           {"Content-Type", "application/json"}},
                               .body
                               = bodyWithPriority(inRun.body, inRun.priority).value_or(inRun.body),
                               .timeout = inRun.timeout,
                               .freshConnection = inRun.freshConnection};
    if (inRun.stream)
        request.idleTimeout = inRun.streamIdle;
    return start(inRun, std::move(request), 0, inRun.stream, std::move(inEvents));
}

engine_client::call_id engine_client::resume(const engine_run &inRun, std::uint64_t inFrom,
                                             engine_run_events inEvents)
{
    std::string path("/v1/streams/");
    path.append(inRun.requestId).append("/resume?from=").append(std::to_string(inFrom));
    http::call_request request{.target = mAddress,
                               .method = "POST",
                               .path = std::move(path),
                               .headers = {{"X-Request-Id", inRun.requestId},
                                           {"X-Fence", std::to_string(inRun.fence)},
                                           {"Content-Length", "0"}},
                               .timeout = inRun.timeout,
                               .idleTimeout = inRun.streamIdle};
    return start(inRun, std::move(request), inFrom, true, std::move(inEvents));
}

void engine_client::cancelCall(call_id inCall)
{
    const auto found = mCalls.find(inCall);
    if (found == mCalls.end())
        return;
    mClient.cancel(found->second.wireCall);
    mCalls.erase(found);
}

void engine_client::cancelStream(const std::string &inRequestId)
{
    fetch({.method = "POST",
           .path = "/v1/streams/" + inRequestId + "/cancel",
           .headers = {{"Content-Length", "0"}},
           .timeout = cQueryTimeout},
          [](const http::response &) {});
}

void engine_client::load(const std::string &inAdapter, const std::string &inVersion,
                         std::uint64_t inFence, command_handler inHandler)
{
    command("load", inAdapter, inVersion, inFence, cLoadTimeout, std::move(inHandler));
}

void engine_client::unload(const std::string &inAdapter, const std::string &inVersion,
                           std::uint64_t inFence, command_handler inHandler)
{
    command("unload", inAdapter, inVersion, inFence, cUnloadTimeout, std::move(inHandler));
}

void engine_client::readFence(fence_handler inHandler)
{
    fetch({.path = "/v1/fence", .timeout = cQueryTimeout},
          [handler = std::move(inHandler)](const http::response &inResponse) {
              const std::string type = errorType(inResponse.body);
              const auto highest = highestFence(inResponse.body);
              engine_fence_result result{classify(inResponse, type), highest.value_or(0),
                                         describeResult(inResponse, type)};
              if (result.outcome == engine_outcome::completed
                  && (inResponse.status != 200 || !highest))
                  result.outcome = engine_outcome::refused;
              handler(result);
          });
}

void engine_client::registerFence(std::uint64_t inFence, fence_handler inHandler)
{
    fetch({.method = "POST",
           .path = "/v1/fence",
           .headers = {{"Content-Type", "application/json"}},
           .body = "{\"fence\":" + std::to_string(inFence) + "}",
           .timeout = cQueryTimeout},
          [inFence, handler = std::move(inHandler)](const http::response &inResponse) {
              const std::string type = errorType(inResponse.body);
              const std::uint64_t highest = highestFence(inResponse.body).value_or(0);
              engine_fence_result result{classify(inResponse, type), highest,
                                         describeResult(inResponse, type)};
              if (result.outcome == engine_outcome::completed
                  && (inResponse.status != 200 || highest > inFence))
                  result.outcome = engine_outcome::stale_fence;
              handler(result);
          });
}

void engine_client::readState(state_handler inHandler)
{
    const core::time_point requestedAt = core::boot_clock::now();
    fetch({.path = "/v1/state", .timeout = cQueryTimeout},
          [requestedAt, handler = std::move(inHandler)](const http::response &inResponse) {
              if (inResponse.outcome == http::call_outcome::completed && inResponse.status == 200) {
                  if (const auto state = parseState(inResponse.body, requestedAt)) {
                      handler(*state);
                      return;
                  }
              }
              engine_state failed;
              failed.reason = describeResult(inResponse, errorType(inResponse.body));
              handler(failed);
          });
}

engine_client::call_id engine_client::start(const engine_run &inRun, http::call_request inRequest,
                                            std::uint64_t inFrom, bool inStreams,
                                            engine_run_events inEvents)
{
    const call_id id = mNextId++;
    running_call &call = mCalls[id];
    call.requestId = inRun.requestId;
    call.stream = inStreams;
    call.events = std::move(inEvents);
    call.nextIndex = inFrom;
    call.wireCall = mClient.call(
        std::move(inRequest),
        {.onHead =
             [this, id](int inStatus, const http::header_list &inHeaders) {
                 headReceived(id, inStatus, inHeaders);
             },
         .onData = [this, id](std::string_view inData) { dataReceived(id, inData); },
         .onEnd = [this, id](http::call_outcome inOutcome) { finish(id, inOutcome); }});
    return id;
}

void engine_client::headReceived(call_id inCall, int inStatus, const http::header_list &inHeaders)
{
    const auto found = mCalls.find(inCall);
    if (found == mCalls.end())
        return;
    running_call &call = found->second;
    call.status = inStatus;
    call.headers = inHeaders;
    // A response with another status is collected completely before it is classified.
    call.stream = call.stream && inStatus == 200;
    const std::string_view responseId = http::findHeader(inHeaders, "X-Request-Id");
    if (inStatus == 200 && (responseId.empty() || responseId == call.requestId)) {
        const auto onHead = call.events.onHead;
        onHead(inStatus, std::string(http::findHeader(inHeaders, "Content-Type")));
    }
}

void engine_client::dataReceived(call_id inCall, std::string_view inData)
{
    const auto found = mCalls.find(inCall);
    if (found == mCalls.end())
        return;
    running_call &call = found->second;
    const std::string_view responseId = http::findHeader(call.headers, "X-Request-Id");
    if (!responseId.empty() && responseId != call.requestId) {
        abortCall(inCall, "the engine sent the response to another request");
        return;
    }
    if (!call.stream) {
        call.body.append(inData);
        if (call.body.size() > cMaxResponseBytes)
            abortCall(inCall, "the engine's response is too long");
        return;
    }
    for (const std::string &event : call.parser.feed(inData)) {
        // The handler may cancel the call.
        const auto current = mCalls.find(inCall);
        if (current == mCalls.end())
            return;
        if (const auto tokens = completionTokens(event))
            current->second.body = event;
        const auto onChunk = current->second.events.onChunk;
        onChunk(current->second.nextIndex++, event);
    }
    const auto current = mCalls.find(inCall);
    if (current != mCalls.end() && current->second.parser.isTooLong())
        abortCall(inCall, "an event of the engine's stream is too long");
}

void engine_client::finish(call_id inCall, http::call_outcome inOutcome)
{
    const auto found = mCalls.find(inCall);
    if (found == mCalls.end())
        return;
    running_call call = std::move(found->second);
    mCalls.erase(found);
    const http::response response{inOutcome, call.status, call.headers, call.body};
    if (call.stream && call.status == 200) {
        const bool complete = inOutcome == http::call_outcome::completed && call.parser.isDone();
        const double tokens
            = completionTokens(call.body).value_or(static_cast<double>(call.nextIndex));
        call.events.onEnd({complete ? engine_outcome::completed : engine_outcome::unknown, tokens,
                           complete ? "" : "the stream ended before its final event"});
        return;
    }
    const std::string type = call.status == 200 ? std::string() : errorType(call.body);
    const engine_outcome outcome = classify(response, type);
    if (outcome == engine_outcome::completed) {
        if (call.status != 200) {
            call.events.onHead(call.status,
                               std::string(http::findHeader(call.headers, "Content-Type")));
        }
        call.events.onChunk(0, call.body);
    }
    call.events.onEnd(
        {outcome, completionTokens(call.body).value_or(0), describeResult(response, type)});
}

void engine_client::abortCall(call_id inCall, const char *inReason)
{
    const auto found = mCalls.find(inCall);
    const running_call call = std::move(found->second);
    mCalls.erase(found);
    // Closes the connection, so that later bytes are not mistaken for another response.
    mClient.cancel(call.wireCall);
    call.events.onEnd({engine_outcome::unknown, 0, inReason});
}

void engine_client::command(std::string_view inCommand, const std::string &inAdapter,
                            const std::string &inVersion, std::uint64_t inFence,
                            core::duration inTimeout, command_handler inHandler)
{
    std::string path("/v1/adapters/");
    path.append(inCommand);
    fetch({.method = "POST",
           .path = std::move(path),
           .headers = {{"X-Fence", std::to_string(inFence)}, {"Content-Type", "application/json"}},
           .body = adapterBody(inAdapter, inVersion),
           .timeout = inTimeout},
          [handler = std::move(inHandler)](const http::response &inResponse) {
              const std::string type = errorType(inResponse.body);
              engine_command_result result{classify(inResponse, type),
                                           describeResult(inResponse, type)};
              // A complete response with a status other than 200 means that the command failed.
              if (inResponse.outcome == http::call_outcome::completed && inResponse.status != 200
                  && result.outcome != engine_outcome::stale_fence
                  && result.outcome != engine_outcome::not_resident)
                  result.outcome = engine_outcome::refused;
              handler(result);
          });
}

void engine_client::fetch(http::call_request inRequest,
                          std::function<void(const http::response &)> inHandler)
{
    inRequest.target = mAddress;
    http::fetch(mClient, std::move(inRequest), std::move(inHandler));
}

} // namespace corneltally::endpoint
