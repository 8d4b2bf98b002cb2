#include "corneltally/forwarding/forward_run.h"

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
#include <charconv>
#include <utility>

namespace corneltally::forwarding {

namespace {

using milliseconds = std::chrono::milliseconds;

/// Loads that one request may ask for before it is refused.
constexpr int cMaxLoadsAsked = 2;
/// Time for which nothing is sent to an address at which another endpoint answered; the entry of
/// the endpoint is renewed or removed meanwhile.
constexpr core::duration cOtherEndpointPause = std::chrono::seconds(2);
/// Time for which nothing is sent to an endpoint that could not be reached.
constexpr core::duration cUnreachablePause = milliseconds(500);
/// Ranks of requests at an engine.
constexpr int cLastUrgency = 9;
/// An engine may refuse requests for an adapter for this long after its load should have ended.
constexpr core::duration cLoadTolerance = milliseconds(600);

long long inMs(core::duration inDuration)
{
    return std::chrono::duration_cast<milliseconds>(inDuration).count();
}

std::string failureBody(int inStatus, std::string_view inReason, run_statement inStatement)
{
    const std::string_view remedy = inStatus == 401 ? "send a valid key"
        : inStatus == 404                           ? "use the host and path of a route"
        : inStatus == 429 || inStatus == 503        ? "come back after the time that is stated"
                                                    : "find out whether it ran before repeating it";
    std::string body = R"({"error":{"status":)" + std::to_string(inStatus);
    body.append(R"(,"run":")").append(toString(inStatement));
    body.append(R"(","message":")").append(core::jsonEscape(inReason));
    body.append(R"(","remedy":")").append(remedy).append("\"}}\n");
    return body;
}

std::optional<long long> eventNumber(std::string_view inId)
{
    long long number = 0;
    const auto [end, problem] = std::from_chars(inId.data(), inId.data() + inId.size(), number);
    if (problem != std::errc() || end != inId.data() + inId.size())
        return std::nullopt;
    return number;
}

} // namespace

forward_run::forward_run(forward_context &ioContext, http1::server_connection &ioCaller,
                         http1::server_request inRequest, std::function<void()> inDone)
    : mContext(ioContext)
    , mCaller(ioCaller)
    , mRequest(std::move(inRequest))
    , mDone(std::move(inDone))
    , mTable(ioContext.table)
    , mDeadline(ioContext.loop, [this] { timeOver(); })
    , mWake(ioContext.loop, [this] { woken(); })
{ }

forward_run::~forward_run()
{
    endWaiting();
    endLoad();
}

void forward_run::start()
{
    mTerms = platform::decodeRequest(mRequest.head);
    if (!mTable) {
        refuse(503, "no configuration is known yet", retryAfter());
        return;
    }
    if (!resolveRoute() || !admit())
        return;
    mDeadline.startOnce(std::max(core::duration::zero(), timeLeft()));
    chooseAndSend();
}

bool forward_run::resolveRoute()
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
    mService = mTable->chooseService(*mRoute, mTerms.requestId);
    const core::duration callerTime = mTerms.timeLeft.value_or(mRoute->timeout);
    mCallerUntil = mRequest.arrived + callerTime;
    mAnswerBy = mRequest.arrived + std::min<core::duration>(callerTime, mRoute->timeout)
        - mContext.settings.answerMargin;
    return true;
}

bool forward_run::admit()
{
    const core::time_point now = core::boot_clock::now();
    if (mService == nullptr) {
        refuseBusy("the route has no service");
        return false;
    }
    const core::duration needed = routing::isStream(mRoute->kind) ? mContext.settings.streamTime
                                                                  : mContext.settings.plainTime;
    if (mContext.stopAt && *mContext.stopAt - now < needed) {
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
                   std::max<core::duration>(wait, mContext.settings.retryAfterLeast));
            return false;
        }
        mCharged = amount;
    }
    mContext.retries.arrived(mService->name, now);
    mWork.service = mService->name;
    mWork.promptTokens = mTerms.promptTokens.value_or(0);
    mWork.answerTokens = mTerms.answerTokens;
    if (mService->engine) {
        mWork.engineMemory = mService->engine->memoryTokens;
        mWork.engineBatch = mService->engine->batch;
        mWork.adapterPlaces = mService->engine->adapterSlots;
        mWork.model = mTerms.model;
        mWork.adapter = mTerms.adapter;
        mWork.parts = mTerms.parts;
    }
    return true;
}

