#include "corneltally/http1/fetcher.h"

#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <utility>

namespace corneltally::http1 {

struct fetcher::running_call
{
    std::unique_ptr<client_connection> connection;
    kernel::timer timeout;
    fetch_result result;
    std::function<void(const fetch_result &)> handler;
};

fetcher::fetcher(kernel::event_loop &inLoop)
    : mLoop(inLoop)
    , mPool(inLoop, {})
{ }

fetcher::~fetcher() = default;

void fetcher::fetch(fetch_request inRequest, std::function<void(const fetch_result &)> inHandler)
{
    const std::uint64_t id = mNextId++;
    auto call = std::make_unique<running_call>(
        running_call{mPool.take(inRequest.target, core::duration::max()),
                     kernel::timer(mLoop, [this, id] { finish(id, false, true); }),
                     {},
                     std::move(inHandler)});
    running_call &entry = *call;
    mRunning.emplace(id, std::move(call));
    entry.timeout.startOnce(inRequest.timeout);
    request_head head{.method = std::move(inRequest.method),
                      .target = std::move(inRequest.path),
                      .fields = std::move(inRequest.fields)};
    setField(head.fields, "Host", inRequest.target.toString());
    if (!inRequest.body.empty() || head.method == "POST")
        setField(head.fields, "Content-Length", std::to_string(inRequest.body.size()));
    entry.connection->start(head, inRequest.body,
                            {.accepts = {},
                             .onHead =
                                 [&entry](const response_head &inHead) {
                                     entry.result.status = inHead.status;
                                     entry.result.fields = inHead.fields;
                                 },
                             .onBody =
                                 [&entry, limit = inRequest.maxBodyBytes](std::string_view inData) {
                                     entry.result.body.append(inData);
                                     return entry.result.body.size() <= limit;
                                 },
                             .onEnd =
                                 [this, id](const exchange_end &inEnd) {
                                     finish(id, inEnd.outcome == exchange_end::kind::complete,
                                            inEnd.sent);
                                 }});
}

void fetcher::finish(std::uint64_t inId, bool inComplete, bool inSent)
{
    const auto found = mRunning.find(inId);
    if (found == mRunning.end())
        return;
    std::unique_ptr<running_call> call = std::move(found->second);
    mRunning.erase(found);
    call->result.sent = inSent;
    if (inComplete)
        mPool.give(std::move(call->connection));
    else
        call->result = {.sent = inSent};
    // This may run inside an event of the connection, so the connection is destroyed later.
    mLoop.post(
        [call = std::shared_ptr<running_call>(std::move(call))] { call->handler(call->result); });
}

} // namespace corneltally::http1
