#include "corneltally/forwarding/forwarded_request.h"

#include "corneltally/core/digest.h"
#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/fleet/mesh_messages.h"
#include "corneltally/forwarding/forward_context.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/orders/order_messages.h"
#include "platform/request_codec.h"

#include <algorithm>
#include <array>
#include <limits>
#include <string_view>
#include <utility>

namespace corneltally::forwarding {

namespace {

using milliseconds = std::chrono::milliseconds;

/// Nothing is sent to an endpoint for this long after another endpoint answered at its address.
/// Meanwhile its entry is renewed or removed.
constexpr core::duration cMisdirectedPause = std::chrono::seconds(2);
/// Nothing is sent to an unreachable endpoint for this long.
constexpr core::duration cUnreachablePause = milliseconds(500);
/// Upper bounds of the histogram of times to the first event relative to their estimates.
constexpr std::array<std::pair<double, std::string_view>, 8> cEstimateRatios{
    {{0.5, "0.5"},
     {0.75, "0.75"},
     {0.9, "0.9"},
     {1.1, "1.1"},
     {1.5, "1.5"},
     {2, "2"},
     {4, "4"},
     {std::numeric_limits<double>::infinity(), "+Inf"}}};
/// A prompt part that crashes endpoints does so when the answer begins. An endpoint that still
/// writes events this long after the first one is not crashed by the prompt.
constexpr core::duration cPartProofTime = milliseconds(100);
/// Shortest time after which a caller whose prompt holds a quarantined part may return.
constexpr core::duration cMinHoldAnswer = std::chrono::seconds(1);
/// A connection that was not established within this time may mean that the endpoint has restarted.
constexpr core::duration cMinConnectWait = milliseconds(100);
/// Shorter estimates count as this in the histogram.
constexpr core::duration cMinEstimate = milliseconds(1);

long long inMs(core::duration inDuration)
{
    return std::chrono::duration_cast<milliseconds>(inDuration).count();
}

} // namespace

forwarded_request::forwarded_request(forward_context &ioContext, http1::server_connection &ioCaller,
                                     http1::server_request inRequest, std::function<void()> inDone)
    : mContext(ioContext)
    , mCaller(ioCaller)
    , mRequest(std::move(inRequest))
    , mDone(std::move(inDone))
    , mTable(ioContext.table)
    , mDeadline(ioContext.loop, [this] { deadlineExpired(); })
    , mAdapterTimer(ioContext.loop, [this] { adapterTimerExpired(); })
    , mPermitTimer(ioContext.loop, [this] { permitTimerExpired(); })
{ }

forwarded_request::~forwarded_request()
{
    if (mState != state::done) {
        const bool mayRun = mUpstream && mUpstream->sent() && mRunState == run_state::not_run;
        core::logEvent(core::log_level::warning, "request_dropped",
                       {{"request", mTerms.requestId},
                        {"endpoint", mChoice.endpoint},
                        {"run", toString(mayRun ? run_state::unknown : mRunState)},
                        {"answer_started", mAnswerStarted},
                        {"ms", inMs(core::boot_clock::now() - mRequest.arrived)}});
    }
    forgetPermit();
    uncountWaiting();
    uncountLoad();
}

void forwarded_request::start(bool inHoldsAdmission)
{
    mTerms = platform::decodeRequest(mRequest.head);
    if (!mTable) {
        refuse(503, "no configuration is known yet", retryAfter());
        return;
    }
    if (!resolveRoute())
        return;
    mDeadline.startOnce(std::max(core::duration::zero(), timeLeft()));
    mAdmissionHeld = inHoldsAdmission;
    if (!mAdmissionHeld)
        admitAndSend();
}

void forwarded_request::admitHeld()
{
    if (mState != state::done && std::exchange(mAdmissionHeld, false))
        admitAndSend();
}

void forwarded_request::admitAndSend()
{
    if (admit())
        chooseAndSend();
}

bool forwarded_request::resolveRoute()
{
    if (mTerms.requestId.empty()) {
        refuse(400, "the request has no id");
        return false;
    }
    mRoute = mTable->findRoute(mTerms.host, mRequest.head.target);
    if (mRoute == nullptr) {
        refuse(404, "no route has this host and path");
        return false;
    }
    const routing::client_account *account
        = mTerms.key.empty() ? nullptr : mTable->findAccountByKey(mTerms.key);
    if (account == nullptr && mTable->source().keysRequired && !mRoute->open) {
        refuse(401, "the key is unknown");
        return false;
    }
    mPriority = mRoute->priority;
    if (account != nullptr) {
        mAccount = account->name;
        if (account->priority)
            mPriority = account->priority;
    }
    restrictRegions(account);
    mService = mTable->chooseService(*mRoute, mTerms.requestId);
    const core::duration callerTime = mTerms.timeLeft.value_or(mRoute->timeout);
    mCallerDeadline = mRequest.arrived + callerTime;
    mAnswerDeadline = mRequest.arrived + std::min<core::duration>(callerTime, mRoute->timeout)
        - mContext.settings.answerMargin;
    return true;
}

bool forwarded_request::admit()
{
    const core::time_point now = core::boot_clock::now();
    if (mService == nullptr) {
        refuseBusy("the route has no service");
        return false;
    }
    if (mContext.stopAt && *mContext.stopAt - now < timeNeeded()) {
        refuseBusy("the instance is stopping");
        return false;
    }
    const routing::client_account *account = mTable->findAccount(mAccount);
    if (account != nullptr && account->ratePerSecond > 0) {
        double amount = 1;
        if (account->countsTokens)
            amount = mTerms.promptTokens ? *mTerms.promptTokens + mTerms.answerTokens
                                         : account->defaultTokens;
        if (!mContext.allowance.tryCharge(mAccount, amount, now)) {
            const core::duration wait = mContext.allowance.timeUntil(mAccount, amount, now);
            refuse(429, "the account is beyond its rate",
                   std::max<core::duration>(wait, mContext.settings.minRetryAfter));
            return false;
        }
        mChargedAmount = amount;
    }
    mContext.retries.requestArrived(mService->name, now);
    mWork.service = mService->name;
    mWork.promptTokens = mTerms.promptTokens.value_or(0);
    mWork.answerTokens = mTerms.answerTokens;
    if (mService->engine) {
        mWork.engineMemory = mService->engine->memoryTokens;
        mWork.engineBatch = mService->engine->batch;
        mWork.adapterSlots = mService->engine->adapterSlots;
        mWork.model = mTerms.model;
        mWork.adapter = mTerms.adapter;
        mWork.parts = mTerms.parts;
        mWork.expectedTokens = mTerms.expectedTokens;
        mWork.targetPause = mRoute->targetPause;
        // The last part belongs to the request alone.
        for (std::size_t index = 0; index + 1 < mWork.parts.size(); ++index)
            mPartChain.emplace_back(mWork.parts[index].id,
                                    index > 0 ? mPartChain.back().digest : 0);
    }
    mPartChain.push_back(quarantine::shared_part::sWholeRequest(
        contentHash(), mPartChain.empty() ? 0 : mPartChain.back().digest));
    return true;
}

/// Hash of what an endpoint is sent, except for what differs between repeats by a caller.
std::uint64_t forwarded_request::contentHash() const
{
    std::uint64_t hash = core::stableHash(mRequest.head.method);
    hash = core::stableHash(mRequest.head.target, hash);
    hash = core::stableHash(mTerms.model, hash);
    hash = core::stableHash(mTerms.adapter, hash);
    for (const auto &part : mTerms.parts)
        hash = core::stableHash(part.id, hash);
    return core::stableHash(mRequest.body, hash);
}

/// Ends the request and returns false if it or a part of its prompt is in quarantine.
bool forwarded_request::admitParts()
{
    using admission = quarantine::part_quarantine::admission;
    // A probe that chooses another endpoint before it was sent remains the probe.
    if (mIsProbe && mSendCount == 0)
        return true;
    const core::time_point now = core::boot_clock::now();
    const admission result = mContext.quarantine.admit(mPartChain, now, mSendCount > 0);
    if (result == admission::allowed)
        return true;
    if (result == admission::probe) {
        mIsProbe = true;
        mContext.quarantine.probeStarted(mPartChain, now);
        core::logEvent(core::log_level::info, "part_probed",
                       {{"request", mTerms.requestId}, {"parts", engines::sharedPartIds(mWork)}});
        return true;
    }
    const bool isWhole = result == admission::request_refused;
    const std::string_view reason = isWhole ? "endpoint after endpoint was lost with this request"
                                            : "a part of the prompt is in quarantine";
    mContext.metrics.count(isWhole ? "quarantined_requests_total{what=\"request\"}"
                                   : "quarantined_requests_total{what=\"part\"}");
    if (mRunState == run_state::not_run)
        refuse(503, reason,
               std::max(cMinHoldAnswer, mContext.quarantine.holdLeft(mPartChain, now)));
    else
        answerUnknown(reason);
    return false;
}

void forwarded_request::partsQuarantined()
{
    const bool isUnanswered = mState == state::waiting || mState == state::awaiting_permit
        || (mState == state::sent && !mFirstByteAt && !mAnswerStarted);
    if (!isUnanswered || mIsProbe
        || mContext.quarantine.admit(mPartChain, core::boot_clock::now())
            == quarantine::part_quarantine::admission::allowed)
        return;
    if (mState == state::sent) {
        if (mUpstream && mUpstream->sent() && mRunState == run_state::not_run)
            mRunState = run_state::unknown;
        if (engines::endpoint *target = currentTarget())
            target->health.abandoned();
    }
    cancelAttempt();
    forgetPermit();
    uncountWaiting();
    if (!admitParts())
        return;
    // The request is to test the part.
    if (mRunState == run_state::not_run)
        chooseAndSend();
    else
        answerUnknown("a part of the prompt is in quarantine");
}

core::duration forwarded_request::timeLeft() const
{
    return mAnswerDeadline - core::boot_clock::now();
}

/// Time that a stopping instance must have left to accept the request. A plain request may take
/// until its deadline.
core::duration forwarded_request::timeNeeded() const
{
    return routing::isStream(mRoute->kind) ? mContext.settings.minStreamTime : timeLeft();
}

void forwarded_request::chooseAndSend()
{
    const core::time_point now = core::boot_clock::now();
    uncountWaiting();
    forgetPermit();
    mState = state::received;
    if (!admitParts())
        return;
    mWork.targetTime = mRoute->targetLatency > core::duration::zero()
        ? std::min<core::duration>(timeLeft(), mRequest.arrived + mRoute->targetLatency - now)
        : timeLeft();
    const auto named = mContext.namedVersions.find(engines::adapterKey(mWork.model, mWork.adapter));
    mWork.version = named == mContext.namedVersions.end() ? 0 : named->second;
    noteRegionsKept();
    const auto choice = engines::chooseEndpoint(mContext.endpoints, mWork, mContext.failureDomain,
                                                mContext.settings.choice, now);
    if (!choice) {
        if (mFailureAnswerStored)
            passFailure();
        else if (mRunState == run_state::not_run)
            refuseUnserved(unservedReason());
        else
            answerUnknown("no other endpoint can serve the request");
        return;
    }
    const bool isWeighed = mContext.overload.isEnabled() && mService->engine && mPriority;
    if (!isWeighed && choice->estimate > timeLeft() && !mAnswerStarted
        && mRunState == run_state::not_run) {
        refuseBusy("the estimated wait is longer than the time left");
        return;
    }
    mChoice = *choice;
    if (isWeighed && !weighOverload(now))
        return;
    const engines::endpoint &target = *mContext.endpoints.find(mChoice.endpoint);
    mEndpointStart = target.entry.startedMs;
    if (mChoice.state == engines::endpoint_choice::readiness::ready) {
        send();
        return;
    }
    mState = state::waiting;
    mWaitingSince = now;
    if (mChoice.state == engines::endpoint_choice::readiness::to_load)
        requestAdapterLoad();
    sendOrAwaitAdapter();
}

void forwarded_request::sendNow()
{
    const core::time_point now = core::boot_clock::now();
    mHeld = mContext.sendsHeld;
    if (mHeld) {
        mState = state::received;
        return;
    }
    engines::endpoint &target = *mContext.endpoints.find(mChoice.endpoint);
    mState = state::sent;
    mSentAt = now;
    ++mSendCount;
    mUsedEndpoints.insert(mChoice.endpoint);
    mHeadReceived = false;
    mAnswerAsksPause = false;
    mBuffersAnswer = false;
    mUpstreamReadPaused = false;
    // Its body is cleared as well.
    mFailureAnswerStored = false;
    mBody.clear();
    mSplitter.clear();
    countLoad();
    for (const std::uint64_t prefix : engines::sharedPrefixes(mWork))
        mContext.endpoints.recentParts().sent(engines::prefixOn(target, prefix), now);
    if (!mWork.adapter.empty())
        mContext.adapterUses.push_back(
            engines::digestOf(mChoice.endpoint, engines::adapterKey(mWork.model, mWork.adapter)));
    platform::endpoint_request_terms terms{
        .timeLeft = std::chrono::duration_cast<milliseconds>(
            std::min(mCallerDeadline, mAnswerDeadline + mContext.settings.answerMargin) - now),
        .endpointId = mChoice.endpoint,
        .account = mAccount,
        .urgency = urgency(),
        .lastEventId = mLastEventId};
    http1::request_head head = platform::encodeRequest(mRequest.head, terms);
    const bool hasBody = !mRequest.body.empty() || mRequest.head.method != "GET";
    if (hasBody)
        head.fields.emplace_back("Content-Length", std::to_string(mRequest.body.size()));
    const bool repeatable = routing::mayRepeat(mRoute->kind);
    // A late copy of the answer to an earlier attempt bears the same request id. It can arrive only
    // on the connection of that attempt.
    mUpstream = mSendCount > 1
        ? mContext.pool.open(target.entry.address)
        : mContext.pool.take(target.entry.address,
                             repeatable ? mContext.settings.repeatableIdleLimit
                                        : mContext.settings.onceIdleLimit);
    // An extra answer to an earlier request could arrive on it.
    mOnKeptConnection = mUpstream->used();
    mUpstream->start(head, mRequest.body,
                     {.accepts =
                          [this](const http1::response_head &inHead) {
                              return platform::belongsToRequest(inHead, mTerms.requestId);
                          },
                      .onHead = [this](const http1::response_head &inHead) { headArrived(inHead); },
                      .onBody = [this](std::string_view inData) { return bodyArrived(inData); },
                      .onEnd = [this](const http1::exchange_end &inEnd) { exchangeEnded(inEnd); }},
                     mPermitEnd);
}

/// The endpoint of the current attempt; null if it has restarted since or is gone.
engines::endpoint *forwarded_request::currentTarget()
{
    engines::endpoint *target = mContext.endpoints.find(mChoice.endpoint);
    return target != nullptr && target->entry.startedMs == mEndpointStart ? target : nullptr;
}

void forwarded_request::countLoad()
{
    engines::endpoint &target = *mContext.endpoints.find(mChoice.endpoint);
    target.condition.requestSent(core::boot_clock::now());
    mMemoryTokens = mWork.promptTokens + mWork.answerTokens;
    ++target.own.requests;
    target.own.promptTokens += mWork.promptTokens;
    target.own.memoryTokens += mMemoryTokens;
    if (!mWork.adapter.empty()
        && ++target.ownRunning[engines::adapterKey(mWork.model, mWork.adapter)] == 1)
        sendAdapterRunning(target, true);
    target.health.started();
    mLoadCounted = true;
    mPromptCounted = true;
    countOverload();
}

/// Updates the longest pause between the events of the stream.
void forwarded_request::eventsReceived()
{
    const core::time_point now = core::boot_clock::now();
    if (mFirstByteAt) {
        mLongestPause = std::max(mLongestPause, now - mLastByteAt);
        mIntervals.add(now - mLastByteAt);
    }
    mLastByteAt = now;
    firstEventReceived();
    if (!mPartsProved && now - *mFirstByteAt >= cPartProofTime)
        partsProved();
}

/// Records that the prompt did not crash the endpoint.
void forwarded_request::partsProved()
{
    mPartsProved = true;
    mContext.quarantine.answered(engines::startDigest(mChoice.endpoint, mEndpointStart), mPartChain,
                                 mSentAt, core::boot_clock::now());
}

void forwarded_request::firstEventReceived()
{
    if (!mFirstByteAt) {
        mFirstByteAt = core::boot_clock::now();
        compareEstimate();
    }
    uncountOverload(true);
    if (!mPromptCounted)
        return;
    mPromptCounted = false;
    if (engines::endpoint *target = currentTarget())
        target->own.promptTokens -= mWork.promptTokens;
}

/// Compares the time to the first event with its estimate, if nothing but the engine was waited
/// for.
void forwarded_request::compareEstimate()
{
    if (!mService->engine || mSendCount != 1
        || mChoice.state != engines::endpoint_choice::readiness::ready)
        return;
    const core::duration seen = *mFirstByteAt - mSentAt;
    mContext.endpoints.correctionFor(mService->name).observe(mChoice.prefillEstimate, seen);
    const double ratio = std::chrono::duration<double>(seen)
        / std::chrono::duration<double>(std::max(mChoice.estimate, cMinEstimate));
    for (const auto &[bound, label] : cEstimateRatios) {
        if (ratio <= bound)
            mContext.metrics.count("first_event_estimate_ratio_bucket{le=\"" + std::string(label)
                                   + "\"}");
    }
    mContext.metrics.count("first_event_estimate_ratio_count");
}

void forwarded_request::uncountLoad()
{
    uncountOverload(false);
    if (!mLoadCounted)
        return;
    mLoadCounted = false;
    engines::endpoint *target = currentTarget();
    // The counters were reset if the endpoint has restarted since.
    if (target == nullptr)
        return;
    --target->own.requests;
    const auto running = target->ownRunning.find(engines::adapterKey(mWork.model, mWork.adapter));
    if (running != target->ownRunning.end() && --running->second <= 0) {
        target->ownRunning.erase(running);
        sendAdapterRunning(*target, false);
    }
    target->own.memoryTokens -= mMemoryTokens;
    if (mPromptCounted)
        target->own.promptTokens -= mWork.promptTokens;
    mPromptCounted = false;
}

void forwarded_request::exchangeEnded(const http1::exchange_end &inEnd)
{
    using kind = http1::exchange_end::kind;
    if (inEnd.outcome != kind::complete) {
        mUpstream.reset();
        if (inEnd.outcome == kind::not_begun) {
            permitUnused();
            return;
        }
        if (!mHeadReceived)
            mContext.endpoints.expectColdAfterLoss(mChoice.endpoint, mEndpointStart,
                                                   core::boot_clock::now());
        if (inEnd.sent && inEnd.connectionLost)
            endpointLost();
        attemptEnded(inEnd.sent ? attempt_result::broken : attempt_result::not_sent, inEnd.reason);
        return;
    }
    mContext.pool.give(std::move(mUpstream));
    const bool encoded = http1::findField(mHead.fields, "Content-Encoding").has_value();
    const bool endsInsideEvent
        = !mBuffersAnswer && mSplitter.remainder().find_first_not_of("\r\n") != std::string::npos;
    if (mAnswer.notExecuted && mOnKeptConnection && !mAnswer.namesRequest)
        attemptEnded(attempt_result::broken, "the refusal names no request");
    else if (mAnswer.notExecuted)
        attemptEnded(attempt_result::refused, mAnswer.misdirected ? "misdirected" : "shed");
    else if (mAnswerStarted && mBuffersAnswer && mAnswer.status / 100 == 2)
        attemptEnded(attempt_result::broken, "the answer does not continue the stream");
    else if (endsInsideEvent)
        streamEndedInsideEvent();
    else if (mAnswer.status / 100 == 2 && mAnswer.sealed && !encoded)
        answerComplete();
    else if (mAnswer.status / 100 == 2 || !mAnswer.sealed)
        attemptEnded(attempt_result::broken, "the answer is not the endpoint's");
    else if (mAnswer.status >= 500)
        attemptEnded(attempt_result::failure_answered, "the endpoint failed");
    else
        passFailure();
}

/// Records that the endpoint may have crashed and that this request may be the cause.
void forwarded_request::endpointLost()
{
    const core::time_point now = core::boot_clock::now();
    if (mPartsProved || (mFirstByteAt && mSendCount == 1 && now - *mFirstByteAt >= cPartProofTime))
        mContext.quarantine.partsAnswered(mPartChain, now);
    else
        mContext.quarantine.endpointLost(engines::startDigest(mChoice.endpoint, mEndpointStart),
                                         mPartChain, now);
}

void forwarded_request::streamEndedInsideEvent()
{
    endpointLost();
    attemptEnded(attempt_result::broken, "the stream ended inside an event");
}

void forwarded_request::attemptEnded(attempt_result inResult, std::string_view inReason)
{
    const core::time_point now = core::boot_clock::now();
    engines::endpoint *target = currentTarget();
    const bool isSameStart = target != nullptr;
    const attempt_facts facts{.result = inResult,
                              .kind = mRoute->kind,
                              .endpointsUsed = static_cast<int>(mUsedEndpoints.size()),
                              .maxEndpoints = mRoute->maxEndpoints,
                              .answerStarted = mAnswerStarted,
                              .stateBefore = mRunState,
                              .timeLeft = timeLeft()};
    mRunState = runStateAfter(facts);
    core::logEvent(core::log_level::info, "attempt_failed",
                   {{"request", mTerms.requestId},
                    {"endpoint", mChoice.endpoint},
                    {"status", mHeadReceived ? mAnswer.status : 0},
                    {"reason", inReason},
                    {"run", toString(mRunState)},
                    {"send", mSendCount},
                    {"parts", engines::sharedPartIds(mWork)},
                    {"ms", inMs(now - mSentAt)}});
    // The reasons are label values, so their texts, also those from http1, must stay as they are.
    mContext.metrics.count("attempts_failed_total{reason=\"" + std::string(inReason) + "\"}");
    mFailureAnswerStored = inResult == attempt_result::failure_answered;
    const bool adapterRefused = inResult == attempt_result::refused && !mWork.adapter.empty();
    if (isSameStart) {
        if (inResult == attempt_result::refused || mAnswerAsksPause)
            target->health.abandoned();
        else
            target->health.failed(now);
        if (inResult == attempt_result::not_sent) {
            mContext.pool.closeIdleTo(target->entry.address);
            target->notBefore = now + cUnreachablePause;
        }
    }
    uncountLoad();
    if (inResult == attempt_result::not_sent) {
        --mSendCount;
        mUsedEndpoints.erase(mChoice.endpoint);
    }
    if (adapterRefused && isSameStart && retryWhenLoaded(inReason))
        return;
    if (mAnswer.misdirected && inResult == attempt_result::refused && isSameStart
        && mWork.adapter.empty())
        target->notBefore = now + cMisdirectedPause;
    mWork.excluded.insert(mChoice.endpoint);
    next_step step = stepAfter(facts);
    if (step == next_step::try_other && inResult != attempt_result::not_sent
        && !mContext.retries.tryRetry(mService->name, now)) {
        attempt_facts last = facts;
        last.endpointsUsed = last.maxEndpoints;
        step = stepAfter(last);
    }
    switch (step) {
    case next_step::try_other:
        chooseAndSend();
        return;
    case next_step::refuse:
        refuseUnserved(inReason);
        return;
    case next_step::pass_failure:
        passFailure();
        return;
    case next_step::answer_unknown:
        answerUnknown(inReason);
        return;
    case next_step::abort:
        break;
    }
    abortAnswer(inReason);
}

void forwarded_request::deadlineExpired()
{
    overloadNotServed();
    if (mAnswerStarted) {
        // Without an outcome a request counts as in flight, which ends the recovery of an endpoint.
        if (engines::endpoint *target = currentTarget(); target != nullptr && mLoadCounted)
            target->health.abandoned();
        endUnfinished("the time of the route is over");
        return;
    }
    if (mState == state::sent) {
        if (engines::endpoint *target = currentTarget())
            target->health.failed(core::boot_clock::now());
        // A slow answer is no sign of a new start, unlike a connection that was not established,
        // unless there was no time for it.
        if (mUpstream && !mUpstream->sent() && core::boot_clock::now() - mSentAt >= cMinConnectWait)
            mContext.endpoints.expectColdAfterLoss(mChoice.endpoint, mEndpointStart,
                                                   core::boot_clock::now());
    }
    endUnfinished("the time is over");
}

void forwarded_request::endForStop()
{
    if (mState == state::sent) {
        if (engines::endpoint *target = currentTarget())
            target->health.abandoned();
    }
    endUnfinished("the instance is stopping");
}

/// Ends the request before its answer is complete and tells the caller whether it may have run.
void forwarded_request::endUnfinished(std::string_view inReason)
{
    if (mState == state::done)
        return;
    if (mAnswerStarted) {
        abortAnswer(inReason);
        return;
    }
    if (mState == state::sent) {
        const bool sent = mUpstream && mUpstream->sent();
        cancelAttempt();
        if (sent && mRunState == run_state::not_run)
            mRunState = run_state::unknown;
    }
    if (mRunState == run_state::not_run)
        refuseBusy(inReason);
    else
        answerUnknown(inReason);
}

void forwarded_request::cancelAttempt()
{
    // The endpoint cancels its work when the connection is closed.
    mUpstream.reset();
    uncountLoad();
}

void forwarded_request::callerLeft()
{
    if (mState == state::done)
        return;
    engines::endpoint *target = currentTarget();
    if (mLoadCounted && target != nullptr)
        target->health.abandoned();
    const bool sent = mUpstream && mUpstream->sent();
    cancelAttempt();
    if (sent && mRunState == run_state::not_run)
        mRunState = run_state::unknown;
    mState = state::done;
    finish(0, "caller_left", "the caller closed the connection");
}

} // namespace corneltally::forwarding
