#include "tests/promise/stream_watch.h"

#include "corneltally/kernel/event_loop.h"

namespace promise {

namespace http = corneltally::http;
namespace kernel = corneltally::kernel;

stream_watch::stream_watch(caller_request inRequest)
    : mThread([this, request = std::move(inRequest)] { run(request); })
{ }

stream_watch::~stream_watch()
{
    if (mThread.joinable())
        mThread.join();
}

const std::string &stream_watch::text()
{
    if (mThread.joinable())
        mThread.join();
    return mText;
}

void stream_watch::run(const caller_request &inRequest)
{
    kernel::event_loop loop;
    http::client client(loop);
    http::call_request request{.target = http::parseAddress(inRequest.address),
                               .method = "POST",
                               .path = inRequest.path,
                               .headers = {{"Content-Type", "application/json"},
                                           {"Authorization", "Bearer " + inRequest.key}},
                               .body = inRequest.body,
                               .timeout = inRequest.timeout};
    http::call_events events;
    events.onData = [this](std::string_view inData) {
        mText.append(inData);
        mLastData = standins::wallSeconds();
        mBytes += inData.size();
    };
    events.onEnd = [this, &loop](http::call_outcome) {
        mEndTime = standins::wallSeconds();
        mEnded = true;
        loop.stop();
    };
    client.call(std::move(request), std::move(events));
    loop.run();
}

} // namespace promise
