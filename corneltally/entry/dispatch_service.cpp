#include "corneltally/entry/dispatch_service.h"

#include "corneltally/core/metrics.h"
#include "corneltally/entry/dispatch_rules.h"
#include "corneltally/entry/settings_messages.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/settings/settings_index.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace corneltally::entry {

namespace {

using namespace std::chrono_literals;

constexpr core::duration cSweepPeriod = 20ms;
/// Longest wait for an endpoint that accepts the run. Peers detect a dead owner in 2 s and take
/// over its endpoints within 3 s.
constexpr core::duration cMaxEndpointWait = 5s;
constexpr core::duration cEndpointPollPeriod = 50ms;
/// Attempts to resume a stream before it fails. With their delays they cover the time in which a
/// draining owner, which resumes no streams, hands over its endpoint.
constexpr int cMaxResumptions = 20;
constexpr core::duration cMaxResumeDelay = 1s;
constexpr core::duration cPrunePeriod = 5s;
/// A repeatable call to a service gets the remaining time divided by this number, so that an
/// unresponsive connection leaves time for another attempt.
constexpr int cServiceTimeoutDivisor = 2;

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
    , mServiceClient(inRegistry.loop())
    , mSweep(inRegistry.loop(), [this] { sweep(); })
    , mRandom(std::random_device()())
    , mRetryBudget(core::boot_clock::now())
{
    mRegistry.handle<run_start>(name(),
                                [this](const run_start &inStart) { startRun(inStart.request); });
    mRegistry.handle<run_abandon>(
        name(), [this](const run_abandon &inAbandon) { abandon(inAbandon.requestId); });
    mRegistry.handle<run_event>(
        name(), [this](const run_event &inEvent) { handleEvent(inEvent, mInstance); });
    mRegistry.handle<peer_received<run_event>>(
        name(), [this](const peer_received<run_event> &inReceived) {
            handleEvent(inReceived.message, inReceived.instance);
        });
    mRegistry.handle<endpoint_status>(name(), [this](const endpoint_status &inStatus) {
        mDirectory.updateStatus(inStatus, core::boot_clock::now());
    });
    mRegistry.handle<peer_received<endpoint_status>>(
        name(), [this](const peer_received<endpoint_status> &inReceived) {
            mDirectory.updateStatus(inReceived.message, core::boot_clock::now());
        });
    mRegistry.handle<settings_changed>(name(), [this](const settings_changed &inChange) {
        mDirectory.setSettingsIndex(inChange.settingsIndex);
    });
    mRegistry.handle<peers_changed>(
        name(), [this](const peers_changed &inChange) { applyPeers(inChange); });
    mRegistry.handle<peer_connected>(name(), [this](const peer_connected &inConnected) {
        mDirectory.setConnected(inConnected.instance, true);
    });
    mRegistry.handle<peer_lost>(name(),
                                [this](const peer_lost &inLost) { handlePeerLost(inLost); });
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
    added->lastEventAt = now;
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
        mServiceClient.cancel(*running.call);
    if (!running.endpoint.empty())
        mDirectory.abandoned(running.request, running.endpoint, core::boot_clock::now());
    mRuns.erase(found);
}

void dispatch_service::attempt(dispatched_run &ioRun)
{
    const core::time_point now = core::boot_clock::now();
    ioRun.nextAttemptAt.reset();
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
        = mDirectory.chooseModelEndpoint(ioRun.request, ioRun.failedEndpoints, inNow, mRandom());
    const std::optional<std::string> owner = chosen ? mDirectory.ownerOf(*chosen) : std::nullopt;
    if (!owner) {
        // Endpoints where earlier attempts failed may accept the run later.
        ioRun.failedEndpoints.clear();
        waitForEndpoint(ioRun, inNow);
        return;
    }
    ++ioRun.attempts;
    ioRun.endpoint = std::move(*chosen);
    mDirectory.started(ioRun.request, ioRun.endpoint, inNow);
    submit(ioRun, *owner, inNow);
}

/// Resumes a stream at its endpoint, through the instance that owns the endpoint now.
void dispatch_service::resume(dispatched_run &ioRun, core::time_point inNow)
{
    const std::optional<std::string> owner = mDirectory.ownerOf(ioRun.endpoint);
    if (!owner) {
        ioRun.nextAttemptAt = inNow + cEndpointPollPeriod;
        return;
    }
    mMetrics.count("streams_resumed_total");
    submit(ioRun, *owner, inNow);
}

void dispatch_service::submit(dispatched_run &ioRun, const std::string &inOwner,
                              core::time_point inNow)
{
    ioRun.owner = inOwner;
    ioRun.lastEventAt = inNow;
    run_submit message{.request = ioRun.request,
                       .endpoint = ioRun.endpoint,
                       .origin = mInstance,
                       .resumeFrom = ioRun.nextPart};
    if (inOwner != mInstance) {
        mRegistry.post("peers", peer_send{inOwner, std::move(message)});
        return;
    }
    if (!mRegistry.post("owner", std::move(message)))
        handleEnd(ioRun, notRunEnd(core::error_kind::unavailable, "the endpoint has no owner"));
}

void dispatch_service::waitForEndpoint(dispatched_run &ioRun, core::time_point inNow)
{
    if (inNow - ioRun.startedAt < cMaxEndpointWait
        && inNow + cEndpointPollPeriod < ioRun.request.deadline) {
        ioRun.nextAttemptAt = inNow + cEndpointPollPeriod;
        return;
    }
    finish(ioRun,
           ioRun.lastFailure.value_or(
               notRunEnd(core::error_kind::unavailable, "no endpoint accepts the request")));
}

void dispatch_service::attemptService(dispatched_run &ioRun, core::time_point inNow)
{
    std::optional<std::string> chosen
        = mDirectory.chooseServiceEndpoint(ioRun.request, ioRun.failedEndpoints, inNow, mRandom());
    if (!chosen) {
        waitForEndpoint(ioRun, inNow);
        return;
    }
    const run &request = ioRun.request;
    ++ioRun.attempts;
    ioRun.endpoint = std::move(*chosen);
    ioRun.owner.clear();
    ioRun.lastEventAt = inNow;
    mDirectory.started(request, ioRun.endpoint, inNow);
    core::duration timeout = request.deadline - inNow;
    if (request.repeatable && ioRun.attempts < cMaxAttempts)
        timeout /= cServiceTimeoutDivisor;
    ioRun.call = mServiceClient.call(
        {.target = http::parseAddress(mDirectory.find(ioRun.endpoint)->address),
         .method = request.method,
         .path = request.path,
         .contentType = request.contentType,
         .body = request.body,
         .requestId = request.requestId,
         .orderId = request.orderId,
         .timeout = timeout,
         .freshConnection = !request.repeatable},
        [this, id = request.requestId](const endpoint::service_result &inAnswer) {
            handleServiceAnswer(id, inAnswer);
        });
}

void dispatch_service::handleServiceAnswer(const std::string &inRequestId,
                                           const endpoint::service_result &inAnswer)
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
        handleEnd(running, {.outcome = run_outcome::completed});
        break;
    case endpoint::service_outcome::not_run:
        handleEnd(running,
                  notRunEnd(core::error_kind::unavailable, inAnswer.reason,
                            std::max(1, inAnswer.retryAfterSeconds)));
        break;
    case endpoint::service_outcome::unknown:
        handleEnd(running, unknownEnd(core::error_kind::outcome_unknown, inAnswer.reason));
        break;
    }
}