core::duration forward_run::timeLeft() const
{
    return mAnswerBy - core::boot_clock::now();
}

core::duration forward_run::retryAfter() const
{
    constexpr std::uint64_t cSteps = 1000;
    const auto step = static_cast<long long>(core::stableHash(mTerms.requestId) % cSteps);
    return mContext.settings.retryAfterLeast
        + mContext.settings.retryAfterSpread * step / static_cast<long long>(cSteps);
}

void forward_run::chooseAndSend()
{
    const core::time_point now = core::boot_clock::now();
    endWaiting();
    mState = state::received;
    const auto named = mContext.namedVersions.find(engines::adapterKey(mWork.model, mWork.adapter));
    mWork.version = named == mContext.namedVersions.end() ? 0 : named->second;
    const auto choice = engines::chooseEndpoint(mContext.book, mWork, mContext.failureDomain,
                                                mContext.settings.choice, now);
    if (!choice) {
        if (mFailureKept)
            passFailure();
        else if (mStatement == run_statement::not_run)
            refuseBusy("no endpoint can serve the request");
        else
            answerUnknown("no other endpoint can serve the request");
        return;
    }
    if (choice->estimate > timeLeft() && !mAnswerBegun && mStatement == run_statement::not_run) {
        refuseBusy("the estimated wait is longer than the time left");
        return;
    }
    mChoice = *choice;
    const engines::endpoint &target = *mContext.book.find(mChoice.endpoint);
    mEndpointStart = target.entry.startedMs;
    if (mChoice.state == engines::endpoint_choice::readiness::ready) {
        send();
        return;
    }
    mState = state::waiting;
    mWaitingSince = now;
    if (mChoice.state == engines::endpoint_choice::readiness::to_load)
        orderAdapter();
    checkAdapter();
}

/// Asks the holder of the engine for the adapter.
void forward_run::orderAdapter()
{
    ++mLoadsAsked;
    engines::endpoint &target = *mContext.book.find(mChoice.endpoint);
    noteWaiting(target);
    fleet::load_wanted wanted{.endpoint = mChoice.endpoint,
                              .startedMs = mEndpointStart,
                              .model = mWork.model,
                              .adapter = mWork.adapter,
                              .version = mWork.version,
                              .tokens = mWork.promptTokens};
    if (target.holder == mContext.instance)
        mContext.registry.post("orders", orders::local_load_wanted{std::move(wanted)});
    else
        mContext.registry.post("mesh", fleet::mesh_send{target.holder, std::move(wanted)});
}

/// Counts the request among those that wait for a load at the endpoint.
void forward_run::noteWaiting(engines::endpoint &ioTarget)
{
    if (mWaitingCounted)
        return;
    mWaitingCounted = true;
    ++ioTarget.ownWaiting[engines::adapterKey(mWork.model, mWork.adapter)];
}

void forward_run::endWaiting()
{
    if (!mWaitingCounted)
        return;
    mWaitingCounted = false;
    engines::endpoint *target = mContext.book.find(mChoice.endpoint);
    if (target == nullptr || target->entry.startedMs != mEndpointStart)
        return;
    const auto found = target->ownWaiting.find(engines::adapterKey(mWork.model, mWork.adapter));
    if (found != target->ownWaiting.end() && --found->second <= 0)
        target->ownWaiting.erase(found);
}

bool forward_run::adapterThere() const
{
    const engines::endpoint *target = mContext.book.find(mChoice.endpoint);
    const auto found
        = target->adapters.resident.find(engines::adapterKey(mWork.model, mWork.adapter));
    return found != target->adapters.resident.end() && found->second >= mWork.version;
}

