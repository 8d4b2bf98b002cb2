#pragma once

// Queued and running requests of owned_endpoint; included by owned_endpoint.h.

#include "corneltally/core/json_log.h"
#include "corneltally/entry/owned_endpoint.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace corneltally::entry {

template <endpoint::engine_protocol Engine>
bool owned_endpoint<Engine>::mayTakeRuns() const
{
    return isOwning() && mReported && !mDraining && !mView.leaving
        && mFailedPolls < sFailedPollLimit;
}

template <endpoint::engine_protocol Engine>
bool owned_endpoint<Engine>::mayResumeRuns() const
{
    return isOwning() || mTakeover.current() == ownership::endpoint_ownership::phase::releasing;
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::submit(const run_submit &inSubmit)
{
    const core::time_point now = mHooks.now();
    mOptions.longestRequest = std::max(mOptions.longestRequest, inSubmit.request.deadline - now);
    // The origin repeats or resumes a run whose events were lost.
    dropEarlierRun(inSubmit.request.requestId);
    if (inSubmit.request.deadline <= now)
        refuse(inSubmit, core::error_kind::timeout, "the deadline passed before the run started");
    else if (inSubmit.resumeFrom > 0)
        resumeStream(inSubmit);
    else
        queueRun(inSubmit);
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::queueRun(const run_submit &inSubmit)
{
    // Runs are queued while the fencing number is being renewed.
    const bool isRenewing = mTakeover.current() == ownership::endpoint_ownership::phase::acquiring
        && mReported && !mDraining && !mView.leaving;
    if (!mayTakeRuns() && !isRenewing) {
        refuse(inSubmit, core::error_kind::unavailable,
               mView.leaving ? "the endpoint is leaving"
                             : "this instance does not serve the endpoint");
        return;
    }
    scheduling::queued_request entry = queueEntry(inSubmit);
    const std::string adapter = entry.adapter;
    const double tokens = entry.tokens;
    if (!mQueue.push(std::move(entry), mHooks.now())) {
        refuse(inSubmit, core::error_kind::overloaded, "the queue of the endpoint is full");
        return;
    }
    mSlots.adapterRequested(adapter, tokens, mHooks.now());
    mWaiting.insert_or_assign(inSubmit.request.requestId, inSubmit);
    startRuns();
    decideSlots();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::resumeStream(const run_submit &inSubmit)
{
    if (!mayResumeRuns() || mDraining) {
        refuse(inSubmit, core::error_kind::unavailable, "this instance does not own the endpoint");
        return;
    }
    // The run is already at the endpoint and does not wait in the queue.
    scheduling::queued_request entry = queueEntry(inSubmit);
    owned_run running;
    running.submitted = inSubmit;
    running.adapter = entry.adapter;
    running.startedAt = mHooks.now();
    running.nextPart = inSubmit.resumeFrom;
    running.reachedEndpoint = true;
    mQueue.startDirectly(std::move(entry), mHooks.now());
    mHealth.started();
    owned_run &added
        = mRuns.insert_or_assign(inSubmit.request.requestId, std::move(running)).first->second;
    resumeRun(added);
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::cancel(const std::string &inRequestId, const std::string &inOrigin)
{
    const auto waiting = mWaiting.find(inRequestId);
    if (waiting != mWaiting.end() && waiting->second.origin == inOrigin) {
        mQueue.remove(inRequestId);
        mWaiting.erase(waiting);
        return;
    }
    const auto running = mRuns.find(inRequestId);
    if (running == mRuns.end() || running->second.submitted.origin != inOrigin)
        return;
    mEngine.cancelCall(running->second.call);
    mEngine.cancelStream(inRequestId);
    markUncertainRun(running->second);
    mHealth.abandoned();
    const double used = running->second.submitted.request.promptTokens
        + static_cast<double>(running->second.nextPart);
    mRuns.erase(running);
    mQueue.ended(inRequestId, used);
    startRuns();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::dropOrigin(const std::string &inOrigin)
{
    std::vector<std::string> dropped;
    for (const auto &[id, submitted] : mWaiting) {
        if (submitted.origin == inOrigin)
            dropped.push_back(id);
    }
    for (const std::string &id : dropped) {
        mQueue.remove(id);
        mWaiting.erase(id);
    }
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::startRuns()
{
    if (!isOwning() || !mReported || mDraining || mView.leaving)
        return;
    const core::time_point now = mHooks.now();
    while (mHealth.mayStart(now)) {
        const auto next = mQueue.pop(
            [this](const scheduling::queued_request &inRequest) {
                return mSlots.mayStart(inRequest.adapter)
                    && !mUncertainUnloads.contains(inRequest.adapter);
            },
            now);
        if (!next)
            return;
        startRun(*next);
    }
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::startRun(const scheduling::queued_request &inRequest)
{
    auto waiting = mWaiting.extract(inRequest.requestId);
    owned_run running;
    running.submitted = std::move(waiting.mapped());
    running.adapter = inRequest.adapter;
    running.fence = mTakeover.fence();
    running.startedAt = mHooks.now();
    owned_run &added
        = mRuns.insert_or_assign(inRequest.requestId, std::move(running)).first->second;
    mHealth.started();
    added.call = mEngine.run(engineRun(added), runEvents(inRequest.requestId));
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::resumeRun(owned_run &ioRun)
{
    const run &request = ioRun.submitted.request;
    ioRun.resumeAt.reset();
    if (mHooks.now() >= request.deadline) {
        handleInterruption(ioRun, "the request was not answered in time");
        return;
    }
    ioRun.call = mEngine.resume(engineRun(ioRun), ioRun.nextPart, runEvents(request.requestId));
}

template <endpoint::engine_protocol Engine>
endpoint::engine_run owned_endpoint<Engine>::engineRun(const owned_run &inRun) const
{
    const run &request = inRun.submitted.request;
    return {.requestId = request.requestId,
            .account = request.account,
            .path = request.path,
            .contentType = request.contentType,
            .body = request.body,
            .fence = mTakeover.fence(),
            .priority = request.trafficClass == settings::traffic_class::prompt ? 0 : 1,
            .stream = request.stream,
            .timeout = std::max<core::duration>(request.deadline - mHooks.now(),
                                                std::chrono::milliseconds(1)),
            .streamIdle = request.streamIdle,
            .freshConnection = !request.repeatable};
}

template <endpoint::engine_protocol Engine>
endpoint::engine_run_events owned_endpoint<Engine>::runEvents(const std::string &inRequestId)
{
    return {.onHead =
                [this, id = inRequestId](int inStatus, const std::string &inContentType) {
                    const auto found = mRuns.find(id);
                    if (found != mRuns.end())
                        handleHead(found->second, inStatus, inContentType);
                },
            .onChunk =
                [this, id = inRequestId](std::uint64_t inIndex, std::string_view inData) {
                    const auto found = mRuns.find(id);
                    if (found == mRuns.end())
                        return;
                    found->second.nextPart = inIndex + 1;
                    found->second.resumptions = 0;
                    mHooks.sendEvent(found->second.submitted.origin,
                                     {id, run_chunk{inIndex, std::string(inData)}});
                },
            .onEnd = [this, id = inRequestId](
                         const endpoint::engine_run_end &inEnd) { handleEnd(id, inEnd); }};
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::handleHead(owned_run &ioRun, int inStatus,
                                        const std::string &inContentType)
{
    ioRun.reachedEndpoint = true;
    if (std::exchange(ioRun.headSent, true))
        return;
    mHooks.sendEvent(ioRun.submitted.origin,
                     {ioRun.submitted.request.requestId, run_head{inStatus, inContentType}});
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::handleEnd(const std::string &inRequestId,
                                       const endpoint::engine_run_end &inEnd)
{
    using outcome = endpoint::engine_outcome;
    const auto found = mRuns.find(inRequestId);
    if (found == mRuns.end())
        return;
    owned_run &running = found->second;
    const core::time_point now = mHooks.now();
    const bool wasResumed
        = running.submitted.resumeFrom > 0 || running.nextPart > 0 || running.resumptions > 0;
    if (inEnd.outcome == outcome::completed) {
        const core::duration elapsed = now - running.startedAt;
        mServiceTime = mServiceTime.count() == 0 ? elapsed : (mServiceTime * 9 + elapsed) / 10;
        mHealth.succeeded(elapsed, now);
        run_end end{.outcome = run_outcome::completed, .outputTokens = inEnd.outputTokens};
        end.endpoint = mView.name;
        const double used = running.submitted.request.promptTokens + inEnd.outputTokens;
        finishRun(inRequestId, std::move(end), used);
        return;
    }
    // The rejection of a resumption does not prove that the run itself did not start.
    if (inEnd.outcome == outcome::unknown || wasResumed) {
        handleInterruption(running, inEnd.reason);
        return;
    }
    if (inEnd.outcome == outcome::not_sent || inEnd.outcome == outcome::refused)
        mHealth.failed(now);
    else
        mHealth.abandoned();
    const std::uint64_t fence = running.fence;
    if (inEnd.outcome == outcome::not_resident)
        mSlots.adapterMissing(running.adapter, now);
    finishRun(inRequestId, makeNotRunEnd(core::error_kind::unavailable, inEnd.reason), 0);
    if (inEnd.outcome == outcome::stale_fence)
        handleStaleFence(fence, inEnd.reason);
}

/// Handles a call that ended without an answer: schedules the resumption of the stream if possible,
/// otherwise ends the run with an unknown outcome.
template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::handleInterruption(owned_run &ioRun, const std::string &inReason)
{
    static constexpr int cMaxResumptions = 4;
    static constexpr core::duration cFirstDelay = std::chrono::milliseconds(50);
    const core::time_point now = mHooks.now();
    const std::string id = ioRun.submitted.request.requestId;
    const bool isKnownLost = inReason.find("unknown_stream") != std::string::npos;
    if (ioRun.submitted.request.stream && !isKnownLost && now < ioRun.submitted.request.deadline
        && ioRun.resumptions < cMaxResumptions) {
        ioRun.resumeAt = now + cFirstDelay * (1 << ioRun.resumptions);
        ++ioRun.resumptions;
        return;
    }
    const bool timedOut = now >= ioRun.submitted.request.deadline;
    const double used = ioRun.submitted.request.promptTokens + static_cast<double>(ioRun.nextPart);
    mHealth.failed(now);
    mEngine.cancelStream(id);
    markUncertainRun(ioRun);
    run_end end{.outcome = run_outcome::unknown,
                .error = {timedOut ? core::error_kind::timeout : core::error_kind::outcome_unknown,
                          inReason, "find out whether the request ran before repeating it"},
                .outputTokens = static_cast<double>(ioRun.nextPart)};
    end.endpoint = mView.name;
    finishRun(id, std::move(end), used);
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::finishRun(const std::string &inRequestId, run_end inEnd,
                                       double inUsedTokens)
{
    const auto node = mRuns.extract(inRequestId);
    mQueue.ended(inRequestId, inUsedTokens);
    mHooks.sendEvent(node.mapped().submitted.origin, {inRequestId, std::move(inEnd)});
    startRuns();
    decideSlots();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::markUncertainRun(const owned_run &inRun)
{
    const core::time_point now = mHooks.now();
    if (inRun.reachedEndpoint) {
        mTakeover.interrupted(inRun.adapter, now);
    } else if (mView.checksFencing) {
        mTakeover.interruptedInTransit(inRun.adapter);
        mNeedsNewFence = true;
    } else {
        mTakeover.interrupted(inRun.adapter, now + mOptions.longestRequest);
    }
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::refuse(const run_submit &inSubmit, core::error_kind inKind,
                                    const std::string &inReason)
{
    mHooks.sendEvent(inSubmit.origin,
                     {inSubmit.request.requestId, makeNotRunEnd(inKind, inReason)});
}

template <endpoint::engine_protocol Engine>
std::size_t owned_endpoint<Engine>::refuseWaiting(core::error_kind inKind,
                                                  const std::string &inReason)
{
    mQueue.takeAll();
    const auto waiting = std::exchange(mWaiting, {});
    for (const auto &[id, submitted] : waiting)
        refuse(submitted, inKind, inReason);
    return waiting.size();
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::dropEarlierRun(const std::string &inRequestId)
{
    if (mQueue.remove(inRequestId))
        mWaiting.erase(inRequestId);
    const auto running = mRuns.find(inRequestId);
    if (running == mRuns.end())
        return;
    mEngine.cancelCall(running->second.call);
    markUncertainRun(running->second);
    mHealth.abandoned();
    mRuns.erase(running);
    mQueue.ended(inRequestId, 0);
}

template <endpoint::engine_protocol Engine>
void owned_endpoint<Engine>::expireWaiting()
{
    for (const scheduling::queued_request &expired : mQueue.takeExpired(mHooks.now())) {
        const auto node = mWaiting.extract(expired.requestId);
        refuse(node.mapped(), core::error_kind::timeout,
               "the deadline passed while the request was queued");
    }
}

template <endpoint::engine_protocol Engine>
scheduling::queued_request owned_endpoint<Engine>::queueEntry(const run_submit &inSubmit) const
{
    const run &request = inSubmit.request;
    return {.requestId = request.requestId,
            .account = request.account,
            .weight = std::max(0.001, mHooks.accountWeight(request.account)),
            .adapter = adapterName(request.adapter, request.version),
            .tokens = request.promptTokens + request.maxTokens,
            .prompt = request.trafficClass == settings::traffic_class::prompt,
            .deadline = request.deadline};
}

template <endpoint::engine_protocol Engine>
run_end owned_endpoint<Engine>::makeNotRunEnd(core::error_kind inKind,
                                              const std::string &inReason) const
{
    run_end end{.outcome = run_outcome::not_run,
                .error = {inKind, inReason, "repeat the request"},
                .retryAfterSeconds = 1};
    end.endpoint = mView.name;
    return end;
}

} // namespace corneltally::entry
