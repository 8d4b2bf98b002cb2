#include "corneltally/entry/dispatch_service.h"

#include "corneltally/core/metrics.h"
#include "corneltally/entry/dispatch_rules.h"
#include "corneltally/entry/settings_messages.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/settings/catalog.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace corneltally::entry {

namespace {

using namespace std::chrono_literals;

constexpr core::duration cSweepPeriod = 20ms;
/// Longest wait for an endpoint that takes the run: peers detect a dead owner in 2 s and take its
/// endpoints over within 3 s.
constexpr core::duration cEndpointWait = 5s;
constexpr core::duration cEndpointPoll = 50ms;
/// Refusals to continue a stream before it is given up. With their delays they span the time in
/// which a draining owner, which continues no streams, hands its endpoint over.
constexpr int cMaxResumptions = 20;
constexpr core::duration cResumeDelayLimit = 1s;
constexpr core::duration cPrunePeriod = 5s;
/// A call to a service that may be repeated gets this part of the remaining time, so that a
/// connection that went silent leaves time for another attempt.
constexpr int cServiceTimeParts = 2;

run_end unknownEnd(core::error_kind inKind, std::string_view inReason)
{
    return {.outcome = run_outcome::unknown,
            .error = {inKind, std::string(inReason),
                      "find out whether the request ran before repeating it"}};
}

run_end notRunEnd(core::error_kind inKind, std::string_view inReason, int inRetryAfter = 1)
{
    return {.outcome = run_outcome::not_run,
            .error = {inKind, std::string(inReason), "repeat the request later"},
            .retryAfterSeconds = inRetryAfter};
}

} // namespace

dispatch_service::dispatch_service(kernel::service_registry &inRegistry, core::metrics &inMetrics,
                                   std::string inInstance)
    : mRegistry(inRegistry)
    , mMetrics(inMetrics)
    , mInstance(std::move(inInstance))
    , mDirectory(mInstance)
    , mServices(inRegistry.loop())
    , mSweep(inRegistry.loop(), [this] { sweep(); })
    , mRandom(std::random_device()())
    , mRetryBudget(core::boot_clock::now())
{
    mRegistry.handle<run_start>(name(),
                                [this](const run_start &inStart) { startRun(inStart.request); });
    mRegistry.handle<run_abandon>(
        name(), [this](const run_abandon &inAbandon) { abandon(inAbandon.requestId); });
    mRegistry.handle<run_event>(
        name(), [this](const run_event &inEvent) { takeEvent(inEvent, mInstance); });
    mRegistry.handle<peer_received<run_event>>(
        name(), [this](const peer_received<run_event> &inReceived) {
            takeEvent(inReceived.message, inReceived.instance);
        });
    mRegistry.handle<endpoint_status>(name(), [this](const endpoint_status &inStatus) {
        mDirectory.updateStatus(inStatus, core::boot_clock::now());
    });
    mRegistry.handle<peer_received<endpoint_status>>(
        name(), [this](const peer_received<endpoint_status> &inReceived) {
            mDirectory.updateStatus(inReceived.message, core::boot_clock::now());
        });
    mRegistry.handle<catalog_changed>(name(), [this](const catalog_changed &inChange) {
        mDirectory.setCatalog(inChange.catalog);
    });
    mRegistry.handle<peers_changed>(
        name(), [this](const peers_changed &inChange) { applyPeers(inChange); });
    mRegistry.handle<peer_connected>(name(), [this](const peer_connected &inConnected) {
        mDirectory.setConnected(inConnected.instance, true);
    });
    mRegistry.handle<peer_lost>(name(), [this](const peer_lost &inLost) { applyLost(inLost); });
}

dispatch_service::~dispatch_service() = default;

void dispatch_service::start()
{
    mSweep.startRepeating(cSweepPeriod);
}

