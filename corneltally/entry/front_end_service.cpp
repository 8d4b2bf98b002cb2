#include "corneltally/entry/front_end_service.h"

#include "corneltally/core/digest.h"
#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/entry/caller_request.h"
#include "corneltally/entry/dispatch_messages.h"
#include "corneltally/entry/drain_messages.h"
#include "corneltally/entry/peers_messages.h"
#include "corneltally/http/exchange.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/settings/settings_index.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <utility>

namespace corneltally::entry {

namespace {

using namespace std::chrono_literals;

constexpr core::duration cSweepPeriod = 100ms;
/// Longest time that the sending of an answer may make no progress.
constexpr core::duration cWriteTimeout = 10s;
/// Longest time that requests wait after a pause for confirmation that the settings, and with them
/// the keys, are current. An isolated instance serves after that, as it would without the pause.
constexpr core::duration cMaxPauseHold = 1s;
/// Margin for the messages of other services, which answer by the deadline of a request.
constexpr core::duration cAnswerMargin = 2s;
/// Longest wait for the answer to a cancelled admission or idempotency claim.
constexpr core::duration cCancelMargin = 1s;
/// Load balancers notice with a delay that an instance drains; it accepts connections until then.
constexpr core::duration cDrainNoticeDelay = 1s;
constexpr core::duration cDrainQuietPeriod = 300ms;
/// Tokens that an engine may generate before a cancellation reaches it.
constexpr double cCancelOverrunTokens = 16;
/// The server closes connections without an error body when a request body exceeds its limit. Its
/// limit is therefore a multiple of the one that is answered with an error.
constexpr std::uint64_t cServerBodyFactor = 4;

http::server_limits serverLimits(http::server_limits inLimits)
{
    inLimits.maxBodyBytes *= cServerBodyFactor;
    return inLimits;
}

caller_error notRun(core::error_kind inKind, std::string inMessage, std::string inRemedy,
                    int inRetryAfter = 0)
{
    return {.error = {inKind, std::move(inMessage), std::move(inRemedy)},
            .retryAfterSeconds = inRetryAfter};
}

bool mayBeAbandoned(const caller_run &inRun)
{
    return inRun.claimKey.empty()
        && (inRun.request().kind == settings::endpoint_kind::model || inRun.request().repeatable);
}

} // namespace

front_end_service::front_end_service(kernel::service_registry &inRegistry, core::metrics &inMetrics,
                                     front_end_options inOptions)
    : mRegistry(inRegistry)
    , mMetrics(inMetrics)
    , mOptions(std::move(inOptions))
    , mServer(
          inRegistry.loop(), [this](const exchange_pointer &inCaller) { handleRequest(inCaller); },
          serverLimits(mOptions.limits))
    , mSweep(inRegistry.loop(), [this] { sweep(); })
{
    mRegistry.handle<settings_changed>(
        name(), [this](const settings_changed &inChange) { applySettings(inChange); });
    mRegistry.handle<settings_confirmed>(name(), [this](const settings_confirmed &inConfirmed) {
        mSettingsConfirmedAt
            = std::max(inConfirmed.at, mSettingsConfirmedAt.value_or(inConfirmed.at));
        if (mHoldUntil && *mSettingsConfirmedAt >= *mHoldUntil - cMaxPauseHold)
            serveHeldRequests();
    });
    mRegistry.handle<process_paused>(name(), [this](const process_paused &) {
        mHoldUntil = core::boot_clock::now() + cMaxPauseHold;
    });
    mRegistry.handle<admission_result>(
        name(), [this](const admission_result &inResult) { handleAdmissionResult(inResult); });
    mRegistry.handle<claim_result>(
        name(), [this](const claim_result &inResult) { handleClaimResult(inResult); });
    mRegistry.handle<run_event>(name(), [this](const run_event &inEvent) { handleEvent(inEvent); });
    mRegistry.handle<drain_started>(
        name(), [this](const drain_started &) { mDrainingSince = core::boot_clock::now(); });
}

front_end_service::~front_end_service()
{
    // The server is destroyed after the runs and closes its connections then; their handlers must
    // not look up runs any more.
    for (const auto &[id, running] : mRuns)
        running->caller()->onClosed(nullptr);
}

bool front_end_service::listen()
{
    return mServer.listen(mOptions.listen);
}

void front_end_service::start()
{
    mSweep.startRepeating(cSweepPeriod);
}

std::string front_end_service::nextRequestId()
{
    return mOptions.instance + "-" + std::to_string(mOptions.incarnation) + "-"
        + std::to_string(++mRequestCount);
}

void front_end_service::handleRequest(const exchange_pointer &inCaller)
{
    mLastRequest = core::boot_clock::now();
    if (mHoldUntil)
        mHeldRequests.push_back(inCaller);
    else
        serve(inCaller);
}

void front_end_service::serve(const exchange_pointer &inCaller)
{
    if (inCaller->isClosed())
        return;
    if (!mSettingsIndex || mDrainReported) {
        refuse(inCaller,
               notRun(core::error_kind::unavailable,
                      mSettingsIndex ? "the instance is shutting down"
                                     : "the settings are not loaded yet",
                      "send the request to another instance"),
               {});
        return;
    }
    if (inCaller->path() == "/v1/models") {
        listModels(inCaller);
        return;
    }
    const settings::route_view *route = mSettingsIndex->findRoute(inCaller->path());
    if (route == nullptr) {
        refuse(inCaller,
               notRun(core::error_kind::not_found, "there is no route with this path",
                      "check the path of the request"),
               {});
        return;
    }
    const core::result<caller_identity> identity
        = identifyCaller(*mSettingsIndex, *route, inCaller->headers());
    if (!identity) {
        refuse(inCaller, {.error = identity.reason()}, {});
        return;
    }
    if (const std::optional<caller_error> outdated = checkSettingsAge(identity->account)) {
        refuse(inCaller, *outdated, identity->account);
        return;
    }
    core::result<run> request
        = buildRun(*mSettingsIndex, *route,
                   {inCaller->method(), inCaller->path(), inCaller->body(), inCaller->headers()},
                   mOptions.limits.maxBodyBytes);
    if (!request) {
        refuse(inCaller, {.error = request.reason()}, identity->account);
        return;
    }
    run accepted = std::move(request).value();
    accepted.account = identity->account;
    beginRequest(inCaller, *route, std::move(accepted), identity->keyDigest);
}

std::optional<caller_error> front_end_service::checkSettingsAge(std::string_view inAccount) const
{
    const settings::account_view *account = mSettingsIndex->findAccount(inAccount);
    if (account == nullptr || account->maxSettingsAgeSeconds <= 0)
        return std::nullopt;
    const auto limit = std::chrono::seconds(account->maxSettingsAgeSeconds);
    if (mSettingsConfirmedAt && core::boot_clock::now() - *mSettingsConfirmedAt <= limit)
        return std::nullopt;
    return notRun(core::error_kind::unavailable,
                  "the instance cannot confirm that its settings are current",
                  "send the request to another instance");
}

void front_end_service::listModels(const exchange_pointer &inCaller)
{
    static const settings::route_view sRoute{.name = "models", .path = "/v1/models"};
    const core::result<caller_identity> identity
        = identifyCaller(*mSettingsIndex, sRoute, inCaller->headers());
    if (!identity) {
        refuse(inCaller, {.error = identity.reason()}, {});
        return;
    }
    inCaller->replyJson(200, modelListBody(*mSettingsIndex), {{"X-Request-Id", nextRequestId()}});
    trackUnsentAnswer(inCaller);
}

void front_end_service::refuse(const exchange_pointer &inCaller, const caller_error &inError,
                               std::string_view inAccount)
{
    run request{.requestId = nextRequestId(), .account = std::string(inAccount)};
    caller_run refused(inCaller, std::move(request), core::boot_clock::now());
    refused.closeAfterAnswer = mDrainingSince.has_value();
    refused.fail(inError);
    core::logEvent(core::log_level::info, "request",
                   {{"request_id", refused.request().requestId},
                    {"account", inAccount},
                    {"path",
                     mSettingsIndex && mSettingsIndex->findRoute(inCaller->path()) != nullptr
                         ? std::string_view(inCaller->path())
                         : std::string_view()},
                    {"outcome", "refused"},
                    {"reason", core::toString(inError.error.kind)},
                    {"status", refused.status()}});
    mMetrics.count(std::string("requests_total{outcome=\"refused\",reason=\"")
                       .append(core::toString(inError.error.kind))
                       .append("\"}"));
}

void front_end_service::beginRequest(const exchange_pointer &inCaller,
                                     const settings::route_view &inRoute, run inRun,
                                     std::string inKeyDigest)
{
    const core::time_point now = core::boot_clock::now();
    inRun.requestId = nextRequestId();
    inRun.deadline = now + inRoute.timeout;
    auto added = std::make_unique<caller_run>(inCaller, std::move(inRun), now);
    added->keyDigest = std::move(inKeyDigest);
    added->closeAfterAnswer = mDrainingSince.has_value();
    if (const std::optional<core::error> unusable = readIdempotencyHeaders(*added, inRoute)) {
        refuse(inCaller, {.error = *unusable}, added->request().account);
        return;
    }
    caller_run &running = *added;
    const std::string &id = running.request().requestId;
    inCaller->onClosed([this, id] { handleDisconnect(id); });
    mRuns.emplace(id, std::move(added));
    if (running.request().account.empty()) {
        claimOrStart(running);
        return;
    }
    running.chargedTokens = running.request().promptTokens + running.request().maxTokens;
    mRegistry.post("admission",
                   admission_request{id, running.request().account, running.chargedTokens,
                                     running.request().deadline});
}

/// Reads the idempotency headers. Repeatable routes need no idempotency claim unless they require a
/// key.
std::optional<core::error>
front_end_service::readIdempotencyHeaders(caller_run &ioRun, const settings::route_view &inRoute)
{
    const http::exchange &caller = *ioRun.caller();
    const std::string_view key = caller.header("Idempotency-Key");
    if (key.empty()) {
        if (!inRoute.requireIdempotencyKey)
            return std::nullopt;
        return core::error{core::error_kind::invalid_request,
                           "the route requires an idempotency key",
                           "send the header Idempotency-Key with a unique value for each order"};
    }
    if (inRoute.repeatable && !inRoute.requireIdempotencyKey)
        return std::nullopt;
    if (const std::string_view first = caller.header("Idempotency-Time"); !first.empty()) {
        long long seconds = 0;
        const auto [end, code]
            = std::from_chars(first.data(), first.data() + first.size(), seconds);
        if (code != std::errc() || end != first.data() + first.size())
            return core::error{core::error_kind::invalid_request,
                               "Idempotency-Time is not a number of seconds",
                               "send the Unix time of the first attempt"};
        if (std::time(nullptr) - seconds > mSettingsIndex->claimWindow().count())
            return core::error{core::error_kind::conflict,
                               "the idempotency key is older than the claim window",
                               "find out whether the order ran before using a new key"};
    }
    ioRun.claimKey = claimKeyOf(ioRun.request().account, inRoute.name, key);
    return std::nullopt;
}

void front_end_service::handleAdmissionResult(const admission_result &inResult)
{
    const auto found = mRuns.find(inResult.requestId);
    if (found == mRuns.end() || found->second->currentPhase != caller_run::phase::admitting)
        return;
    caller_run &running = *found->second;
    if (inResult.error) {
        running.chargedTokens = 0;
        failRun(running,
                {.error = *inResult.error, .retryAfterSeconds = inResult.retryAfterSeconds});
    } else if (running.disconnectedAt) {
        settleTokens(running, 0);
        complete(running, "caller_left", {});
    } else {
        claimOrStart(running);
    }
}

void front_end_service::claimOrStart(caller_run &ioRun)
{
    if (ioRun.claimKey.empty()) {
        startRun(ioRun);
        return;
    }
    ioRun.currentPhase = caller_run::phase::claiming;
    ioRun.mutableRequest().orderId = core::sha256Hex(ioRun.claimKey);
    const http::exchange &caller = *ioRun.caller();
    mRegistry.post("claims",
                   claim_begin{ioRun.request().requestId, ioRun.claimKey,
                               requestDigestOf({caller.method(), caller.path(), caller.body(),
                                                caller.headers()}),
                               ioRun.request().deadline});
}

void front_end_service::handleClaimResult(const claim_result &inResult)
{
    const auto found = mRuns.find(inResult.requestId);
    if (found == mRuns.end() || found->second->currentPhase != caller_run::phase::claiming) {
        return;
    }
    caller_run &running = *found->second;
    running.claimId = inResult.claimId;
    switch (inResult.outcome) {
    case claim_outcome::granted:
        if (running.disconnectedAt) {
            mRegistry.post("claims", claim_release{running.claimKey, running.claimId});
            settleTokens(running, 0);
            complete(running, "caller_left", {});
        } else {
            startRun(running);
        }
        break;
    case claim_outcome::answered:
        settleTokens(running, 0);
        running.replay(inResult.status, inResult.contentType, inResult.body);
        trackUnsentAnswer(running.caller());
        complete(running, "replayed", {});
        break;
    case claim_outcome::conflict:
    case claim_outcome::unknown:
    case claim_outcome::refused:
        settleTokens(running, 0);
        failRun(running,
                {.error = inResult.error,
                 .mayHaveRun = inResult.outcome == claim_outcome::unknown,
                 .retryAfterSeconds = inResult.retryAfterSeconds});
        break;
    }
}

void front_end_service::startRun(caller_run &ioRun)
{
    ioRun.currentPhase = caller_run::phase::running;
    mRegistry.post("dispatch", run_start{ioRun.request()});
}

void front_end_service::handleEvent(const run_event &inEvent)
{
    const auto found = mRuns.find(inEvent.requestId);
    if (found == mRuns.end())
        return;
    caller_run &running = *found->second;
    if (const auto *head = std::get_if<run_head>(&inEvent.event)) {
        running.setHead(*head);
    } else if (const auto *end = std::get_if<run_end>(&inEvent.event)) {
        handleEnd(running, *end);
    } else {
        const bool first = running.partCount() == 0;
        if (!running.addChunk(std::get<run_chunk>(inEvent.event))) {
            stopRun(running,
                    {.error = {core::error_kind::internal, "the answer is too long",
                               "ask for a shorter answer, or for a stream"},
                     .mayHaveRun = true});
            return;
        }
        if (first) {
            mMetrics.observe("first_part_seconds", core::boot_clock::now() - running.startedAt());
            if (running.request().stream)
                trackUnsentAnswer(running.caller());
        }
        // An aborted exchange does not call its close handler.
        if (running.pendingBytes() > mOptions.maxUnsentBytes) {
            mMetrics.count("callers_closed_total{reason=\"unread\"}");
            running.abortConnection();
            handleDisconnect(inEvent.requestId);
        }
    }
}

void front_end_service::handleEnd(caller_run &ioRun, const run_end &inEnd)
{
    if (inEnd.outcome == run_outcome::completed) {
        settleTokens(ioRun, ioRun.request().promptTokens + inEnd.outputTokens);
        if (!ioRun.claimId.empty()) {
            // Status 0 means that the request completed, but its answer is too long to be kept.
            mRegistry.post("claims",
                           ioRun.isAnswerKept()
                               ? claim_finish{ioRun.claimKey, ioRun.claimId, ioRun.status(),
                                              ioRun.contentType(), ioRun.keptBody()}
                               : claim_finish{ioRun.claimKey, ioRun.claimId, 0, {}, {}});
        }
        ioRun.finish();
        trackUnsentAnswer(ioRun.caller());
        complete(ioRun, "completed", inEnd.endpoint);
        return;
    }
    const bool mayHaveRun = inEnd.outcome == run_outcome::unknown;
    if (!mayHaveRun && !ioRun.claimId.empty())
        mRegistry.post("claims", claim_release{ioRun.claimKey, ioRun.claimId});
    settleTokens(ioRun, mayHaveRun ? ioRun.chargedTokens : 0);
    failRun(ioRun,
            {.error = inEnd.error,
             .mayHaveRun = mayHaveRun,
             .retryAfterSeconds = inEnd.retryAfterSeconds},
            inEnd.endpoint);
}

void front_end_service::handleDisconnect(const std::string &inRequestId)
{
    const auto found = mRuns.find(inRequestId);
    if (found == mRuns.end() || found->second->disconnectedAt)
        return;
    caller_run &running = *found->second;
    running.disconnectedAt = core::boot_clock::now();
    switch (running.currentPhase) {
    case caller_run::phase::admitting:
        mRegistry.post("admission", admission_cancel{inRequestId});
        break;
    case caller_run::phase::claiming:
        mRegistry.post("claims", claim_cancel{inRequestId});
        break;
    case caller_run::phase::running:
        // An order that was sent runs to its end, so that a repeat of it gets the answer.
        if (!mayBeAbandoned(running))
            break;
        mRegistry.post("dispatch", run_abandon{inRequestId});
        settleTokens(running,
                     running.request().stream ? running.request().promptTokens
                             + static_cast<double>(running.partCount()) + cCancelOverrunTokens
                                              : running.chargedTokens);
        complete(running, "caller_left", {});
        break;
    }
}

void front_end_service::failRun(caller_run &ioRun, const caller_error &inError,
                                std::string_view inEndpoint)
{
    ioRun.fail(inError);
    trackUnsentAnswer(ioRun.caller());
    complete(ioRun, inError.mayHaveRun ? "unknown" : "not_run", inEndpoint);
}

/// Ends a request before its run has ended.
void front_end_service::stopRun(caller_run &ioRun, const caller_error &inError)
{
    const std::string &id = ioRun.request().requestId;
    caller_error error = inError;
    switch (ioRun.currentPhase) {
    case caller_run::phase::admitting:
        mRegistry.post("admission", admission_cancel{id});
        ioRun.chargedTokens = 0;
        break;
    case caller_run::phase::claiming:
        mRegistry.post("claims", claim_cancel{id});
        settleTokens(ioRun, 0);
        break;
    case caller_run::phase::running:
        mRegistry.post("dispatch", run_abandon{id});
        settleTokens(ioRun, ioRun.chargedTokens);
        error.mayHaveRun = true;
        break;
    }
    failRun(ioRun, error);
}

void front_end_service::settleTokens(caller_run &ioRun, double inUsed)
{
    if (ioRun.chargedTokens <= 0)
        return;
    mRegistry.post("admission",
                   charge_settle{ioRun.request().account, ioRun.chargedTokens,
                                 std::min(inUsed, ioRun.chargedTokens), ioRun.request().requestId});
    ioRun.chargedTokens = 0;
}

void front_end_service::complete(caller_run &ioRun, std::string_view inOutcome,
                                 std::string_view inEndpoint)
{
    const run &request = ioRun.request();
    const core::duration elapsed = core::boot_clock::now() - ioRun.startedAt();
    core::logEvent(core::log_level::info, "request",
                   {{"request_id", request.requestId},
                    {"account", request.account},
                    {"route", request.route},
                    {"adapter", request.adapter},
                    {"version", request.version},
                    {"endpoint", inEndpoint},
                    {"outcome", inOutcome},
                    {"status", ioRun.status()},
                    {"parts", ioRun.partCount()},
                    {"seconds", std::chrono::duration<double>(elapsed).count()}});
    mMetrics.count(std::string("requests_total{outcome=\"").append(inOutcome).append("\"}"));
    mMetrics.observe("request_seconds", elapsed);
    if (mDrainingSince)
        ++mFinishedInDrain;
    ioRun.caller()->onClosed(nullptr);
    mRuns.erase(mRuns.find(request.requestId));
}

void front_end_service::trackUnsentAnswer(const exchange_pointer &inCaller)
{
    if (inCaller->isClosed() || inCaller->pendingBytes() == 0)
        return;
    if (std::ranges::find(mUnsentAnswers, inCaller, &unsent_answer::caller) != mUnsentAnswers.end())
        return;
    mUnsentAnswers.push_back({inCaller, inCaller->pendingBytes(), core::boot_clock::now()});
}

void front_end_service::applySettings(const settings_changed &inChange)
{
    if (mOptions.keepFirstSettings && mSettingsIndex)
        return;
    mSettingsIndex = inChange.settingsIndex;
    std::vector<std::string> withdrawn;
    for (const auto &[id, running] : mRuns) {
        if (running->keyDigest.empty())
            continue;
        const settings::key_view *key = mSettingsIndex->findKey(running->keyDigest);
        // A call that was sent to an application service may have carried out an order, so that its
        // caller gets the result.
        const bool mayBeStopped = running->currentPhase != caller_run::phase::running
            || running->request().kind == settings::endpoint_kind::model;
        if ((key == nullptr || key->withdrawn) && mayBeStopped)
            withdrawn.push_back(id);
    }
    for (const std::string &id : withdrawn) {
        stopRun(*mRuns.at(id),
                notRun(core::error_kind::unauthorized, "the key was withdrawn", "use a valid key"));
    }
}

void front_end_service::sweep()
{
    const core::time_point now = core::boot_clock::now();
    if (mHoldUntil && now >= *mHoldUntil)
        serveHeldRequests();
    std::vector<std::string> overdue;
    for (const auto &[id, running] : mRuns) {
        const bool cancelled = running->disconnectedAt
            && now - *running->disconnectedAt > cCancelMargin
            && running->currentPhase != caller_run::phase::running;
        if (cancelled || now > running->request().deadline + cAnswerMargin)
            overdue.push_back(id);
    }
    for (const std::string &id : overdue) {
        stopRun(*mRuns.at(id),
                notRun(core::error_kind::timeout, "the request was not answered in time",
                       "repeat the request later"));
    }
    closeStalledCallers(now);
    checkDrained();
}

void front_end_service::closeStalledCallers(core::time_point inNow)
{
    std::vector<exchange_pointer> stalled;
    std::erase_if(mUnsentAnswers, [&](unsent_answer &ioAnswer) {
        const std::size_t pending = ioAnswer.caller->pendingBytes();
        if (pending == 0 && ioAnswer.caller->isAnswered())
            return true;
        if (pending == 0 || pending < ioAnswer.pending)
            ioAnswer.lastProgress = inNow;
        ioAnswer.pending = pending;
        if (inNow - ioAnswer.lastProgress < cWriteTimeout)
            return ioAnswer.caller->isClosed();
        stalled.push_back(ioAnswer.caller);
        return true;
    });
    for (const exchange_pointer &caller : stalled) {
        mMetrics.count("callers_closed_total{reason=\"write_timeout\"}");
        caller->abort();
        const auto running = std::ranges::find_if(
            mRuns, [&](const auto &inEntry) { return inEntry.second->caller() == caller; });
        if (running != mRuns.end())
            handleDisconnect(std::string(running->first));
    }
}

void front_end_service::serveHeldRequests()
{
    mHoldUntil.reset();
    const std::vector<exchange_pointer> held = std::exchange(mHeldRequests, {});
    for (const exchange_pointer &caller : held)
        serve(caller);
}

void front_end_service::checkDrained()
{
    const core::time_point now = core::boot_clock::now();
    if (!mDrainingSince || mDrainReported || now - *mDrainingSince < cDrainNoticeDelay)
        return;
    mServer.stopListening();
    if (!mRuns.empty() || !mHeldRequests.empty() || !mUnsentAnswers.empty()
        || now - mLastRequest < cDrainQuietPeriod)
        return;
    // From now on requests on open connections are refused, so that the exit interrupts none.
    mDrainReported = true;
    mRegistry.post("drain", callers_drained{mFinishedInDrain});
}

std::string front_end_service::dump() const
{
    return "{\"connections\":" + std::to_string(mServer.connectionCount()) + ",\"running\":"
        + std::to_string(mRuns.size()) + ",\"requests\":" + std::to_string(mRequestCount)
        + ",\"draining\":" + (mDrainingSince ? "true" : "false") + "}";
}

} // namespace corneltally::entry
