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
#include "corneltally/settings/catalog.h"

#include <algorithm>
#include <charconv>
#include <ctime>
#include <utility>

namespace corneltally::entry {

namespace {

using namespace std::chrono_literals;

constexpr core::duration cSweepPeriod = 100ms;
/// Longest time that a caller may take nothing of what waits for it.
constexpr core::duration cWriteTimeout = 10s;
/// How long requests wait after a pause for proof that the tree, and with it each key, is current.
/// An instance that is cut off serves after that, as it would without the pause.
constexpr core::duration cPauseHold = 1s;
/// Other services answer by the deadline of a request; this is the margin for their messages.
constexpr core::duration cAnswerMargin = 2s;
/// How long an answer to a cancelled admission or claim may still be under way.
constexpr core::duration cCancelMargin = 1s;
/// Load balancers learn with a lag that an instance drains; it accepts connections meanwhile.
constexpr core::duration cDrainLag = 1s;
constexpr core::duration cDrainQuiet = 300ms;
/// Tokens that an engine may generate before a cancellation reaches it.
constexpr double cCancelOverrun = 16;
/// The server closes connections with longer bodies without an error body, so that its limit is a
/// multiple of the one that is answered.
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

bool mayBeCutShort(const caller_run &inRun)
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
          inRegistry.loop(), [this](const exchange_pointer &inCaller) { receive(inCaller); },
          serverLimits(mOptions.limits))
    , mSweep(inRegistry.loop(), [this] { sweep(); })
{
    mRegistry.handle<catalog_changed>(
        name(), [this](const catalog_changed &inChange) { applyCatalog(inChange); });
    mRegistry.handle<settings_confirmed>(name(), [this](const settings_confirmed &inConfirmed) {
        mConfirmedAt = std::max(inConfirmed.at, mConfirmedAt.value_or(inConfirmed.at));
        if (mHoldUntil && *mConfirmedAt >= *mHoldUntil - cPauseHold)
            resumeHeld();
    });
    mRegistry.handle<process_paused>(name(), [this](const process_paused &) {
        mHoldUntil = core::boot_clock::now() + cPauseHold;
    });
    mRegistry.handle<admission_result>(
        name(), [this](const admission_result &inResult) { continueAdmitted(inResult); });
    mRegistry.handle<claim_result>(
        name(), [this](const claim_result &inResult) { continueClaimed(inResult); });
    mRegistry.handle<run_event>(name(), [this](const run_event &inEvent) { takeEvent(inEvent); });
    mRegistry.handle<drain_started>(
        name(), [this](const drain_started &) { mDrainingSince = core::boot_clock::now(); });
}

front_end_service::~front_end_service()
{
    // The server closes its connections last; their handlers must not look up requests any more.
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

void front_end_service::receive(const exchange_pointer &inCaller)
{
    mLastRequest = core::boot_clock::now();
    if (mHoldUntil)
        mHeld.push_back(inCaller);
    else
        serve(inCaller);
}

void front_end_service::serve(const exchange_pointer &inCaller)
{
    if (inCaller->isClosed())
        return;
    if (!mCatalog || mDrainReported) {
        refuse(inCaller,
               notRun(core::error_kind::unavailable,
                      mCatalog ? "the instance shuts down" : "the settings are not loaded yet",
                      "send the request to another instance"),
               {});
        return;
    }
    if (inCaller->path() == "/v1/models") {
        listModels(inCaller);
        return;
    }
    const settings::route_view *route = mCatalog->findRoute(inCaller->path());
    if (route == nullptr) {
        refuse(inCaller,
               notRun(core::error_kind::not_found, "there is no route with this path",
                      "check the path of the request"),
               {});
        return;
    }
    const core::result<caller_identity> identity
        = identifyCaller(*mCatalog, *route, inCaller->headers());
    if (!identity) {
        refuse(inCaller, {.error = identity.reason()}, {});
        return;
    }
    if (const std::optional<caller_error> outdated = checkSettingsAge(identity->account)) {
        refuse(inCaller, *outdated, identity->account);
        return;
    }
    core::result<run> request
        = buildRun(*mCatalog, *route,
                   {inCaller->method(), inCaller->path(), inCaller->body(), inCaller->headers()},
                   mOptions.limits.maxBodyBytes);
    if (!request) {
        refuse(inCaller, {.error = request.reason()}, identity->account);
        return;
    }
    run accepted = std::move(request).value();
    accepted.account = identity->account;
    begin(inCaller, *route, std::move(accepted), identity->keyDigest);
}

std::optional<caller_error> front_end_service::checkSettingsAge(std::string_view inAccount) const
{
    const settings::account_view *account = mCatalog->findAccount(inAccount);
    if (account == nullptr || account->maxSettingsAgeSeconds <= 0)
        return std::nullopt;
    const auto limit = std::chrono::seconds(account->maxSettingsAgeSeconds);
    if (mConfirmedAt && core::boot_clock::now() - *mConfirmedAt <= limit)
        return std::nullopt;
    return notRun(core::error_kind::unavailable,
                  "the instance cannot confirm that its settings are current",
                  "send the request to another instance");
}

void front_end_service::listModels(const exchange_pointer &inCaller)
{
    static const settings::route_view sRoute{.name = "models", .path = "/v1/models"};
    const core::result<caller_identity> identity
        = identifyCaller(*mCatalog, sRoute, inCaller->headers());
    if (!identity) {
        refuse(inCaller, {.error = identity.reason()}, {});
        return;
    }
    inCaller->replyJson(200, modelListBody(*mCatalog), {{"X-Request-Id", nextRequestId()}});
    watchWrites(inCaller);
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
                     mCatalog && mCatalog->findRoute(inCaller->path()) != nullptr
                         ? std::string_view(inCaller->path())
                         : std::string_view()},
                    {"outcome", "refused"},
                    {"reason", core::toString(inError.error.kind)},
                    {"status", refused.status()}});
    mMetrics.count(std::string("requests_total{outcome=\"refused\",reason=\"")
                       .append(core::toString(inError.error.kind))
                       .append("\"}"));
}

