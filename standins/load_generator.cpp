#include "standins/load_generator.h"

#include "standins/ledger_checker.h"
#include "standins/outage.h"

#include <algorithm>

namespace standins {

namespace core = corneltally::core;
namespace http = corneltally::http;
using namespace std::chrono_literals;

namespace {

constexpr core::duration cRetryStep = 250ms;

core::duration fromSeconds(double inSeconds)
{
    return core::duration(static_cast<long long>(inSeconds * 1e6));
}

const char *toString(call_result inResult)
{
    switch (inResult) {
    case call_result::completed:
        return "completed";
    case call_result::refused:
        return "refused";
    case call_result::failed:
        break;
    }
    return "failed";
}

} // namespace

load_generator::load_generator(const deployment &inDeployment, const load_options &inOptions)
    : mDeployment(inDeployment)
    , mOptions(inOptions)
    , mMix(inDeployment, inOptions)
    , mLedger(inOptions.ledgerFile, "load")
    , mClient(mLoop)
    , mArrival(mLoop, [this] { arrive(); })
    , mLimit(mLoop, [this] { mLoop.stop(); })
{
    for (const std::string &target : inOptions.targets)
        mTargets.push_back(http::parseAddress(target));
}

load_report load_generator::run()
{
    for (const deployment_account &account : mDeployment.accounts())
        mLedger.write("account_limit",
                      {{"account", account.name},
                       {"rate", account.rateTokensPerSecond},
                       {"burst", account.burstTokens}});
    mNextArrival = core::boot_clock::now();
    mLastArrival = mNextArrival + fromSeconds(mOptions.seconds);
    mArrival.startOnce(core::duration());
    mLimit.startOnce(fromSeconds(mOptions.seconds + mOptions.drainSeconds));
    mLoop.run();
    // Calls that are still open have not been answered in time.
    for (; mOpen > 0; --mOpen)
        mReport.addCall("unanswered", call_result::failed, 0);
    countDoubleRuns();
    return mReport;
}

void load_generator::arrive()
{
    const core::time_point now = core::boot_clock::now();
    while (mNextArrival <= now && mNextArrival < mLastArrival) {
        const auto call = std::make_shared<running_call>();
        call->plan = mMix.next();
        call->target = mMix.pick(mTargets.size());
        call->firstSent = now;
        ++mOpen;
        send(call);
        mNextArrival += fromSeconds(mMix.nextGap());
    }
    mArrivalsEnded = mNextArrival >= mLastArrival;
    if (!mArrivalsEnded)
        mArrival.startOnce(mNextArrival - now);
    else if (mOpen == 0)
        mLoop.stop();
}

void load_generator::send(const call_pointer &inCall)
{
    running_call &call = *inCall;
    ++call.attempt;
    call.sentWall = wallSeconds();
    call.verifier = std::make_unique<answer_verifier>(call.plan);
    http::call_request request{.target = mTargets[call.target],
                               .method = "POST",
                               .path = call.plan.kind->path,
                               .headers = {{"Authorization", "Bearer " + call.plan.account->key},
                                           {"Content-Type", "application/json"}},
                               .body = call.plan.body(),
                               .timeout
                               = std::chrono::milliseconds(call.plan.kind->timeoutMs) + 5s};
    if (call.plan.kind->kind == call_kind::order)
        request.headers.emplace_back("Idempotency-Key", call.plan.user);
    http::call_events events;
    events.onHead = [inCall](int inStatus, const http::header_list &inHeaders) {
        inCall->verifier->setHead(inStatus, http::findHeader(inHeaders, "X-Request-Id"));
    };
    events.onData = [this, inCall](std::string_view inData) { takeData(inCall, inData); };
    events.onEnd
        = [this, inCall](http::call_outcome inOutcome) { attemptEnded(inCall, inOutcome); };
    mClient.call(std::move(request), std::move(events));
}

void load_generator::takeData(const call_pointer &inCall, std::string_view inData)
{
    if (inCall->firstTokenWall == 0 && inCall->verifier->status() == 200) {
        inCall->firstTokenWall = wallSeconds();
        const std::chrono::duration<double, std::milli> taken
            = core::boot_clock::now() - inCall->firstSent;
        mReport.addFirstToken(inCall->plan.kind->name, taken.count());
    }
    inCall->verifier->addData(inData);
}

void load_generator::attemptEnded(const call_pointer &inCall, http::call_outcome inOutcome)
{
    running_call &call = *inCall;
    if (inOutcome == http::call_outcome::completed)
        call.verifier->finish();
    const call_result result = resultOf(call, inOutcome);
    record(call, result);
    if (result == call_result::failed && inOutcome != http::call_outcome::not_sent)
        call.unclear = true;
    if (mayRetry(call, result))
        retry(inCall);
    else
        end(call, result);
}

call_result load_generator::resultOf(const running_call &inCall, http::call_outcome inOutcome) const
{
    if (inOutcome != http::call_outcome::completed)
        return call_result::failed;
    if (inCall.verifier->isComplete())
        return call_result::completed;
    const bool refused = inCall.verifier->run() == "not_run"
        || (inCall.verifier->status() >= 400 && inCall.verifier->status() < 409);
    return refused ? call_result::refused : call_result::failed;
}

bool load_generator::mayRetry(const running_call &inCall, call_result inResult) const
{
    if (inCall.attempt >= mOptions.attempts || !inCall.verifier->problem().empty())
        return false;
    switch (inCall.plan.kind->kind) {
    case call_kind::order:
        // After an unclear answer also a refusal does not tell whether the order ran.
        return inResult != call_result::completed
            && (inCall.unclear || inResult == call_result::failed);
    case call_kind::idempotent_service:
        return inResult != call_result::completed;
    case call_kind::chat:
    case call_kind::completion:
        break;
    }
    return false;
}

void load_generator::retry(const call_pointer &inCall)
{
    if (mTargets.size() > 1)
        inCall->target = (inCall->target + 1 + mMix.pick(mTargets.size() - 1)) % mTargets.size();
    runLater(mLoop, cRetryStep * inCall->attempt, [this, inCall] { send(inCall); });
}

void load_generator::record(const running_call &inCall, call_result inResult)
{
    const planned_call &plan = inCall.plan;
    // Attempts of an order share the order, so that each needs a name of its own in the ledger.
    std::string user = plan.user;
    if (!plan.kind->isModel())
        user.append("#").append(std::to_string(inCall.attempt));
    mLedger.write("call",
                  {{"user", user},
                   {"call", plan.kind->name},
                   {"request_id", inCall.verifier->requestId()},
                   {"account", plan.account->name},
                   {"key_id", plan.account->name + "/k1"},
                   {"adapter", plan.kind->isModel() ? plan.adapter : std::string()},
                   {"version", plan.kind->isModel() ? plan.version : std::string()},
                   {"order", plan.kind->kind == call_kind::order ? plan.user : std::string()},
                   {"attempt", inCall.attempt},
                   {"target", mTargets[inCall.target].toString()},
                   {"sent", inCall.sentWall},
                   {"first_token", inCall.firstTokenWall},
                   {"status", inCall.verifier->status()},
                   {"outcome", toString(inResult)},
                   {"run", inCall.verifier->run()},
                   {"error", inCall.verifier->error()},
                   {"tokens", inCall.verifier->tokens()},
                   {"problem", inCall.verifier->problem()}});
}

void load_generator::end(const running_call &inCall, call_result inResult)
{
    const std::string &kind = inCall.plan.kind->name;
    mReport.addCall(kind, inResult, inCall.verifier->tokens());
    if (!inCall.verifier->problem().empty())
        mReport.addWrong(kind);
    if (inCall.verifier->reportedRuns() > 1)
        ++mReportedDoubleRuns[kind];
    --mOpen;
    if (mArrivalsEnded && mOpen == 0)
        mLoop.stop();
}

void load_generator::countDoubleRuns()
{
    ledger_checker checker;
    for (const std::string &file : mOptions.applicationLedgers)
        checker.addFile(file);
    // The same double run can show by its order id and by its body.
    std::size_t byId = 0;
    std::size_t byBody = 0;
    for (const violation &entry : checker.check()) {
        if (entry.guarantee == "P9")
            ++(entry.message.starts_with("order id ") ? byId : byBody);
    }
    const std::size_t found = std::max(byId, byBody);
    for (const deployment_call &call : mDeployment.calls()) {
        if (call.kind == call_kind::order)
            mReport.setDoubleRuns(call.name, std::max(found, mReportedDoubleRuns[call.name]));
    }
}

} // namespace standins
