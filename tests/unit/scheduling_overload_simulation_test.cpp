// Compares today's rule, earliest deadline first and the overload policy on a virtual clock: some
// instances with their own endpoint tables, delayed load reports and engines that prefill in chunks
// beside the answers in progress. Guards against overload rules that serve fewer requests in time,
// serve a kind of lower priority more often than one of higher priority, or keep an account or the
// large requests of a kind from being served.

#include "corneltally/engines/endpoint_choice.h"
#include "corneltally/engines/endpoint_table.h"
#include "corneltally/scheduling/overload_policy.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <deque>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using scheduling::overload_decision;

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

constexpr int cEngines = 16;
constexpr int cInstances = 6;
constexpr int cBatch = 64;
constexpr double cMemoryTokens = 350'000;
constexpr double cChunkTokens = 2'048;
constexpr double cTokensPerMs = 40;
constexpr double cStepMs = 5;
/// Time between an instance's load reports, and their time to the other instances.
constexpr core::duration cReportPeriod = 200ms;
constexpr core::duration cReportDelay = 150ms;
constexpr core::time_point cStart{1h};
/// The traffic is twice the usual one from this time on, for 6 s.
constexpr core::time_point cBurstStart = cStart + 3s;
constexpr core::time_point cBurstEnd = cBurstStart + 6s;
constexpr core::time_point cEnd = cBurstEnd + 25s;

double inMs(core::duration inDuration)
{
    return milliseconds(inDuration).count();
}

core::duration fromMs(double inMilliseconds)
{
    return std::chrono::duration_cast<core::duration>(milliseconds(inMilliseconds));
}

enum class policy { today, earliest_deadline, overload };

struct kind
{
    std::string name;
    int priority = 0;
    core::duration target;
    core::duration limit;
    double promptTokens = 0;
    double answerTokens = 0;
    /// Usual requests in a second for each engine.
    double rate = 0;
};