/// Sends a waiting request if its adapter is there, or sets the time at which it should be.
void forward_run::checkAdapter()
{
    const core::time_point now = core::boot_clock::now();
    const engines::endpoint *target = mContext.book.find(mChoice.endpoint);
    if (target == nullptr || target->entry.startedMs != mEndpointStart
        || !mContext.book.usable(*target, now)) {
        chooseAndSend();
        return;
    }
    if (adapterThere()) {
        send();
        return;
    }
    const auto arriving
        = target->adapters.arriving.find(engines::adapterKey(mWork.model, mWork.adapter));
    mWake.cancel();
    if (arriving != target->adapters.arriving.end())
        endWaiting();
    if (arriving == target->adapters.arriving.end() || arriving->second.version < mWork.version) {
        mWake.startOnce(
            std::max(core::duration::zero(), mWaitingSince + mContext.settings.loadPatience - now));
    } else if (arriving->second.readyAt <= now) {
        send();
    } else {
        mWake.startOnce(arriving->second.readyAt - now);
    }
}

void forward_run::endpointChanged(std::string_view inEndpoint)
{
    if (waitsFor(inEndpoint))
        checkAdapter();
}

void forward_run::woken()
{
    if (mState != state::waiting)
        return;
    const core::time_point now = core::boot_clock::now();
    const engines::endpoint *target = mContext.book.find(mChoice.endpoint);
    const std::string key = engines::adapterKey(mWork.model, mWork.adapter);
    const bool expected = target != nullptr
        && (target->adapters.arriving.contains(key) || adapterThere() || mLoadRetries > 0);
    if (expected) {
        if (mLoadRetries > 0)
            send();
        else
            checkAdapter();
        return;
    }
    if (now - mWaitingSince < mContext.settings.loadPatience) {
        checkAdapter();
        return;
    }
    core::logEvent(core::log_level::info, "load_not_begun",
                   {{"request", mTerms.requestId},
                    {"endpoint", mChoice.endpoint},
                    {"adapter", mWork.adapter},
                    {"waited_ms", inMs(now - mWaitingSince)}});
    if (mLoadsAsked >= cMaxLoadsAsked) {
        refuseBusy("the adapter could not be loaded in time");
        return;
    }
    mWork.excluded.insert(mChoice.endpoint);
    chooseAndSend();
}

void forward_run::send()
{
    const core::time_point now = core::boot_clock::now();
    mWake.cancel();
    endWaiting();
    engines::endpoint &target = *mContext.book.find(mChoice.endpoint);
    mState = state::sent;
    mSentAt = now;
    ++mSends;
    mUsedEndpoints.insert(mChoice.endpoint);
    mHeadSeen = false;
    mWholeAnswer = false;
    mBody.clear();
    mSplitter.clear();
    beginLoad();
    for (const std::string &name : engines::sharedPartNames(mWork))
        target.recentParts[name] = now;
    if (!mWork.adapter.empty())
        mContext.adapterUses.push_back(
            {mChoice.endpoint, engines::adapterKey(mWork.model, mWork.adapter)});
    platform::sending_terms terms{
        .timeLeft = std::chrono::duration_cast<milliseconds>(
            std::min(mCallerUntil, mAnswerBy + mContext.settings.answerMargin) - now),
        .endpointId = mChoice.endpoint,
        .account = mAccount,
        .urgency = mService->engine && mPriority
            ? std::optional(std::clamp(*mPriority, 0, cLastUrgency))
            : std::nullopt,
        .lastEventId = mLastEventId};
    http1::request_head head = platform::encodeRequest(mRequest.head, terms);
    const bool hasBody = !mRequest.body.empty() || mRequest.head.method != "GET";
    if (hasBody)
        head.fields.emplace_back("Content-Length", std::to_string(mRequest.body.size()));
    const bool repeatable = routing::mayRepeat(mRoute->kind);
    mUpstream = mContext.pool.take(target.entry.address,
                                   repeatable ? mContext.settings.idleConnection
                                              : mContext.settings.freshConnection);
    mUpstream->start(head, mRequest.body,
                     {.accepts =
                          [this](const http1::response_head &inHead) {
                              return platform::answersRequest(inHead, mTerms.requestId);
                          },
                      .onHead = [this](const http1::response_head &inHead) { headArrived(inHead); },
                      .onBody = [this](std::string_view inData) { bodyArrived(inData); },
                      .onEnd = [this](const http1::exchange_end &inEnd) { exchangeEnded(inEnd); }});
}