void dispatch_service::startRun(const run &inRun)
{
    const core::time_point now = core::boot_clock::now();
    mRetryBudget.requestStarted(now);
    auto added = std::make_unique<dispatched_run>();
    added->request = inRun;
    added->startedAt = now;
    added->lastEvent = now;
    dispatched_run &running = *added;
    mRuns.insert_or_assign(inRun.requestId, std::move(added));
    attempt(running);
}

void dispatch_service::abandon(const std::string &inRequestId)
{
    const auto found = mRuns.find(inRequestId);
    if (found == mRuns.end())
        return;
    dispatched_run &running = *found->second;
    cancelAtOwner(running);
    if (running.call)
        mServices.cancel(*running.call);
    if (!running.endpoint.empty())
        mDirectory.abandoned(running.request, running.endpoint, core::boot_clock::now());
    mRuns.erase(found);
}

void dispatch_service::attempt(dispatched_run &ioRun)
{
    const core::time_point now = core::boot_clock::now();
    ioRun.nextAttempt.reset();
    if (ioRun.request.kind == settings::endpoint_kind::service)
        attemptService(ioRun, now);
    else if (ioRun.nextPart > 0)
        resume(ioRun, now);
    else
        attemptModel(ioRun, now);
}

void dispatch_service::attemptModel(dispatched_run &ioRun, core::time_point inNow)
{
    std::optional<std::string> chosen
        = mDirectory.chooseModelEndpoint(ioRun.request, ioRun.refusedBy, inNow, mRandom());
    const std::optional<std::string> owner = chosen ? mDirectory.ownerOf(*chosen) : std::nullopt;
    if (!owner) {
        // All that refused it once may take it later.
        ioRun.refusedBy.clear();
        waitForEndpoint(ioRun, inNow);
        return;
    }
    ++ioRun.attempts;
    ioRun.endpoint = std::move(*chosen);
    mDirectory.started(ioRun.request, ioRun.endpoint, inNow);
    submit(ioRun, *owner, inNow);
}

/// Continues a stream at the endpoint that runs it, through whichever instance owns it now.
void dispatch_service::resume(dispatched_run &ioRun, core::time_point inNow)
{
    const std::optional<std::string> owner = mDirectory.ownerOf(ioRun.endpoint);
    if (!owner) {
        ioRun.nextAttempt = inNow + cEndpointPoll;
        return;
    }
    mMetrics.count("streams_resumed_total");
    submit(ioRun, *owner, inNow);
}

void dispatch_service::submit(dispatched_run &ioRun, const std::string &inOwner,
                              core::time_point inNow)
{
    ioRun.owner = inOwner;
    ioRun.lastEvent = inNow;
    run_submit message{.request = ioRun.request,
                       .endpoint = ioRun.endpoint,
                       .origin = mInstance,
                       .resumeFrom = ioRun.nextPart};
    if (inOwner != mInstance) {
        mRegistry.post("peers", peer_send{inOwner, std::move(message)});
        return;
    }
    if (!mRegistry.post("owner", std::move(message)))
        takeEnd(ioRun, notRunEnd(core::error_kind::unavailable, "the endpoint has no owner"));
}

void dispatch_service::waitForEndpoint(dispatched_run &ioRun, core::time_point inNow)
{
    if (inNow - ioRun.startedAt < cEndpointWait && inNow + cEndpointPoll < ioRun.request.deadline) {
        ioRun.nextAttempt = inNow + cEndpointPoll;
        return;
    }
    finish(ioRun,
           ioRun.lastFailure.value_or(
               notRunEnd(core::error_kind::unavailable, "no endpoint takes the request")));
}