void front_end_service::begin(const exchange_pointer &inCaller, const settings::route_view &inRoute,
                              run inRun, std::string inKeyDigest)
{
    const core::time_point now = core::boot_clock::now();
    inRun.requestId = nextRequestId();
    inRun.deadline = now + inRoute.timeout;
    auto added = std::make_unique<caller_run>(inCaller, std::move(inRun), now);
    added->keyDigest = std::move(inKeyDigest);
    added->closeAfterAnswer = mDrainingSince.has_value();
    if (const std::optional<core::error> unusable = readClaim(*added, inRoute)) {
        refuse(inCaller, {.error = *unusable}, added->request().account);
        return;
    }
    caller_run &running = *added;
    const std::string &id = running.request().requestId;
    inCaller->onClosed([this, id] { callerLeft(id); });
    mRuns.emplace(id, std::move(added));
    if (running.request().account.empty()) {
        claimOrStart(running);
        return;
    }
    running.charged = running.request().promptTokens + running.request().maxTokens;
    mRegistry.post(
        "admission",
        admit{id, running.request().account, running.charged, running.request().deadline});
}

/// Reads the idempotency headers. Repeatable routes need no claim, unless they ask for a key.
std::optional<core::error> front_end_service::readClaim(caller_run &ioRun,
                                                        const settings::route_view &inRoute)
{
    const http::exchange &caller = *ioRun.caller();
    const std::string_view key = caller.header("Idempotency-Key");
    if (key.empty()) {
        if (!inRoute.requireIdempotencyKey)
            return std::nullopt;
        return core::error{core::error_kind::invalid_request, "the route needs an idempotency key",
                           "send the header Idempotency-Key with a value unique to the order"};
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
                               "send the Unix time of the first try"};
        if (std::time(nullptr) - seconds > mCatalog->claimWindow().count())
            return core::error{core::error_kind::conflict,
                               "the idempotency key is older than the claim window",
                               "find out whether the order ran before using a new key"};
    }
    ioRun.claimKey = claimKeyOf(ioRun.request().account, inRoute.name, key);
    return std::nullopt;
}