void forward_run::beginLoad()
{
    engines::endpoint &target = *mContext.book.find(mChoice.endpoint);
    mMemoryTokens = mWork.promptTokens + mWork.answerTokens;
    ++target.own.requests;
    target.own.promptTokens += mWork.promptTokens;
    target.own.memoryTokens += mMemoryTokens;
    if (!mWork.adapter.empty()
        && ++target.ownRunning[engines::adapterKey(mWork.model, mWork.adapter)] == 1)
        tellRunning(target, true);
    target.health.started();
    mLoadCounted = true;
    mPromptCounted = true;
}

/// Tells the holder of an engine whether requests of this instance run on the adapter.
void forward_run::tellRunning(const engines::endpoint &inTarget, bool inRunning)
{
    fleet::adapter_running change{mChoice.endpoint, mEndpointStart,
                                  engines::adapterKey(mWork.model, mWork.adapter), inRunning};
    if (inTarget.holder == mContext.instance)
        mContext.registry.post("orders", orders::local_adapter_running{std::move(change)});
    else if (!inTarget.holder.empty())
        mContext.registry.post("mesh", fleet::mesh_send{inTarget.holder, std::move(change)});
}

void forward_run::firstEventSeen()
{
    if (!mFirstByteAt)
        mFirstByteAt = core::boot_clock::now();
    if (!mPromptCounted)
        return;
    mPromptCounted = false;
    engines::endpoint *target = mContext.book.find(mChoice.endpoint);
    if (target != nullptr && target->entry.startedMs == mEndpointStart)
        target->own.promptTokens -= mWork.promptTokens;
}

void forward_run::endLoad()
{
    if (!mLoadCounted)
        return;
    mLoadCounted = false;
    engines::endpoint *target = mContext.book.find(mChoice.endpoint);
    // The counts of a former start of the endpoint are gone.
    if (target == nullptr || target->entry.startedMs != mEndpointStart)
        return;
    --target->own.requests;
    const auto running = target->ownRunning.find(engines::adapterKey(mWork.model, mWork.adapter));
    if (running != target->ownRunning.end() && --running->second <= 0) {
        target->ownRunning.erase(running);
        tellRunning(*target, false);
    }
    target->own.memoryTokens -= mMemoryTokens;
    if (mPromptCounted)
        target->own.promptTokens -= mWork.promptTokens;
    mPromptCounted = false;
}

void forward_run::headArrived(const http1::response_head &inHead)
{
    mHeadSeen = true;
    mAnswer = platform::decodeAnswer(inHead);
    const bool isEvents = http1::findField(inHead.fields, "Content-Type")
                              .value_or("")
                              .starts_with("text/event-stream");
    mWholeAnswer
        = !routing::isStream(mRoute->kind) || !isEvents || mAnswer.status != 200 || !mAnswer.sealed;
    // A stream that goes on keeps the head of its first endpoint.
    if (!mAnswerBegun)
        mHead = inHead;
}

void forward_run::bodyArrived(std::string_view inData)
{
    if (mWholeAnswer) {
        if (!mAnswerBegun)
            mBody.append(inData);
        return;
    }
    forwardEvents(inData);
}

void forward_run::beginAnswer(std::optional<std::uint64_t> inLength)
{
    mAnswerBegun = true;
    mState = state::answering;
    http1::response_head head = mHead;
    http1::removeConnectionFields(head.fields);
    mCaller.startResponse(std::move(head), inLength);
}