void dispatch_service::attemptService(dispatched_run &ioRun, core::time_point inNow)
{
    std::optional<std::string> chosen
        = mDirectory.chooseServiceEndpoint(ioRun.request, ioRun.refusedBy, inNow, mRandom());
    if (!chosen) {
        waitForEndpoint(ioRun, inNow);
        return;
    }
    const run &request = ioRun.request;
    ++ioRun.attempts;
    ioRun.endpoint = std::move(*chosen);
    ioRun.owner.clear();
    ioRun.lastEvent = inNow;
    mDirectory.started(request, ioRun.endpoint, inNow);
    core::duration timeout = request.deadline - inNow;
    if (request.repeatable && ioRun.attempts < cMaxAttempts)
        timeout /= cServiceTimeParts;
    ioRun.call
        = mServices.call({.target = http::parseAddress(mDirectory.find(ioRun.endpoint)->address),
                          .method = request.method,
                          .path = request.path,
                          .contentType = request.contentType,
                          .body = request.body,
                          .requestId = request.requestId,
                          .orderId = request.orderId,
                          .timeout = timeout,
                          .freshConnection = !request.repeatable},
                         [this, id = request.requestId](const endpoint::service_answer &inAnswer) {
                             takeServiceAnswer(id, inAnswer);
                         });
}

void dispatch_service::takeServiceAnswer(const std::string &inRequestId,
                                         const endpoint::service_answer &inAnswer)
{
    const auto found = mRuns.find(inRequestId);
    if (found == mRuns.end())
        return;
    dispatched_run &running = *found->second;
    running.call.reset();
    switch (inAnswer.outcome) {
    case endpoint::service_outcome::answered:
        forward(running, {inRequestId, run_head{inAnswer.status, inAnswer.contentType}});
        forward(running, {inRequestId, run_chunk{0, inAnswer.body}});
        takeEnd(running, {.outcome = run_outcome::completed});
        break;
    case endpoint::service_outcome::not_run:
        takeEnd(running,
                notRunEnd(core::error_kind::unavailable, inAnswer.reason,
                          std::max(1, inAnswer.retryAfterSeconds)));
        break;
    case endpoint::service_outcome::unknown:
        takeEnd(running, unknownEnd(core::error_kind::outcome_unknown, inAnswer.reason));
        break;
    }
}

void dispatch_service::takeEvent(const run_event &inEvent, const std::string &inFrom)
{
    const auto found = mRuns.find(inEvent.requestId);
    // Late events of an owner that was given up belong to an earlier attempt.
    if (found == mRuns.end() || found->second->owner != inFrom || found->second->nextAttempt)
        return;
    dispatched_run &running = *found->second;
    running.lastEvent = core::boot_clock::now();
    if (const auto *head = std::get_if<run_head>(&inEvent.event)) {
        if (!std::exchange(running.headSent, true))
            forward(running, {inEvent.requestId, *head});
    } else if (const auto *chunk = std::get_if<run_chunk>(&inEvent.event)) {
        takeChunk(running, *chunk);
    } else {
        takeEnd(running, std::get<run_end>(inEvent.event));
    }
}

void dispatch_service::takeChunk(dispatched_run &ioRun, const run_chunk &inChunk)
{
    // A part that was received before the stream was resumed.
    if (inChunk.index < ioRun.nextPart)
        return;
    if (inChunk.index > ioRun.nextPart) {
        streamLost(ioRun, "a part of the stream is missing");
        return;
    }
    ++ioRun.nextPart;
    forward(ioRun, {ioRun.request.requestId, inChunk});
}

void dispatch_service::takeEnd(dispatched_run &ioRun, run_end inEnd)
{
    if (inEnd.endpoint.empty())
        inEnd.endpoint = ioRun.endpoint;
    if (inEnd.outcome == run_outcome::completed) {
        leaveEndpoint(ioRun, inEnd);
        finish(ioRun, std::move(inEnd));
        return;
    }
    attemptFailed(ioRun, std::move(inEnd));
}

