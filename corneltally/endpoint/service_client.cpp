#include "corneltally/endpoint/service_client.h"

#include <charconv>
#include <string_view>
#include <utility>

namespace corneltally::endpoint {

namespace {

int parseSeconds(std::string_view inText)
{
    int seconds = 0;
    std::from_chars(inText.data(), inText.data() + inText.size(), seconds);
    return seconds < 0 ? 0 : seconds;
}

http::call_request wireRequest(service_call inCall)
{
    // Sends only these headers; the caller's headers are not forwarded.
    http::header_list headers{{"X-Request-Id", inCall.requestId}};
    if (!inCall.account.empty())
        headers.emplace_back("X-Account", std::move(inCall.account));
    if (!inCall.contentType.empty())
        headers.emplace_back("Content-Type", std::move(inCall.contentType));
    if (!inCall.orderId.empty())
        headers.emplace_back("X-Order-Id", std::move(inCall.orderId));
    if (inCall.freshConnection)
        headers.emplace_back("Connection", "close");
    return {.target = std::move(inCall.target),
            .method = std::move(inCall.method),
            .path = std::move(inCall.path),
            .headers = std::move(headers),
            .body = std::move(inCall.body),
            .timeout = inCall.timeout,
            .freshConnection = inCall.freshConnection};
}

} // namespace

service_result classifyResponse(const http::response &inResponse, std::string_view inRequestId)
{
    if (inResponse.outcome == http::call_outcome::not_sent)
        return {.outcome = service_outcome::not_run, .reason = "the service could not be reached"};
    if (inResponse.outcome == http::call_outcome::interrupted)
        return {.outcome = service_outcome::unknown,
                .reason = "the connection to the service ended without a complete response"};
    const std::string_view responseId = http::findHeader(inResponse.headers, "X-Request-Id");
    if (!responseId.empty() && responseId != inRequestId)
        return {.outcome = service_outcome::unknown,
                .reason = "the service sent the response to another request"};
    if (inResponse.status == 503 && http::findHeader(inResponse.headers, "X-Not-Run") == "true")
        return {.outcome = service_outcome::not_run,
                .status = inResponse.status,
                .retryAfterSeconds
                = parseSeconds(http::findHeader(inResponse.headers, "Retry-After")),
                .reason = "the service refused the request"};
    if (inResponse.status >= 500)
        return {.outcome = service_outcome::unknown,
                .status = inResponse.status,
                .reason = "the service failed with status " + std::to_string(inResponse.status)};
    return {.outcome = service_outcome::answered,
            .status = inResponse.status,
            .contentType = std::string(http::findHeader(inResponse.headers, "Content-Type")),
            .body = inResponse.body};
}

service_client::service_client(kernel::event_loop &inLoop)
    : mClient(inLoop)
{ }

service_client::~service_client() = default;

service_client::call_id service_client::call(service_call inCall, handler inHandler)
{
    const call_id id = mNextId++;
    running_call &running = mCalls[id];
    running.requestId = inCall.requestId;
    running.onResult = std::move(inHandler);
    running.wireCall = mClient.call(
        wireRequest(std::move(inCall)),
        {.onHead =
             [this, id](int inStatus, const http::header_list &inHeaders) {
                 headReceived(id, inStatus, inHeaders);
             },
         .onData = [this, id](std::string_view inData) { dataReceived(id, inData); },
         .onEnd = [this, id](http::call_outcome inOutcome) { finish(id, inOutcome); }});
    return id;
}

void service_client::cancel(call_id inCall)
{
    const auto found = mCalls.find(inCall);
    if (found == mCalls.end())
        return;
    mClient.cancel(found->second.wireCall);
    mCalls.erase(found);
}

void service_client::headReceived(call_id inCall, int inStatus, const http::header_list &inHeaders)
{
    const auto found = mCalls.find(inCall);
    if (found == mCalls.end())
        return;
    found->second.response.status = inStatus;
    found->second.response.headers = inHeaders;
}

void service_client::dataReceived(call_id inCall, std::string_view inData)
{
    const auto found = mCalls.find(inCall);
    if (found == mCalls.end())
        return;
    running_call &running = found->second;
    running.response.body.append(inData);
    const std::string_view responseId = http::findHeader(running.response.headers, "X-Request-Id");
    const bool mismatched = !responseId.empty() && responseId != running.requestId;
    if (!mismatched && running.response.body.size() <= sMaxResponseBytes)
        return;
    // Closes the connection, so that later bytes are not mistaken for another response.
    mClient.cancel(running.wireCall);
    finish(inCall, http::call_outcome::interrupted);
}

void service_client::finish(call_id inCall, http::call_outcome inOutcome)
{
    const auto found = mCalls.find(inCall);
    if (found == mCalls.end())
        return;
    running_call running = std::move(found->second);
    mCalls.erase(found);
    running.response.outcome = inOutcome;
    running.onResult(classifyResponse(running.response, running.requestId));
}

} // namespace corneltally::endpoint