void forward_run::forwardEvents(std::string_view inData)
{
    std::string bytes;
    for (event_splitter::event &event : mSplitter.feed(inData)) {
        const auto last = eventNumber(mLastEventId);
        const auto number = eventNumber(event.id);
        // A stream that goes on must not repeat what the caller has.
        if (mSends > 1 && last && number && *number <= *last)
            continue;
        if (!event.id.empty())
            mLastEventId = event.id;
        bytes.append(event.bytes);
    }
    if (bytes.empty())
        return;
    firstEventSeen();
    if (!mAnswerBegun)
        beginAnswer(std::nullopt);
    mCaller.sendBody(bytes);
    if (!mUpstreamPaused && mCaller.unsentBytes() > mContext.settings.backlogBytes) {
        mUpstreamPaused = true;
        mUpstream->setReading(false);
    }
}

void forward_run::callerDrained()
{
    if (!mUpstreamPaused || !mUpstream)
        return;
    mUpstreamPaused = false;
    mUpstream->setReading(true);
}

void forward_run::exchangeEnded(const http1::exchange_end &inEnd)
{
    using kind = http1::exchange_end::kind;
    if (inEnd.outcome != kind::complete) {
        mUpstream.reset();
        attemptEnded(inEnd.sent ? attempt_end::broken : attempt_end::not_sent, inEnd.reason);
        return;
    }
    mContext.pool.give(std::move(mUpstream));
    const bool encoded = http1::findField(mHead.fields, "Content-Encoding").has_value();
    if (mAnswer.notExecuted)
        attemptEnded(attempt_end::refused, mAnswer.otherEndpoint ? "misdirected" : "shed");
    else if (mAnswer.status / 100 == 2 && mAnswer.sealed && !encoded)
        answerComplete();
    else if (mAnswer.status / 100 == 2 || !mAnswer.sealed)
        attemptEnded(attempt_end::broken, "the answer is not the endpoint's");
    else if (mAnswer.status >= 500)
        attemptEnded(attempt_end::failure_answered, "the endpoint failed");
    else
        passFailure();
}

void forward_run::answerComplete()
{
    const core::time_point now = core::boot_clock::now();
    firstEventSeen();
    engines::endpoint *target = mContext.book.find(mChoice.endpoint);
    if (target != nullptr && target->entry.startedMs == mEndpointStart)
        target->health.succeeded(*mFirstByteAt - mSentAt, now);
    endLoad();
    mStatement = run_statement::ran;
    if (mWholeAnswer) {
        beginAnswer(mBody.size());
        mCaller.sendBody(mBody);
    } else {
        if (!mAnswerBegun)
            beginAnswer(std::nullopt);
        mCaller.sendBody(mSplitter.rest());
    }
    mState = state::done;
    finish(mHead.status, "served", "complete");
    mCaller.endResponse();
}

/// Passes the answer of an endpoint on that has failed.
void forward_run::passFailure()
{
    if (mAnswerBegun) {
        breakOff("the endpoint failed");
        return;
    }
    endLoad();
    mStatement = run_statement::ran;
    const int status = mAnswer.status;
    // These statuses promise that the request has not run, which the endpoint did not state.
    if (status == 408 || status == 429 || status == 503) {
        answerUnknown("the endpoint gave no clear answer");
        return;
    }
    beginAnswer(mBody.size());
    mCaller.sendBody(mBody);
    mState = state::done;
    finish(status, "failure_passed", "the endpoint failed");
    mCaller.endResponse();
}

