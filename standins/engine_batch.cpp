#include "standins/engine_batch.h"

#include "corneltally/kernel/timer.h"
#include "standins/engine_options.h"
#include "standins/host.h"

#include <algorithm>

namespace standins {

namespace core = corneltally::core;
namespace http = corneltally::http;
namespace kernel = corneltally::kernel;

namespace {

core::duration fromMs(double inMs)
{
    return core::duration(static_cast<long long>(inMs * 1000));
}

/// Bounds the rounds that only wait for callers to read.
constexpr core::duration cShortestStep = std::chrono::microseconds(500);

} // namespace

engine_batch::engine_batch(host &inHost, const engine_options &inOptions)
    : mHost(inHost)
    , mRunSlots(static_cast<std::size_t>(inOptions.runSlots))
    , mTokenTime(fromMs(inOptions.tokenMs))
    , mPrefillUsPerToken(inOptions.prefillUsPerToken)
    , mKeep(fromMs(inOptions.keepStreamsSeconds * 1000))
    , mTimer(std::make_unique<kernel::timer>(inHost.loop(), [this] { step(); }))
    , mForgetTimer(std::make_unique<kernel::timer>(inHost.loop(),
                                                   [this] { forgetOld(core::boot_clock::now()); }))
{
    mForgetTimer->startRepeating(std::chrono::seconds(1));
}

engine_batch::~engine_batch() = default;

void engine_batch::submit(engine_request inRequest,
                          const engine_stream::exchange_pointer &inExchange)
{
    cancel(inRequest.id);
    const bool streamed = inRequest.streamed;
    const auto stream = std::make_shared<engine_stream>(std::move(inRequest));
    mStreams[stream->request().id] = stream;
    stream->attach(inExchange, 0, streamed);
    watchCaller(stream, inExchange);
    // Equal priorities keep their order of arrival.
    const auto place = std::ranges::upper_bound(
        mQueue, stream->request().priority, {},
        [](const stream_pointer &inOther) { return inOther->request().priority; });
    mQueue.insert(place, stream);
    startQueued(core::boot_clock::now());
    schedule();
}

bool engine_batch::resume(const std::string &inId, std::uint64_t inFrom,
                          const engine_stream::exchange_pointer &inExchange)
{
    const auto found = mStreams.find(inId);
    if (found == mStreams.end() || found->second->current() == engine_stream::state::broken)
        return false;
    const stream_pointer &stream = found->second;
    stream->attach(inExchange, inFrom, true);
    watchCaller(stream, inExchange);
    if (stream->isOver() && std::ranges::find(mDraining, stream) == mDraining.end())
        mDraining.push_back(stream);
    schedule();
    return true;
}

bool engine_batch::cancel(const std::string &inId)
{
    const auto found = mStreams.find(inId);
    if (found == mStreams.end())
        return false;
    const stream_pointer stream = found->second;
    if (!stream->isOver()) {
        std::erase(mQueue, stream);
        std::erase(mRunning, stream);
        recordEnd(*stream, "cancelled");
    }
    std::erase(mDraining, stream);
    stream->breakOff(core::boot_clock::now());
    startQueued(core::boot_clock::now());
    return true;
}

int engine_batch::usesOf(const adapter_ref &inModel) const
{
    const auto uses
        = [&](const stream_pointer &inStream) { return inStream->request().model == inModel; };
    return static_cast<int>(std::ranges::count_if(mRunning, uses)
                            + std::ranges::count_if(mQueue, uses));
}

void engine_batch::breakRuns(const adapter_ref &inModel)
{
    std::vector<std::string> ids;
    for (const auto &[id, stream] : mStreams) {
        if (!stream->isOver() && stream->request().model == inModel)
            ids.push_back(id);
    }
    for (const std::string &id : ids)
        cancel(id);
}

void engine_batch::dropCallers()
{
    for (const auto &[id, stream] : mStreams)
        stream->abortCaller();
}

int engine_batch::runningCount() const
{
    return static_cast<int>(mRunning.size());
}

int engine_batch::queuedCount() const
{
    return static_cast<int>(mQueue.size());
}

void engine_batch::setTokenMs(double inMs)
{
    mTokenTime = fromMs(inMs);
    schedule();
}

void engine_batch::setStalled(bool inStalled)
{
    if (inStalled == mStalled)
        return;
    const core::time_point now = core::boot_clock::now();
    mStalled = inStalled;
    if (inStalled) {
        mStalledSince = now;
        return;
    }
    for (const stream_pointer &stream : mRunning)
        stream->delay(now - mStalledSince);
    startQueued(now);
    schedule();
}

void engine_batch::watchCaller(const stream_pointer &inStream,
                               const engine_stream::exchange_pointer &inExchange)
{
    // The exchange holds this handler, so it must not own the exchange.
    const http::exchange *caller = inExchange.get();
    inExchange->onClosed([weak = std::weak_ptr(inStream), caller] {
        if (const stream_pointer stream = weak.lock())
            stream->detach(caller);
    });
}

void engine_batch::startQueued(core::time_point inNow)
{
    while (!mStalled && !mQueue.empty() && mRunning.size() < mRunSlots) {
        const stream_pointer stream = mQueue.front();
        mQueue.erase(mQueue.begin());
        const double prefill
            = static_cast<double>(stream->request().promptTokens) * mPrefillUsPerToken;
        stream->start(inNow, core::duration(static_cast<long long>(prefill)));
        mRunning.push_back(stream);
    }
}

void engine_batch::step()
{
    const core::time_point now = core::boot_clock::now();
    if (!mStalled) {
        for (const stream_pointer &stream : mRunning) {
            stream->produce(now, mTokenTime);
            stream->flush();
            if (stream->isOver()) {
                recordEnd(*stream, "completed");
                mDraining.push_back(stream);
            }
        }
        std::erase_if(mRunning, [](const stream_pointer &inStream) { return inStream->isOver(); });
        startQueued(now);
    }
    // Ended streams may still have parts to send to a caller that reads slowly or has resumed.
    for (const stream_pointer &stream : mDraining)
        stream->flush();
    std::erase_if(mDraining, [](const stream_pointer &inStream) { return !inStream->hasCaller(); });
    schedule();
}

void engine_batch::schedule()
{
    if (mRunning.empty() && mDraining.empty())
        return;
    const bool unpaced = mTokenTime.count() == 0 && !mStalled && !mRunning.empty();
    if (!mTimer->isPending())
        mTimer->startOnce(unpaced ? core::duration() : std::max(mTokenTime, cShortestStep));
}

void engine_batch::recordEnd(const engine_stream &inStream, const char *inOutcome)
{
    const engine_request &request = inStream.request();
    mHost.facts().write("run_end",
                        {{"request_id", request.id},
                         {"adapter", request.model.adapter},
                         {"version", request.model.version},
                         {"user", request.user},
                         {"account", request.account},
                         {"prompt_tokens", request.promptTokens},
                         {"output_tokens", inStream.produced()},
                         {"started", inStream.startedWall()},
                         {"outcome", inOutcome}});
}

void engine_batch::forgetOld(core::time_point inNow)
{
    std::erase_if(mStreams, [&](const auto &inEntry) {
        return inEntry.second->isOver() && inEntry.second->endedAt() + mKeep < inNow;
    });
}

} // namespace standins
