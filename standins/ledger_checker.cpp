#include "standins/ledger_checker.h"

#include <algorithm>
#include <fstream>
#include <set>

#include <nlohmann/json.hpp>

namespace standins {

using nlohmann::json;

namespace {

/// Grace for endpoints that start to leave and for withdrawn keys, as guaranteed.
constexpr double cGraceSeconds = 3;
/// Inaccuracy of the wall-clock times in ledgers.
constexpr double cClockSlackSeconds = 0.01;

std::string text(const json &inFact, const char *inName)
{
    const auto found = inFact.find(inName);
    return found != inFact.end() && found->is_string() ? found->get<std::string>() : std::string();
}

double number(const json &inFact, const char *inName)
{
    const auto found = inFact.find(inName);
    return found != inFact.end() && found->is_number() ? found->get<double>() : 0;
}

bool flag(const json &inFact, const char *inName, bool inDefault)
{
    const auto found = inFact.find(inName);
    return found != inFact.end() && found->is_boolean() ? found->get<bool>() : inDefault;
}

std::string join(std::initializer_list<std::string_view> inParts)
{
    std::string joined;
    for (const std::string_view part : inParts)
        joined.append(part);
    return joined;
}

} // namespace

bool ledger_checker::addFile(const std::string &inFile)
{
    std::ifstream file(inFile);
    if (!file)
        return false;
    for (std::string line; std::getline(file, line);)
        addLine(line);
    return true;
}

void ledger_checker::addLine(std::string_view inLine)
{
    if (inLine.empty())
        return;
    ++mFactCount;
    const json fact = json::parse(inLine, nullptr, false);
    if (!fact.is_object()) {
        ++mDamaged;
        return;
    }
    const std::string kind = text(fact, "kind");
    const std::string process = text(fact, "process");
    if (flag(fact, "secret_seen", false))
        mSecretsSeen.push_back(join({process, " saw a key in request ", text(fact, "request_id")}));
    if (kind == "run_start" || kind == "order_run") {
        run_fact run{.time = number(fact, "time"),
                     .process = process,
                     .requestId = text(fact, "request_id"),
                     .user = text(fact, "user"),
                     .adapter = text(fact, "adapter"),
                     .version = text(fact, "version"),
                     .account = text(fact, "account"),
                     .promptTokens = number(fact, "prompt_tokens"),
                     .orderId = text(fact, "order_id"),
                     .order = text(fact, "order"),
                     .path = text(fact, "path")};
        (kind == "run_start" ? mRuns : mOrderRuns).push_back(std::move(run));
    } else if (kind == "run_end") {
        mOutputTokens[join({process, " ", text(fact, "request_id")})]
            += number(fact, "output_tokens");
    } else if (kind == "unload") {
        if (number(fact, "in_use") > 0)
            mUnloadsInUse.push_back(join({process, " unloaded ", text(fact, "adapter"), "@",
                                          text(fact, "version"), " while it was in use"}));
    } else if (kind == "leaving") {
        mLeaving[process].push_back({number(fact, "time"), flag(fact, "leaving", true)});
    } else if (kind == "account_limit") {
        mLimits[text(fact, "account")] = {number(fact, "rate"), number(fact, "burst")};
    } else if (kind == "key_withdrawn") {
        mWithdrawn[text(fact, "key_id")] = number(fact, "time");
    } else if (kind == "call") {
        mCalls[text(fact, "user")] = {.sent = number(fact, "sent"),
                                      .user = text(fact, "user"),
                                      .requestId = text(fact, "request_id"),
                                      .account = text(fact, "account"),
                                      .keyId = text(fact, "key_id"),
                                      .adapter = text(fact, "adapter"),
                                      .version = text(fact, "version"),
                                      .outcome = text(fact, "outcome"),
                                      .run = text(fact, "run"),
                                      .problem = text(fact, "problem"),
                                      .authorized = flag(fact, "authorized", true)};
    }
}

std::vector<violation> ledger_checker::check() const
{
    violations found;
    if (mDamaged > 0)
        found.push_back({"ledger", std::to_string(mDamaged) + " lines are not JSON objects"});
    checkAdapters(found);
    for (const std::string &message : mUnloadsInUse)
        found.push_back({"P2", message});
    checkAccounts(found);
    for (const std::string &message : mSecretsSeen)
        found.push_back({"P4", message});
    checkRates(found);
    checkAnswers(found);
    checkRefusals(found);
    checkOrders(found);
    checkLeaving(found);
    return found;
}

const ledger_checker::call_fact *ledger_checker::findCall(const run_fact &inRun) const
{
    const auto found = mCalls.find(inRun.user);
    return inRun.user.empty() || found == mCalls.end() ? nullptr : &found->second;
}

void ledger_checker::checkAdapters(violations &outFound) const
{
    for (const run_fact &run : mRuns) {
        const call_fact *call = findCall(run);
        if (call == nullptr || call->adapter.empty())
            continue;
        const bool sameVersion = call->version.empty() || call->version == run.version;
        if (call->adapter != run.adapter || !sameVersion)
            outFound.push_back(
                {"P1",
                 join({"call ", call->user, " named ", call->adapter, "@", call->version, " but ",
                       run.process, " ran ", run.adapter, "@", run.version})});
    }
}

void ledger_checker::checkAccounts(violations &outFound) const
{
    for (const run_fact &run : mRuns) {
        const call_fact *call = findCall(run);
        if (call == nullptr)
            continue;
        if (!call->authorized)
            outFound.push_back({"P3", join({"call ", call->user, " had no valid key but ran"})});
        else if (!run.account.empty() && run.account != call->account)
            outFound.push_back({"P3",
                                join({"call ", call->user, " of account ", call->account,
                                      " ran for ", run.account})});
        const auto withdrawn = mWithdrawn.find(call->keyId);
        if (withdrawn != mWithdrawn.end() && call->sent > withdrawn->second + cGraceSeconds)
            outFound.push_back({"P5", join({"call ", call->user, " ran with a withdrawn key"})});
    }
}

std::map<std::string, std::vector<ledger_checker::token_use>> ledger_checker::usesByAccount() const
{
    std::map<std::string, std::vector<token_use>> uses;
    std::set<std::string> counted;
    for (const run_fact &run : mRuns) {
        const call_fact *call = findCall(run);
        const std::string &account = call != nullptr ? call->account : run.account;
        // A run that was repeated at another engine is charged once.
        if (account.empty() || !counted.insert(run.requestId).second)
            continue;
        const auto output = mOutputTokens.find(join({run.process, " ", run.requestId}));
        // Tokens are charged between the moment at which the call was sent and its run.
        uses[account].push_back(
            {call != nullptr ? call->sent : run.time, run.time,
             run.promptTokens + (output == mOutputTokens.end() ? 0 : output->second)});
    }
    return uses;
}

void ledger_checker::checkRates(violations &outFound) const
{
    for (auto &[account, uses] : usesByAccount()) {
        const auto limit = mLimits.find(account);
        if (limit == mLimits.end())
            continue;
        const auto &[rate, burst] = limit->second;
        std::vector<token_use> byEnd = uses;
        std::ranges::sort(byEnd, {}, &token_use::latest);
        std::set<double> starts;
        for (const token_use &use : byEnd)
            starts.insert(use.earliest);
        double worst = 0;
        for (const double start : starts) {
            // Only uses that certainly fell into the window count.
            double sum = 0;
            for (const token_use &use : byEnd) {
                if (use.earliest < start)
                    continue;
                sum += use.tokens;
                const double window = use.latest - start + cClockSlackSeconds;
                worst = std::max(worst, sum - rate * window - burst);
            }
        }
        if (worst > 0)
            outFound.push_back({"P6",
                                join({"account ", account, " exceeded rate x time + burst by ",
                                      std::to_string(worst), " tokens"})});
    }
}

void ledger_checker::checkAnswers(violations &outFound) const
{
    for (const auto &[user, call] : mCalls) {
        if (!call.problem.empty())
            outFound.push_back({"P7", join({"call ", user, ": ", call.problem})});
    }
}

void ledger_checker::checkRefusals(violations &outFound) const
{
    std::set<std::string> requests;
    std::set<std::string> users;
    for (const run_fact &run : mRuns) {
        requests.insert(run.requestId);
        users.insert(run.user);
    }
    for (const run_fact &run : mOrderRuns)
        requests.insert(run.requestId);
    for (const auto &[user, call] : mCalls) {
        const bool ran = users.contains(user)
            || (!call.requestId.empty() && requests.contains(call.requestId));
        if (call.run == "not_run" && ran)
            outFound.push_back(
                {"P8", join({"call ", user, " was refused as not run although it ran"})});
    }
}

void ledger_checker::checkOrders(violations &outFound) const
{
    std::map<std::string, int> runs;
    for (const run_fact &run : mOrderRuns) {
        if (!run.orderId.empty())
            ++runs[join({"order id ", run.orderId})];
        if (!run.order.empty())
            ++runs[join({"order ", run.order, " of ", run.path})];
    }
    for (const auto &[name, count] : runs) {
        if (count > 1)
            outFound.push_back({"P9", join({name, " ran ", std::to_string(count), " times"})});
    }
}

void ledger_checker::checkLeaving(violations &outFound) const
{
    const auto checkRun = [&](const run_fact &inRun) {
        const auto found = mLeaving.find(inRun.process);
        if (found == mLeaving.end())
            return;
        bool late = false;
        for (const leaving_fact &fact : found->second) {
            if (!fact.leaving && fact.time <= inRun.time)
                late = false;
            else if (fact.leaving && inRun.time > fact.time + cGraceSeconds)
                late = true;
        }
        if (late)
            outFound.push_back({"P10",
                                join({inRun.process, " got request ", inRun.requestId,
                                      " more than 3 s after it began to leave"})});
    };
    for (const run_fact &run : mRuns)
        checkRun(run);
    for (const run_fact &run : mOrderRuns)
        checkRun(run);
}

} // namespace standins