void forward_run::attemptEnded(attempt_end inEnd, std::string_view inReason)
{
    const core::time_point now = core::boot_clock::now();
    engines::endpoint *target = mContext.book.find(mChoice.endpoint);
    const bool sameStart = target != nullptr && target->entry.startedMs == mEndpointStart;
    const attempt_facts facts{.end = inEnd,
                              .kind = mRoute->kind,
                              .endpointsUsed = static_cast<int>(mUsedEndpoints.size()),
                              .maxEndpoints = mRoute->maxEndpoints,
                              .answerBegun = mAnswerBegun,
                              .before = mStatement,
                              .timeLeft = timeLeft()};
    mStatement = statementAfter(facts);
    core::logEvent(core::log_level::info, "attempt_failed",
                   {{"request", mTerms.requestId},
                    {"endpoint", mChoice.endpoint},
                    {"status", mHeadSeen ? mAnswer.status : 0},
                    {"reason", inReason},
                    {"run", toString(mStatement)},
                    {"ms", inMs(now - mSentAt)}});
    mContext.metrics.count("attempts_failed_total{reason=\"" + std::string(inReason) + "\"}");
    mFailureKept = inEnd == attempt_end::failure_answered;
    const bool loading = inEnd == attempt_end::refused && !mWork.adapter.empty();
    if (sameStart) {
        if (loading || inEnd == attempt_end::refused)
            target->health.abandoned();
        else
            target->health.failed(now);
        if (inEnd == attempt_end::not_sent) {
            mContext.pool.forget(target->entry.address);
            target->notBefore = now + cUnreachablePause;
        }
    }
    endLoad();
    if (inEnd == attempt_end::not_sent) {
        --mSends;
        mUsedEndpoints.erase(mChoice.endpoint);
    }
    if (loading && sameStart && retryAfterLoad(inReason))
        return;
    if (mAnswer.otherEndpoint && inEnd == attempt_end::refused && sameStart
        && mWork.adapter.empty())
        target->notBefore = now + cOtherEndpointPause;
    mWork.excluded.insert(mChoice.endpoint);
    next_step step = stepAfter(facts);
    if (step == next_step::try_other && inEnd != attempt_end::not_sent
        && !mContext.retries.tryRepeat(mService->name, now)) {
        attempt_facts last = facts;
        last.endpointsUsed = last.maxEndpoints;
        step = stepAfter(last);
    }
    switch (step) {
    case next_step::try_other:
        chooseAndSend();
        return;
    case next_step::refuse:
        refuseBusy(inReason);
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
    breakOff(inReason);
}

/// Ends an answer that was begun and can't be completed, so that the caller sees that it is cut.
void forward_run::breakOff(std::string_view inReason)
{
    dropAttempt();
    finish(mHead.status, "broken_off", inReason);
    mCaller.abort();
}

/// An engine that refuses for an adapter that is on its way, or that it lost, gets the request
/// again once the adapter is there.
bool forward_run::retryAfterLoad(std::string_view inReason)
{
    const core::time_point now = core::boot_clock::now();
    engines::endpoint &target = *mContext.book.find(mChoice.endpoint);
    const std::string key = engines::adapterKey(mWork.model, mWork.adapter);
    const bool lost = mAnswer.otherEndpoint;
    const bool young = mChoice.state != engines::endpoint_choice::readiness::ready
        && now - mChoice.readyAt < cLoadTolerance;
    if (!lost && !young && mLoadRetries == 0 && !target.adapters.arriving.contains(key))
        return false;
    if (mLoadRetries >= mContext.settings.maxLoadRetries || timeLeft() < cLeastAttemptTime
        || !mContext.retries.tryRepeat(mService->name, now))
        return false;
    ++mLoadRetries;
    mState = state::waiting;
    mWaitingSince = now;
    if (lost && !target.adapters.arriving.contains(key)) {
        target.adapters.resident.erase(key);
        const fleet::adapter_missing missing{mChoice.endpoint, mEndpointStart, key};
        if (target.holder == mContext.instance)
            mContext.registry.post("orders", orders::local_adapter_missing{missing});
        else
            mContext.registry.post("mesh", fleet::mesh_send{target.holder, missing});
        if (!target.holderReady)
            return false;
        orderAdapter();
        mWake.startOnce(mContext.settings.loadPatience);
        return true;
    }
    core::logEvent(core::log_level::info, "attempt_deferred",
                   {{"request", mTerms.requestId},
                    {"endpoint", mChoice.endpoint},
                    {"reason", inReason},
                    {"retry", mLoadRetries}});
    mWake.cancel();
    mWake.startOnce(mContext.settings.loadRetryPause);
    return true;
}

void forward_run::timeOver()
{
    if (mState == state::done)
        return;
    if (mAnswerBegun) {
        breakOff("the time of the route is over");
        return;
    }
    if (mState == state::sent) {
        const bool sent = mUpstream && mUpstream->sent();
        engines::endpoint *target = mContext.book.find(mChoice.endpoint);
        if (target != nullptr && target->entry.startedMs == mEndpointStart)
            target->health.failed(core::boot_clock::now());
        dropAttempt();
        if (sent && mStatement == run_statement::not_run)
            mStatement = run_statement::unknown;
    }
    if (mStatement == run_statement::not_run)
        refuseBusy("the time is over");
    else
        answerUnknown("the time is over");
}

void forward_run::dropAttempt()
{
    // Closing the connection makes the endpoint stop its work.
    mUpstream.reset();
    endLoad();
}

void forward_run::callerLeft()
{
    if (mState == state::done)
        return;
    engines::endpoint *target = mContext.book.find(mChoice.endpoint);
    if (mLoadCounted && target != nullptr && target->entry.startedMs == mEndpointStart)
        target->health.abandoned();
    const bool sent = mUpstream && mUpstream->sent();
    dropAttempt();
    if (sent && mStatement == run_statement::not_run)
        mStatement = run_statement::unknown;
    mState = state::done;
    finish(0, "caller_left", "the caller closed the connection");
}

void forward_run::refuse(int inStatus, std::string_view inReason,
                         std::optional<core::duration> inRetryAfter)
{
    if (mAnswerBegun) {
        breakOff(inReason);
        return;
    }
    if (mCharged > 0 && mStatement == run_statement::not_run)
        mContext.allowance.giveBack(mAccount, mCharged);
    mState = state::done;
    std::optional<milliseconds> wait;
    if (inRetryAfter)
        wait = std::chrono::duration_cast<milliseconds>(*inRetryAfter);
    finish(inStatus, "refused", inReason);
    mCaller.respond(platform::encodeOwnAnswer(inStatus, mTerms.requestId, wait),
                    failureBody(inStatus, inReason, mStatement));
}

void forward_run::refuseBusy(std::string_view inReason)
{
    refuse(503, inReason, retryAfter());
}

void forward_run::answerUnknown(std::string_view inReason)
{
    if (mAnswerBegun) {
        breakOff(inReason);
        return;
    }
    const int status = timeLeft() <= core::duration::zero() ? 504 : 502;
    mState = state::done;
    finish(status, "unknown", inReason);
    mCaller.respond(platform::encodeOwnAnswer(status, mTerms.requestId, std::nullopt),
                    failureBody(status, inReason, mStatement));
}

void forward_run::finish(int inStatus, std::string_view inOutcome, std::string_view inReason)
{
    const core::time_point now = core::boot_clock::now();
    mState = state::done;
    endWaiting();
    mDeadline.cancel();
    mWake.cancel();
    mContext.metrics.count("requests_total{outcome=\"" + std::string(inOutcome) + "\"}");
    mContext.metrics.observe("request_seconds", now - mRequest.arrived);
    if (mFirstByteAt)
        mContext.metrics.observe("first_byte_seconds", *mFirstByteAt - mRequest.arrived);
    const engines::endpoint *target = mContext.book.find(mChoice.endpoint);
    core::logEvent(core::log_level::info, "request",
                   {{"request", mTerms.requestId},
                    {"route", mRoute != nullptr ? mRoute->name : std::string()},
                    {"account", mAccount},
                    {"configuration", mTable ? mTable->version() : 0},
                    {"endpoint", mChoice.endpoint},
                    {"adapter", mWork.adapter},
                    {"sends", mSends},
                    {"loads", mLoadsAsked},
                    {"status", inStatus},
                    {"outcome", inOutcome},
                    {"reason", inReason},
                    {"run", toString(mStatement)},
                    {"estimate_ms", inMs(mChoice.estimate)},
                    {"report_age_ms",
                     target != nullptr && target->holderReportAt != core::time_point()
                         ? inMs(now - target->holderReportAt)
                         : -1},
                    {"sent_ms", mSends > 0 ? inMs(mSentAt - mRequest.arrived) : -1},
                    {"first_ms", mFirstByteAt ? inMs(*mFirstByteAt - mRequest.arrived) : -1},
                    {"ms", inMs(now - mRequest.arrived)}});
    const auto done = mDone;
    done();
}

} // namespace corneltally::forwarding