const std::array<kind, 4> cKinds{{{"long-1", 1, 1s, 5s, 9'190, 50, 1.25},
                                  {"long-2", 2, 1s, 10s, 9'190, 50, 1.25},
                                  {"short-0.6", 0, 600ms, 15s, 826, 290, 2},
                                  {"short-2", 0, 2s, 15s, 826, 290, 2}}};
constexpr std::array<const char *, 4> cAccounts{"a", "b", "c", "d"};

enum class outcome { in_time, late, refused };

/// A call with all its requests; it returns after a refusal.
struct call
{
    core::time_point arrived;
    std::size_t kindIndex = 0;
    std::size_t account = 0;
    double promptTokens = 0;
    outcome result = outcome::refused;
};

struct request
{
    std::size_t callIndex = 0;
    std::size_t instance = 0;
    std::size_t engine = 0;
    core::time_point limitAt;
    /// Order at the engine, the least first: urgency, or time of the target.
    double rank = 0;
    std::uint64_t sequence = 0;
    double unread = 0;
    double answerLeft = 0;
    bool firstEventSent = false;
    scheduling::overload_request weighed;
    int urgency = 0;
};

struct engine
{
    std::vector<std::unique_ptr<request>> waiting;
    std::vector<std::unique_ptr<request>> running;
    core::time_point nextStep;
};

struct instance
{
    engines::endpoint_table endpoints;
    scheduling::overload_policy overload;
};

struct report
{
    core::time_point at;
    std::size_t from = 0;
    std::map<engines::endpoint_digest, engines::endpoint_load> loads;
};

class simulation
{
public:
    simulation(policy inPolicy, unsigned inSeed, double inFactor)
        : mPolicy(inPolicy)
        , mRandom(inSeed)
    {
        for (int index = 0; index < cEngines; ++index)
            mIds.push_back("e" + std::to_string(index));
        mInstances.resize(cInstances);
        for (instance &each : mInstances) {
            for (const std::string &id : mIds)
                each.endpoints.apply({.id = id,
                                      .service = "models",
                                      .address = {"10.0.0.1", 80},
                                      .failureDomain = "north",
                                      .capacity = cBatch,
                                      .startedMs = 1,
                                      .models = {{.name = "base"}}},
                                     cStart);
        }
        mEngines.resize(cEngines);
        makeCalls(inFactor);
    }

    void run()
    {
        core::time_point nextReport = cStart;
        std::size_t nextCall = 0;
        for (mNow = cStart; mNow < cEnd; mNow += 1ms) {
            while (nextCall < mCalls.size() && mCalls[nextCall].arrived <= mNow) {
                arrive(nextCall, mCalls[nextCall].arrived + limitOf(mCalls[nextCall]));
                ++nextCall;
            }
            while (!mReturns.empty() && mReturns.begin()->first <= mNow) {
                const auto [callIndex, limitAt] = mReturns.begin()->second;
                mReturns.erase(mReturns.begin());
                arrive(callIndex, limitAt);
            }
            if (mNow >= nextReport) {
                nextReport += cReportPeriod;
                sendReports();
            }
            while (!mReports.empty() && mReports.front().at <= mNow) {
                for (std::size_t index = 0; index < mInstances.size(); ++index) {
                    if (index != mReports.front().from)
                        mInstances[index].endpoints.applyPeerLoads(
                            std::to_string(mReports.front().from), mReports.front().loads, {},
                            mReports.front().at - cReportDelay);
                }
                mReports.pop_front();
            }
            for (engine &each : mEngines) {
                if (each.nextStep <= mNow)
                    step(each);
            }
        }
    }

    const std::vector<call> &calls() const { return mCalls; }
    int preempted() const { return mPreempted; }
    /// Requests that were sent and not served within their limit.
    int expired() const { return mExpired; }
    const std::map<std::string_view, int> &rules() const { return mRules; }

private:
    void makeCalls(double inFactor)
    {
        for (std::size_t index = 0; index < cKinds.size(); ++index) {
            const kind &each = cKinds.at(index);
            // The mean of the distribution is the kind's; the largest are about 55,000 tokens.
            constexpr double cSpread = 0.8;
            std::lognormal_distribution<double> size(
                std::log(each.promptTokens) - cSpread * cSpread / 2, cSpread);
            std::discrete_distribution<std::size_t> account({0.5, 0.3, 0.15, 0.05});
            core::time_point at = cStart;
            for (;;) {
                const bool isBurst = at >= cBurstStart && at < cBurstEnd;
                std::exponential_distribution<double> gap(each.rate * cEngines
                                                          * (isBurst ? inFactor : 1) / 1000);
                at += fromMs(gap(mRandom));
                if (at >= cBurstEnd + 8s)
                    break;
                const std::size_t caller = account(mRandom);
                // The smallest account has the largest prompts.
                const double tokens = size(mRandom) * (caller == 3 ? 2 : 1);
                mCalls.push_back({at, index, caller, std::min(tokens, 55'000.0)});
            }
        }
        std::ranges::sort(mCalls, {}, &call::arrived);
        for (call &each : mCalls)
            each.result = outcome::refused;
    }

    static core::duration limitOf(const call &inCall) { return cKinds.at(inCall.kindIndex).limit; }

    void arrive(std::size_t inCall, core::time_point inLimitAt)
    {
        const call &caller = mCalls[inCall];
        const kind &type = cKinds.at(caller.kindIndex);
        if (inLimitAt <= mNow)
            return;
        const std::size_t index
            = std::uniform_int_distribution<std::size_t>(0, mInstances.size() - 1)(mRandom);
        instance &front = mInstances[index];
        const auto choice = engines::chooseEndpoint(front.endpoints,
                                                    {.service = "models",
                                                     .engineMemory = cMemoryTokens,
                                                     .engineBatch = cBatch,
                                                     .adapterSlots = 8,
                                                     .model = "base",
                                                     .promptTokens = caller.promptTokens,
                                                     .answerTokens = type.answerTokens},
                                                    "north", {}, mNow);
        REQUIRE(choice);
        engines::endpoint &target = *front.endpoints.find(choice->endpoint);
        auto sent = std::make_unique<request>();
        sent->callIndex = inCall;
        sent->instance = index;
        sent->engine = static_cast<std::size_t>(std::stoi(choice->endpoint.substr(1)));
        sent->limitAt = inLimitAt;
        sent->sequence = mNextSequence++;
        sent->unread = caller.promptTokens;
        sent->answerLeft = type.answerTokens;
        sent->rank = mPolicy == policy::earliest_deadline ? inMs(mNow - cStart + type.target)
                                                          : type.priority;
        sent->urgency = type.priority;
        bool isRefused = choice->estimate > inLimitAt - mNow;
        core::duration retryAfter
            = 150ms + fromMs(std::uniform_real_distribution<double>(0, 350)(mRandom));
        if (mPolicy == policy::overload) {
            const core::duration ahead
                = fromMs(front.endpoints.totalLoad(target).promptTokens / cTokensPerMs * 1.12);
            sent->weighed = {.kind = type.name,
                             .account = cAccounts.at(caller.account),
                             .priority = type.priority,
                             .toTarget = type.target,
                             .toLimit = inLimitAt - mNow,
                             .promptTokens = caller.promptTokens,
                             .work = fromMs(caller.promptTokens / cTokensPerMs
                                            + type.answerTokens * cStepMs / cBatch),
                             .estimate = choice->estimate,
                             .backlogAhead = ahead,
                             .draw = std::uniform_real_distribution<double>(0, 1)(mRandom)};
            const overload_decision decision = front.overload.decide(
                sent->weighed, front.endpoints.backlogOf("models", mNow), mNow);
            ++mRules[toString(decision.decidedBy)];
            isRefused = decision.isRefused();
            if (decision.retryAfter > core::duration::zero())
                retryAfter = decision.retryAfter;
            sent->urgency = decision.urgency;
            sent->rank = decision.urgency;
        }
        if (isRefused) {
            const core::duration honoured = std::min(retryAfter, (inLimitAt - mNow) / 3);
            // Callers give up when nothing can be read in the time that is left.
            if (inLimitAt - mNow > 300ms)
                mReturns.emplace(mNow + honoured, std::pair(inCall, inLimitAt));
            return;
        }
        ++target.own.requests;
        target.own.promptTokens += caller.promptTokens;
        target.own.memoryTokens += caller.promptTokens + type.answerTokens;
        front.overload.sent(sent->urgency, caller.promptTokens);
        mEngines[sent->engine].waiting.push_back(std::move(sent));
    }

    void sendReports()
    {
        for (std::size_t index = 0; index < mInstances.size(); ++index) {
            report each{mNow + cReportDelay, index, {}};
            for (const auto &[id, target] : mInstances[index].endpoints.all()) {
                if (target.own.requests > 0)
                    each.loads[target.digest] = target.own;
            }
            mReports.push_back(std::move(each));
        }
    }

    /// Ends the count of the request's prompt as waiting.
    void firstEvent(request &ioRequest, bool inBegun)
    {
        if (ioRequest.firstEventSent)
            return;
        ioRequest.firstEventSent = true;
        call &caller = mCalls[ioRequest.callIndex];
        const kind &type = cKinds.at(caller.kindIndex);
        instance &front = mInstances[ioRequest.instance];
        front.endpoints.find(mIds[ioRequest.engine])->own.promptTokens -= caller.promptTokens;
        front.overload.noLongerWaiting(ioRequest.urgency, caller.promptTokens, inBegun, mNow);
        if (inBegun)
            caller.result = mNow <= caller.arrived + type.target ? outcome::in_time : outcome::late;
    }

    void finish(request &ioRequest, bool inServed)
    {
        firstEvent(ioRequest, false);
        call &caller = mCalls[ioRequest.callIndex];
        instance &front = mInstances[ioRequest.instance];
        engines::endpoint &target = *front.endpoints.find(mIds[ioRequest.engine]);
        --target.own.requests;
        target.own.memoryTokens -= caller.promptTokens + cKinds.at(caller.kindIndex).answerTokens;
        if (inServed)
            return;
        caller.result = outcome::refused;
        ++mExpired;
        if (mPolicy == policy::overload)
            front.overload.notServed(ioRequest.weighed, mNow);
    }

    void step(engine &ioEngine)
    {
        const auto expire = [&](std::vector<std::unique_ptr<request>> &ioList) {
            std::erase_if(ioList, [&](const auto &inEach) {
                const bool isOver = inEach->limitAt <= mNow;
                if (isOver)
                    finish(*inEach, false);
                return isOver;
            });
        };
        expire(ioEngine.waiting);
        expire(ioEngine.running);
        const auto order = [](const auto &inLeft, const auto &inRight) {
            return std::pair(inLeft->rank, inLeft->sequence)
                < std::pair(inRight->rank, inRight->sequence);
        };
        double memory = 0;
        for (const auto &each : ioEngine.running)
            memory += mCalls[each->callIndex].promptTokens;
        std::ranges::sort(ioEngine.waiting, order);
        while (!ioEngine.waiting.empty() && ioEngine.running.size() < cBatch) {
            const double needed = mCalls[ioEngine.waiting.front()->callIndex].promptTokens;
            if (memory + needed > cMemoryTokens) {
                // Preempts the newest of the least urgent; its prompt is read again.
                const auto last = std::ranges::max_element(ioEngine.running, order);
                if (last == ioEngine.running.end()
                    || (*last)->rank <= ioEngine.waiting.front()->rank)
                    break;
                memory -= mCalls[(*last)->callIndex].promptTokens;
                (*last)->unread = mCalls[(*last)->callIndex].promptTokens;
                ioEngine.waiting.push_back(std::move(*last));
                ioEngine.running.erase(last);
                ++mPreempted;
                continue;
            }
            memory += needed;
            ioEngine.running.push_back(std::move(ioEngine.waiting.front()));
            ioEngine.waiting.erase(ioEngine.waiting.begin());
        }
        double budget = cChunkTokens;
        double attentionMs = 0;
        std::vector<request *> ready;
        std::vector<request *> reading;
        for (const auto &each : ioEngine.running)
            (each->unread > 0 ? reading : ready).push_back(each.get());
        std::ranges::sort(reading, [&](const request *inLeft, const request *inRight) {
            return order(inLeft, inRight);
        });
        for (request *each : reading) {
            const double tokens = std::min(budget, each->unread);
            const double done = mCalls[each->callIndex].promptTokens - each->unread;
            attentionMs += tokens * (done + tokens / 2) / 1e6 * 0.49;
            each->unread -= tokens;
            budget -= tokens;
            if (budget <= 0)
                break;
        }
        for (request *each : ready) {
            firstEvent(*each, true);
            --each->answerLeft;
        }
        std::erase_if(ioEngine.running, [&](const auto &inEach) {
            const bool isDone = inEach->answerLeft <= 0;
            if (isDone)
                finish(*inEach, true);
            return isDone;
        });
        const double stepMs = cStepMs + (cChunkTokens - budget) / cTokensPerMs + attentionMs;
        ioEngine.nextStep = mNow + fromMs(stepMs);
    }

    policy mPolicy;
    std::mt19937 mRandom;
    std::vector<std::string> mIds;
    std::vector<instance> mInstances;
    std::vector<engine> mEngines;
    std::vector<call> mCalls;
    std::multimap<core::time_point, std::pair<std::size_t, core::time_point>> mReturns;
    std::deque<report> mReports;
    std::map<std::string_view, int> mRules;
    core::time_point mNow;
    std::uint64_t mNextSequence = 0;
    int mPreempted = 0;
    int mExpired = 0;
};

struct tally
{
    int inTime = 0;
    int late = 0;
    int refused = 0;

    void add(outcome inResult)
    {
        ++(inResult == outcome::in_time ? inTime : inResult == outcome::late ? late : refused);
    }
    double all() const { return inTime + late + refused; }
    double served() const { return all() == 0 ? 1 : (inTime + late) / all(); }
    double benefit() const { return all() == 0 ? 1 : (inTime + late / 3.0) / all(); }
};

/// Results by group, for the calls that arrived during the burst.
std::map<std::string, tally> resultsOf(const simulation &inRun)
{
    std::map<std::string, tally> results;
    std::map<std::size_t, std::vector<double>> sizes;
    for (const call &each : inRun.calls())
        sizes[each.kindIndex].push_back(each.promptTokens);
    for (auto &[index, list] : sizes)
        std::ranges::sort(list);
    for (const call &each : inRun.calls()) {
        if (each.arrived < cBurstStart || each.arrived >= cBurstEnd)
            continue;
        const std::string &name = cKinds.at(each.kindIndex).name;
        const std::vector<double> &list = sizes[each.kindIndex];
        const auto place = std::ranges::lower_bound(list, each.promptTokens) - list.begin();
        const double part = static_cast<double>(place) / static_cast<double>(list.size());
        results["all"].add(each.result);
        results["kind " + name].add(each.result);
        results[std::string("account ") + cAccounts.at(each.account)].add(each.result);
        results["size " + name
                + (part >= 0.9       ? " largest tenth"
                       : part >= 0.7 ? " next fifth"
                                     : " others")]
            .add(each.result);
    }
    return results;
}

/// Results of several runs with different seeds, so that small groups count.
struct pooled_results
{
    std::map<std::string, tally> groups;
    std::map<std::string_view, int> rules;
    int expired = 0;
    int preempted = 0;

    void add(const simulation &inRun)
    {
        for (const auto &[name, each] : resultsOf(inRun)) {
            groups[name].inTime += each.inTime;
            groups[name].late += each.late;
            groups[name].refused += each.refused;
        }
        expired += inRun.expired();
        preempted += inRun.preempted();
        for (const auto &[name, count] : inRun.rules())
            rules[name] += count;
    }

    double benefit() const { return groups.at("all").benefit(); }

    /// By how much a kind is served more often than one of higher priority, at most.
    double priorityExcess() const
    {
        double worst = -1;
        for (const kind &higher : cKinds) {
            for (const kind &lower : cKinds) {
                if (higher.priority < lower.priority)
                    worst = std::max(worst,
                                     groups.at("kind " + lower.name).served()
                                         - groups.at("kind " + higher.name).served());
            }
        }
        return worst;
    }

    /// Served share of the largest tenth of a kind and the fifth below it, relative to the kind.
    double lowestSizeRatio() const
    {
        double worst = 1;
        for (const kind &each : cKinds) {
            for (const char *part : {" largest tenth", " next fifth"})
                worst = std::min(worst,
                                 groups.at("size " + each.name + part).served()
                                     / groups.at("kind " + each.name).served());
        }
        return worst;
    }

    /// Served share of an account or a kind, relative to all.
    double lowestGroupRatio() const
    {
        double worst = 1;
        for (const auto &[name, each] : groups) {
            if (!name.starts_with("size"))
                worst = std::min(worst, each.served() / groups.at("all").served());
        }
        return worst;
    }

    void print(const char *inTitle) const
    {
        std::printf("%s: benefit %.3f, priority excess %.3f, size ratio %.3f, group ratio %.3f\n",
                    inTitle, benefit(), priorityExcess(), lowestSizeRatio(), lowestGroupRatio());
        std::printf("  sent and expired %d, preempted %d;", expired, preempted);
        for (const auto &[name, count] : rules)
            std::printf("  %.*s %d", static_cast<int>(name.size()), name.data(), count);
        std::printf("\n%-30s %8s %8s %8s %8s %8s\n", "", "in time", "late", "refused", "served",
                    "benefit");
        for (const auto &[name, each] : groups)
            std::printf("%-30s %8d %8d %8d %8.3f %8.3f\n", name.c_str(), each.inTime, each.late,
                        each.refused, each.served(), each.benefit());
    }
};

pooled_results runAll(policy inPolicy, double inFactor)
{
    constexpr unsigned cSeeds = 10;
    pooled_results results;
    for (unsigned seed = 1; seed <= cSeeds; ++seed) {
        simulation run(inPolicy, seed, inFactor);
        run.run();
        results.add(run);
    }
    return results;
}

} // namespace

TEST_CASE("the overload policy serves more in time than today's rule and earliest deadline first")
{
    for (const double factor : {2.0, 3.0}) {
        std::printf("traffic times %.0f\n", factor);
        const pooled_results today = runAll(policy::today, factor);
        today.print("today's rule");
        const pooled_results deadline = runAll(policy::earliest_deadline, factor);
        deadline.print("earliest deadline first");
        const pooled_results weighed = runAll(policy::overload, factor);
        weighed.print("overload policy");
        CHECK(weighed.benefit() > today.benefit() + 0.04);
        CHECK(weighed.benefit() > deadline.benefit() + 0.04);
        CHECK(weighed.priorityExcess() <= 0.05);
        CHECK(weighed.lowestSizeRatio() >= 0.5);
        CHECK(weighed.lowestGroupRatio() >= 0.25);
    }
}

TEST_CASE("the overload policy refuses hardly more than today's rule at the usual traffic")
{
    const pooled_results today = runAll(policy::today, 1);
    const pooled_results weighed = runAll(policy::overload, 1);
    today.print("today's rule");
    weighed.print("overload policy");
    CHECK(weighed.benefit() >= today.benefit());
    CHECK(weighed.groups.at("all").served() >= today.groups.at("all").served() - 0.002);
}