void dispatch_service::handleEvent(const run_event &inEvent, const std::string &inFrom)
{
    const auto found = mRuns.find(inEvent.requestId);
    // Late events of a previous owner belong to an earlier attempt.
    if (found == mRuns.end() || found->second->owner != inFrom || found->second->nextAttemptAt)
        return;
    dispatched_run &running = *found->second;
    running.lastEventAt = core::boot_clock::now();
    if (const auto *head = std::get_if<run_head>(&inEvent.event)) {
        if (!std::exchange(running.headSent, true))
            forward(running, {inEvent.requestId, *head});
    } else if (const auto *chunk = std::get_if<run_chunk>(&inEvent.event)) {
        handleChunk(running, *chunk);
    } else {
        handleEnd(running, std::get<run_end>(inEvent.event));
    }
}

void dispatch_service::handleChunk(dispatched_run &ioRun, const run_chunk &inChunk)
{
    // The part was already received before the stream was resumed.
    if (inChunk.index < ioRun.nextPart)
        return;
    if (inChunk.index > ioRun.nextPart) {
        handleStreamLost(ioRun, "a part of the stream is missing");
        return;
    }
    ++ioRun.nextPart;
    forward(ioRun, {ioRun.request.requestId, inChunk});
}

void dispatch_service::handleEnd(dispatched_run &ioRun, run_end inEnd)
{
    if (inEnd.endpoint.empty())
        inEnd.endpoint = ioRun.endpoint;
    if (inEnd.outcome == run_outcome::completed) {
        releaseEndpoint(ioRun, inEnd);
        finish(ioRun, std::move(inEnd));
        return;
    }
    handleFailedAttempt(ioRun, std::move(inEnd));
}