/// Decides between another attempt, the continuation of a stream and the end of the run.
void dispatch_service::attemptFailed(dispatched_run &ioRun, run_end inEnd)
{
    const core::time_point now = core::boot_clock::now();
    const bool partReached = ioRun.nextPart > 0;
    if (partReached && inEnd.outcome == run_outcome::not_run
        && ioRun.resumptions < cMaxResumptions) {
        // The instance does not own the endpoint (any more); the stream itself still exists.
        ++ioRun.resumptions;
        ioRun.owner.clear();
        ioRun.nextAttempt = now + std::min(cEndpointPoll * ioRun.resumptions, cResumeDelayLimit);
        return;
    }
    if (partReached && inEnd.outcome == run_outcome::not_run)
        inEnd = unknownEnd(core::error_kind::outcome_unknown, "the stream could not be continued");
    ioRun.refusedBy.insert(ioRun.endpoint);
    leaveEndpoint(ioRun, inEnd);
    // A change of owner returns all waiting runs at once, and each was only to be sent elsewhere.
    const bool redirected
        = inEnd.outcome == run_outcome::not_run && inEnd.error.kind == core::error_kind::conflict;
    repeatOrFinish(ioRun, std::move(inEnd), !redirected);
}

void dispatch_service::repeatOrFinish(dispatched_run &ioRun, run_end inEnd, bool inBudgeted)
{
    const core::time_point now = core::boot_clock::now();
    ioRun.mayHaveRun = ioRun.mayHaveRun || inEnd.outcome == run_outcome::unknown;
    const failed_attempt failed{.outcome = inEnd.outcome,
                                .repeatable = ioRun.request.repeatable,
                                .partReached = ioRun.nextPart > 0,
                                .attempts = ioRun.attempts,
                                .remaining = ioRun.request.deadline - now};
    if (!mayRepeat(failed) || (inBudgeted && !takeRetryBudget())) {
        finish(ioRun, std::move(inEnd));
        return;
    }
    mMetrics.count("retries_total");
    ioRun.nextAttempt = now + retryDelay(ioRun.attempts, mRandom());
    ioRun.lastFailure = std::move(inEnd);
}

/// The instance that the run was sent to is gone, or messages between it and this one were lost.
void dispatch_service::ownerLost(dispatched_run &ioRun, std::string_view inReason)
{
    const core::time_point now = core::boot_clock::now();
    if (ioRun.nextPart > 0) {
        ioRun.owner.clear();
        ioRun.nextAttempt = now + cEndpointPoll;
        return;
    }
    // The endpoint is not to blame. The loss of an instance concerns only the runs that it has, so
    // that repeating them cannot build up load.
    mDirectory.abandoned(ioRun.request, ioRun.endpoint, now);
    run_end end = unknownEnd(core::error_kind::outcome_unknown, inReason);
    end.endpoint = std::exchange(ioRun.endpoint, {});
    ioRun.owner.clear();
    repeatOrFinish(ioRun, std::move(end), false);
}

/// The stream went silent or has a gap although its owner is reachable: it is asked for again.
void dispatch_service::streamLost(dispatched_run &ioRun, std::string_view inReason)
{
    if (++ioRun.resumptions > cMaxResumptions) {
        cancelAtOwner(ioRun);
        takeEnd(ioRun, unknownEnd(core::error_kind::outcome_unknown, inReason));
        return;
    }
    if (ioRun.nextPart == 0)
        cancelAtOwner(ioRun);
    ownerLost(ioRun, inReason);
}

void dispatch_service::leaveEndpoint(dispatched_run &ioRun, const run_end &inEnd)
{
    const core::time_point now = core::boot_clock::now();
    if (ioRun.endpoint.empty())
        return;
    if (inEnd.outcome == run_outcome::completed)
        mDirectory.succeeded(ioRun.request, ioRun.endpoint, now - ioRun.startedAt, now);
    else if (inEnd.outcome == run_outcome::not_run
             && ioRun.request.kind == settings::endpoint_kind::model)
        mDirectory.abandoned(ioRun.request, ioRun.endpoint, now);
    else
        mDirectory.failed(ioRun.request, ioRun.endpoint, now);
    ioRun.endpoint.clear();
    ioRun.owner.clear();
}