void front_end_service::continueAdmitted(const admission_result &inResult)
{
    const auto found = mRuns.find(inResult.requestId);
    if (found == mRuns.end() || found->second->currentPhase != caller_run::phase::admitting)
        return;
    caller_run &running = *found->second;
    if (inResult.error) {
        running.charged = 0;
        failRun(running,
                {.error = *inResult.error, .retryAfterSeconds = inResult.retryAfterSeconds});
    } else if (running.leftAt) {
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

void front_end_service::continueClaimed(const claim_result &inResult)
{
    const auto found = mRuns.find(inResult.requestId);
    if (found == mRuns.end() || found->second->currentPhase != caller_run::phase::claiming) {
        return;
    }
    caller_run &running = *found->second;
    running.claimId = inResult.claimId;
    switch (inResult.outcome) {
    case claim_outcome::granted:
        if (running.leftAt) {
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
        watchWrites(running.caller());
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

void front_end_service::takeEvent(const run_event &inEvent)
{
    const auto found = mRuns.find(inEvent.requestId);
    if (found == mRuns.end())
        return;
    caller_run &running = *found->second;
    if (const auto *head = std::get_if<run_head>(&inEvent.event)) {
        running.takeHead(*head);
    } else if (const auto *end = std::get_if<run_end>(&inEvent.event)) {
        takeEnd(running, *end);
    } else {
        const bool first = running.partCount() == 0;
        if (!running.takeChunk(std::get<run_chunk>(inEvent.event))) {
            stopRun(running,
                    {.error = {core::error_kind::internal, "the answer is too long",
                               "ask for a shorter answer, or for a stream"},
                     .mayHaveRun = true});
            return;
        }
        if (first) {
            mMetrics.observe("first_part_seconds", core::boot_clock::now() - running.startedAt());
            if (running.request().stream)
                watchWrites(running.caller());
        }
        // An aborted exchange does not report its end by itself.
        if (running.pendingBytes() > mOptions.maxUnsentBytes) {
            mMetrics.count("callers_closed_total{reason=\"unread\"}");
            running.dropCaller();
            callerLeft(inEvent.requestId);
        }
    }
}

void front_end_service::takeEnd(caller_run &ioRun, const run_end &inEnd)
{
    if (inEnd.outcome == run_outcome::completed) {
        settleTokens(ioRun, ioRun.request().promptTokens + inEnd.outputTokens);
        if (!ioRun.claimId.empty()) {
            // Status 0 says that the request completed and its answer is too long to be kept.
            mRegistry.post("claims",
                           ioRun.isAnswerKept()
                               ? claim_finish{ioRun.claimKey, ioRun.claimId, ioRun.status(),
                                              ioRun.contentType(), ioRun.keptBody()}
                               : claim_finish{ioRun.claimKey, ioRun.claimId, 0, {}, {}});
        }
        ioRun.finish();
        watchWrites(ioRun.caller());
        complete(ioRun, "completed", inEnd.endpoint);
        return;
    }
    const bool mayHaveRun = inEnd.outcome == run_outcome::unknown;
    if (!mayHaveRun && !ioRun.claimId.empty())
        mRegistry.post("claims", claim_release{ioRun.claimKey, ioRun.claimId});
    settleTokens(ioRun, mayHaveRun ? ioRun.charged : 0);
    failRun(ioRun,
            {.error = inEnd.error,
             .mayHaveRun = mayHaveRun,
             .retryAfterSeconds = inEnd.retryAfterSeconds},
            inEnd.endpoint);
}

void front_end_service::callerLeft(const std::string &inRequestId)
{
    const auto found = mRuns.find(inRequestId);
    if (found == mRuns.end() || found->second->leftAt)
        return;
    caller_run &running = *found->second;
    running.leftAt = core::boot_clock::now();
    switch (running.currentPhase) {
    case caller_run::phase::admitting:
        mRegistry.post("admission", admit_cancel{inRequestId});
        break;
    case caller_run::phase::claiming:
        mRegistry.post("claims", claim_cancel{inRequestId});
        break;
    case caller_run::phase::running:
        // An order that was sent is followed to its end, so that a repeat gets its answer.
        if (!mayBeCutShort(running))
            break;
        mRegistry.post("dispatch", run_abandon{inRequestId});
        settleTokens(running,
                     running.request().stream ? running.request().promptTokens
                             + static_cast<double>(running.partCount()) + cCancelOverrun
                                              : running.charged);
        complete(running, "caller_left", {});
        break;
    }
}

void front_end_service::failRun(caller_run &ioRun, const caller_error &inError,
                                std::string_view inEndpoint)
{
    ioRun.fail(inError);
    watchWrites(ioRun.caller());
    complete(ioRun, inError.mayHaveRun ? "unknown" : "not_run", inEndpoint);
}

/// Ends a request before its run ended by itself.
void front_end_service::stopRun(caller_run &ioRun, const caller_error &inError)
{
    const std::string &id = ioRun.request().requestId;
    caller_error error = inError;
    switch (ioRun.currentPhase) {
    case caller_run::phase::admitting:
        mRegistry.post("admission", admit_cancel{id});
        ioRun.charged = 0;
        break;
    case caller_run::phase::claiming:
        mRegistry.post("claims", claim_cancel{id});
        settleTokens(ioRun, 0);
        break;
    case caller_run::phase::running:
        mRegistry.post("dispatch", run_abandon{id});
        settleTokens(ioRun, ioRun.charged);
        error.mayHaveRun = true;
        break;
    }
    failRun(ioRun, error);
}

void front_end_service::settleTokens(caller_run &ioRun, double inUsed)
{
    if (ioRun.charged <= 0)
        return;
    mRegistry.post("admission",
                   settle{ioRun.request().account, ioRun.charged, std::min(inUsed, ioRun.charged),
                          ioRun.request().requestId});
    ioRun.charged = 0;
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

void front_end_service::watchWrites(const exchange_pointer &inCaller)
{
    if (inCaller->isClosed() || inCaller->pendingBytes() == 0)
        return;
    if (std::ranges::find(mWrites, inCaller, &write_watch::caller) != mWrites.end())
        return;
    mWrites.push_back({inCaller, inCaller->pendingBytes(), core::boot_clock::now()});
}

void front_end_service::applyCatalog(const catalog_changed &inChange)
{
    if (mOptions.keepFirstCatalog && mCatalog)
        return;
    mCatalog = inChange.catalog;
    std::vector<std::string> withdrawn;
    for (const auto &[id, running] : mRuns) {
        if (running->keyDigest.empty())
            continue;
        const settings::key_view *key = mCatalog->findKey(running->keyDigest);
        // A call to an application service that was sent is answered: its result is an order's.
        const bool endable = running->currentPhase != caller_run::phase::running
            || running->request().kind == settings::endpoint_kind::model;
        if ((key == nullptr || key->withdrawn) && endable)
            withdrawn.push_back(id);
    }
    for (const std::string &id : withdrawn) {
        stopRun(*mRuns.at(id),
                notRun(core::error_kind::unauthorized, "the key was withdrawn",
                       "use a key that is in force"));
    }
}

void front_end_service::sweep()
{
    const core::time_point now = core::boot_clock::now();
    if (mHoldUntil && now >= *mHoldUntil)
        resumeHeld();
    std::vector<std::string> overdue;
    for (const auto &[id, running] : mRuns) {
        const bool cancelled = running->leftAt && now - *running->leftAt > cCancelMargin
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
    std::erase_if(mWrites, [&](write_watch &ioWatch) {
        const std::size_t pending = ioWatch.caller->pendingBytes();
        if (pending == 0 && ioWatch.caller->isAnswered())
            return true;
        if (pending == 0 || pending < ioWatch.pending)
            ioWatch.lastProgress = inNow;
        ioWatch.pending = pending;
        if (inNow - ioWatch.lastProgress < cWriteTimeout)
            return ioWatch.caller->isClosed();
        stalled.push_back(ioWatch.caller);
        return true;
    });
    for (const exchange_pointer &caller : stalled) {
        mMetrics.count("callers_closed_total{reason=\"write_timeout\"}");
        caller->abort();
        const auto running = std::ranges::find_if(
            mRuns, [&](const auto &inEntry) { return inEntry.second->caller() == caller; });
        if (running != mRuns.end())
            callerLeft(std::string(running->first));
    }
}

void front_end_service::resumeHeld()
{
    mHoldUntil.reset();
    const std::vector<exchange_pointer> held = std::exchange(mHeld, {});
    for (const exchange_pointer &caller : held)
        serve(caller);
}

void front_end_service::checkDrained()
{
    const core::time_point now = core::boot_clock::now();
    if (!mDrainingSince || mDrainReported || now - *mDrainingSince < cDrainLag)
        return;
    mServer.stopListening();
    if (!mRuns.empty() || !mHeld.empty() || !mWrites.empty() || now - mLastRequest < cDrainQuiet)
        return;
    // From here on, requests on open connections are refused, so that none is cut off by the exit.
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