/// Retries the run, resumes its stream or ends the run.
void dispatch_service::handleFailedAttempt(dispatched_run &ioRun, run_end inEnd)
{
    const core::time_point now = core::boot_clock::now();
    const bool partDelivered = ioRun.nextPart > 0;
    if (partDelivered && inEnd.outcome == run_outcome::not_run
        && ioRun.resumptions < cMaxResumptions) {
        // The instance does not own the endpoint, or no longer owns it; the stream itself still
        // exists.
        ++ioRun.resumptions;
        ioRun.owner.clear();
        ioRun.nextAttemptAt
            = now + std::min(cEndpointPollPeriod * ioRun.resumptions, cMaxResumeDelay);
        return;
    }
    if (partDelivered && inEnd.outcome == run_outcome::not_run)
        inEnd = unknownEnd(core::error_kind::outcome_unknown, "the stream could not be resumed");
    ioRun.failedEndpoints.insert(ioRun.endpoint);
    releaseEndpoint(ioRun, inEnd);
    // A change of owner returns all waiting runs at once. They did not fail but need another owner,
    // so that their retries are not charged to the retry budget.
    const bool redirected
        = inEnd.outcome == run_outcome::not_run && inEnd.error.kind == core::error_kind::conflict;
    repeatOrFinish(ioRun, std::move(inEnd), !redirected);
}

void dispatch_service::repeatOrFinish(dispatched_run &ioRun, run_end inEnd, bool inUseRetryBudget)
{
    const core::time_point now = core::boot_clock::now();
    ioRun.mayHaveRun = ioRun.mayHaveRun || inEnd.outcome == run_outcome::unknown;
    const failed_attempt failed{.outcome = inEnd.outcome,
                                .repeatable = ioRun.request.repeatable,
                                .partDelivered = ioRun.nextPart > 0,
                                .attempts = ioRun.attempts,
                                .remaining = ioRun.request.deadline - now};
    if (!mayRepeat(failed) || (inUseRetryBudget && !takeRetryBudget())) {
        finish(ioRun, std::move(inEnd));
        return;
    }
    mMetrics.count("retries_total");
    ioRun.nextAttemptAt = now + retryDelay(ioRun.attempts, mRandom());
    ioRun.lastFailure = std::move(inEnd);
}

/// Retries or resumes a run after the instance that it was sent to stopped, or after messages
/// between it and this instance were lost.
void dispatch_service::handleOwnerLost(dispatched_run &ioRun, std::string_view inReason)
{
    const core::time_point now = core::boot_clock::now();
    if (ioRun.nextPart > 0) {
        ioRun.owner.clear();
        ioRun.nextAttemptAt = now + cEndpointPollPeriod;
        return;
    }
    // The loss does not count against the endpoint's health. A lost instance affects only the runs
    // that it has, so that retries outside the retry budget cannot amplify load.
    mDirectory.abandoned(ioRun.request, ioRun.endpoint, now);
    run_end end = unknownEnd(core::error_kind::outcome_unknown, inReason);
    end.endpoint = std::exchange(ioRun.endpoint, {});
    ioRun.owner.clear();
    repeatOrFinish(ioRun, std::move(end), false);
}

/// Resumes a stream that is silent or has a gap although its owner is reachable.
void dispatch_service::handleStreamLost(dispatched_run &ioRun, std::string_view inReason)
{
    if (++ioRun.resumptions > cMaxResumptions) {
        cancelAtOwner(ioRun);
        handleEnd(ioRun, unknownEnd(core::error_kind::outcome_unknown, inReason));
        return;
    }
    if (ioRun.nextPart == 0)
        cancelAtOwner(ioRun);
    handleOwnerLost(ioRun, inReason);
}

void dispatch_service::releaseEndpoint(dispatched_run &ioRun, const run_end &inEnd)
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
        handleOwnerLost(*mRuns.at(id), "the instance that ran the request stopped");
}

void dispatch_service::handlePeerLost(const peer_lost &inLost)
{
    mDirectory.setConnected(inLost.instance, false);
    std::vector<std::string> affected;
    for (const auto &[id, running] : mRuns) {
        // A run without parts that must not be repeated keeps waiting: the owner may have received
        // it, and its events may still arrive on the next connection.
        if (running->owner == inLost.instance
            && (running->nextPart > 0 || running->request.repeatable))
            affected.push_back(id);
    }
    for (const std::string &id : affected)
        handleOwnerLost(*mRuns.at(id),
                        "the connection to the instance that ran the request was lost");
}

void dispatch_service::sweep()
{
    const core::time_point now = core::boot_clock::now();
    std::vector<std::string> due;
    for (const auto &[id, running] : mRuns) {
        const bool silent = running->request.stream && !running->owner.empty()
            && running->nextPart > 0 && now - running->lastEventAt > running->request.streamIdle;
        if (now >= running->request.deadline || silent
            || (running->nextAttemptAt && now >= *running->nextAttemptAt))
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
            mServiceClient.cancel(*ioRun.call);
        run_end end = sent
            ? unknownEnd(core::error_kind::timeout, "the request was not answered in time")
            : notRunEnd(core::error_kind::timeout, "no endpoint accepted the request in time");
        end.endpoint = ioRun.endpoint;
        releaseEndpoint(ioRun, end);
        finish(ioRun, std::move(end));
    } else if (ioRun.nextAttemptAt) {
        attempt(ioRun);
    } else {
        handleStreamLost(ioRun, "the stream was silent for too long");
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