void dispatch_service::cancelAtOwner(const dispatched_run &inRun)
{
    if (inRun.owner.empty())
        return;
    run_cancel message{inRun.request.requestId, mInstance};
    if (inRun.owner == mInstance)
        mRegistry.post("owner", std::move(message));
    else
        mRegistry.post("peers", peer_send{inRun.owner, std::move(message)});
}

void dispatch_service::finish(dispatched_run &ioRun, run_end inEnd)
{
    const std::string id = ioRun.request.requestId;
    if (ioRun.mayHaveRun && inEnd.outcome == run_outcome::not_run)
        inEnd = unknownEnd(core::error_kind::outcome_unknown, inEnd.error.message);
    forward(ioRun, {id, std::move(inEnd)});
    mRuns.erase(id);
}

void dispatch_service::forward(const dispatched_run & /*inRun*/, run_event inEvent)
{
    mRegistry.post("front_end", std::move(inEvent));
}

void dispatch_service::applyPeers(const peers_changed &inChange)
{
    mDirectory.setInstances({inChange.live.begin(), inChange.live.end()},
                            {inChange.draining.begin(), inChange.draining.end()});
    std::vector<std::string> lost;
    for (const auto &[id, running] : mRuns) {
        if (!running->owner.empty() && !mDirectory.isPresent(running->owner))
            lost.push_back(id);
    }
    for (const std::string &id : lost)
        ownerLost(*mRuns.at(id), "the instance that ran the request stopped");
}

void dispatch_service::applyLost(const peer_lost &inLost)
{
    mDirectory.setConnected(inLost.instance, false);
    std::vector<std::string> affected;
    for (const auto &[id, running] : mRuns) {
        // Whether the owner got a run that must not be repeated is not known; its events may
        // still arrive on the next connection.
        if (running->owner == inLost.instance
            && (running->nextPart > 0 || running->request.repeatable))
            affected.push_back(id);
    }
    for (const std::string &id : affected)
        ownerLost(*mRuns.at(id), "the connection to the instance that ran the request was lost");
}

void dispatch_service::sweep()
{
    const core::time_point now = core::boot_clock::now();
    std::vector<std::string> due;
    for (const auto &[id, running] : mRuns) {
        const bool silent = running->request.stream && !running->owner.empty()
            && running->nextPart > 0 && now - running->lastEvent > running->request.streamIdle;
        if (now >= running->request.deadline || silent
            || (running->nextAttempt && now >= *running->nextAttempt))
            due.push_back(id);
    }
    for (const std::string &id : due)
        sweepRun(*mRuns.at(id), now);
    if (now - mLastPrune > cPrunePeriod) {
        mLastPrune = now;
        mDirectory.prune(now);
    }
}

void dispatch_service::sweepRun(dispatched_run &ioRun, core::time_point inNow)
{
    if (inNow >= ioRun.request.deadline) {
        const bool sent = !ioRun.endpoint.empty() || ioRun.nextPart > 0
            || (ioRun.lastFailure && ioRun.lastFailure->outcome == run_outcome::unknown);
        cancelAtOwner(ioRun);
        if (ioRun.call)
            mServices.cancel(*ioRun.call);
        run_end end = sent
            ? unknownEnd(core::error_kind::timeout, "the request was not answered in time")
            : notRunEnd(core::error_kind::timeout, "no endpoint took the request in time");
        end.endpoint = ioRun.endpoint;
        leaveEndpoint(ioRun, end);
        finish(ioRun, std::move(end));
    } else if (ioRun.nextAttempt) {
        attempt(ioRun);
    } else {
        streamLost(ioRun, "the stream went silent");
    }
}

bool dispatch_service::takeRetryBudget()
{
    if (mRetryBudget.tryRetry(core::boot_clock::now()))
        return true;
    mMetrics.count("retries_denied_total");
    return false;
}

std::string dispatch_service::dump() const
{
    return "{\"running\":" + std::to_string(mRuns.size()) + ",\"endpoints\":" + mDirectory.toJson()
        + "}";
}

} // namespace corneltally::entry
