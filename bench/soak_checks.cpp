#include "bench/soak_checks.h"

#include <algorithm>
#include <limits>

#include <nlohmann/json.hpp>

namespace corneltally::bench {

namespace {

using nlohmann::json;

constexpr int cEvents = 6;
/// Runs of one request that ends its engine: three that show it, and those that other instances
/// begin before they hear of them, also while instances are cut off, paused or started again.
constexpr int cMaxDeadlyRuns = 6;
/// One of so many sound calls may be refused in place of one that ends engines.
constexpr std::size_t cCallsPerMistake = 200;
/// Status of a refusal by an endpoint that was taken for another one.
constexpr int cMisdirected = 421;
/// Resolution of the times in the log of an instance.
constexpr double cLogResolution = 0.002;

bool isStream(call_kind inKind)
{
    return inKind == call_kind::chat || inKind == call_kind::resumable;
}

std::string wholeBody(const soak_call &inCall)
{
    if (!isStream(inCall.kind))
        return "ran " + inCall.id;
    std::string text;
    for (int event = 1; event <= cEvents; ++event)
        text += "id: " + std::to_string(event) + "\ndata: " + inCall.id + " "
            + std::to_string(event) + "/" + std::to_string(cEvents) + "\n\n";
    return text;
}

bool promisesNotRun(int inStatus)
{
    return inStatus == 401 || inStatus == 404 || inStatus == 408 || inStatus == 421
        || inStatus == 429 || inStatus == 503;
}

class soak_checker
{
public:
    explicit soak_checker(const soak_facts &inFacts)
        : mFacts(inFacts)
    {
        for (const json &run : inFacts.runs)
            mRuns[run.at("request").get<std::string>()].push_back(&run);
        for (const soak_call &call : inFacts.calls)
            mCalls[call.id] = &call;
    }

    soak_verdict check()
    {
        for (const soak_call &call : mFacts.calls)
            checkCall(call);
        for (const json &run : mFacts.runs)
            checkRun(run);
        checkOrders();
        checkDeadly();
        checkNotices();
        checkEvacuations();
        expect("places for adapters", mFacts.overfull.empty(), "an engine was loaded beyond them");
        return std::move(mVerdict);
    }

private:
    void expect(const std::string &inPromise, bool inHolds, const std::string &inWhat)
    {
        ++mVerdict.checked[inPromise];
        if (!inHolds)
            mVerdict.violations.push_back(inPromise + ": " + inWhat);
    }

    void checkCall(const soak_call &inCall)
    {
        const auto found = mRuns.find(inCall.id);
        const std::size_t runs = found == mRuns.end() ? 0 : found->second.size();
        const std::string what = inCall.id + " status " + std::to_string(inCall.status) + " ran "
            + std::to_string(runs) + " times";
        if (inCall.kind == call_kind::order || inCall.kind == call_kind::chat) {
            expect("at most once", runs <= 1, what);
            if (inCall.complete && promisesNotRun(inCall.status))
                expect("a refusal has not run", runs == 0, what);
        }
        if (inCall.status == 200 && inCall.complete)
            expect("whole answers", inCall.body == wholeBody(inCall), what + ": " + inCall.body);
        if (inCall.status == 200 && !inCall.complete)
            expect("cut answers are a beginning", wholeBody(inCall).starts_with(inCall.body),
                   what + ": " + inCall.body);
        expect("requests that were read are answered",
               !inCall.isLost || isKilled(inCall.instance, inCall.start, inCall.end),
               what + " at " + inCall.instance + " from " + std::to_string(inCall.start) + " to "
                   + std::to_string(inCall.end));
        if (inCall.complete && (inCall.status == 401 || inCall.status == 404))
            expect("proper requests are not denied", isWithdrawn(inCall.key, inCall.end, 0), what);
    }

    bool isKilled(const std::string &inInstance, double inFrom, double inUntil) const
    {
        const auto found = mFacts.kills.find(inInstance);
        return found != mFacts.kills.end() && std::ranges::any_of(found->second, [&](double inAt) {
                   return inAt >= inFrom && inAt <= inUntil;
               });
    }

    bool isWithdrawn(const std::string &inKey, double inAt, double inLater) const
    {
        const auto found = mFacts.withdrawn.find(inKey);
        return found != mFacts.withdrawn.end() && inAt > found->second + inLater;
    }

    void checkRun(const json &inRun)
    {
        const std::string id = inRun.at("request").get<std::string>();
        const auto call = mCalls.find(id);
        // A call that was under way when the callers stopped is not in the list.
        if (call == mCalls.end())
            return;
        expect("the account's own name and no key",
               inRun.at("account") == call->second->account && inRun.at("saw_key") == false,
               id + " as " + inRun.at("account").get<std::string>());
        expect("bodies unchanged", inRun.at("body") == call->second->sentBody, id);
        expect("withdrawn keys",
               !isWithdrawn(call->second->key, call->second->start, mFacts.configurationBound),
               id + " ran on a withdrawn key");
    }

    void checkOrders()
    {
        struct last_order
        {
            std::string holder;
            long long fence = 0;
            double time = 0;
        };
        std::map<std::string, last_order> engines;
        for (const json &order : mFacts.orders) {
            last_order &last = engines[order.at("process").get<std::string>()];
            const std::string holder = order.at("holder").get<std::string>();
            const long long fence = order.at("fence").get<long long>();
            const double time = order.at("time").get<double>();
            const std::string what = order.at("process").get<std::string>() + ": " + last.holder
                + " then " + holder + " after " + std::to_string(time - last.time) + " s, fences "
                + std::to_string(last.fence) + " and " + std::to_string(fence);
            expect("fences grow", fence >= last.fence, what);
            if (!last.holder.empty() && last.holder != holder)
                expect("one holder at a time", time - last.time >= mFacts.holderPause, what);
            last = {holder, std::max(fence, last.fence), time};
        }
    }

    void checkDeadly()
    {
        std::map<std::string, int> runs;
        for (const json &run : mFacts.runs) {
            if (run.at("deadly"))
                ++runs[run.at("path").get<std::string>()];
        }
        for (const auto &[path, count] : runs)
            expect("requests that end engines", count <= cMaxDeadlyRuns,
                   path + " ran " + std::to_string(count) + " times");
        const auto isMistaken = [](const soak_call &inCall) {
            return !inCall.isDeadly && inCall.body.find("quarantine") != std::string::npos;
        };
        const auto mistakes
            = static_cast<std::size_t>(std::ranges::count_if(mFacts.calls, isMistaken));
        expect("sound requests beside those that end engines",
               mistakes * cCallsPerMistake <= mFacts.calls.size(),
               std::to_string(mistakes) + " of " + std::to_string(mFacts.calls.size())
                   + " refused as in quarantine");
    }

    /// When a notice no longer holds: its pause is over, or the instance is another process.
    double endOf(const soak_notice &inNotice) const
    {
        const double end = inNotice.leaving ? std::numeric_limits<double>::infinity()
                                            : inNotice.at + inNotice.pause;
        const auto starts = mFacts.starts.find(inNotice.instance);
        if (starts == mFacts.starts.end())
            return end;
        const auto next = std::ranges::upper_bound(starts->second, inNotice.at);
        return next == starts->second.end() ? end : std::min(end, *next);
    }

    void checkNotices()
    {
        std::map<std::string, std::vector<const json *>> contacts;
        for (const auto *facts : {&mFacts.runs, &mFacts.refused}) {
            for (const json &fact : *facts)
                contacts[fact.at("process").get<std::string>()].push_back(&fact);
        }
        for (const soak_notice &notice : mFacts.notices) {
            const double end = endOf(notice);
            const std::string promise
                = notice.leaving ? "endpoints that leave" : "endpoints that ask for a pause";
            std::size_t late = 0;
            for (const json *contact : contacts[notice.endpoint]) {
                const auto call = mCalls.find(contact->at("request").get<std::string>());
                const double at = contact->at("time").get<double>();
                // A call that began before may have been sent before, and been held up on the way.
                if (call == mCalls.end() || call->second->instance != notice.instance
                    || contact->at("started_ms") != notice.startedMs
                    || call->second->start < notice.at + cLogResolution || at >= end)
                    continue;
                ++late;
            }
            expect(promise, late == 0,
                   notice.endpoint + " got " + std::to_string(late) + " requests from "
                       + notice.instance + " after " + std::to_string(notice.at));
        }
    }

    /// When an evacuation must be in force at an instance. The bound begins anew with the end of
    /// each outage of the store within it.
    double inForceAt(const soak_evacuation &inEvacuation, const std::string &inInstance) const
    {
        double from = inEvacuation.time.from;
        for (bool isMoved = true; isMoved;) {
            isMoved = false;
            for (const std::string &name : {std::string(), inInstance}) {
                const auto outages = mFacts.storeOutages.find(name);
                if (outages == mFacts.storeOutages.end())
                    continue;
                for (const soak_interval &outage : outages->second) {
                    if (outage.from > from + mFacts.evacuationBound || outage.until <= from)
                        continue;
                    from = outage.until;
                    isMoved = true;
                }
            }
        }
        return from + mFacts.evacuationBound;
    }

    void checkEvacuations()
    {
        for (const soak_evacuation &evacuation : mFacts.evacuations) {
            const auto isThere = [&](const json &inFact) {
                const auto domain = mFacts.domains.find(inFact.at("process").get<std::string>());
                return domain != mFacts.domains.end() && domain->second == evacuation.failureDomain;
            };
            const auto isLate = [&](const std::string &inInstance, double inBegun, double inAt) {
                return inBegun > inForceAt(evacuation, inInstance) && inAt < evacuation.time.until;
            };
            long long late = 0;
            for (const auto *facts : {&mFacts.runs, &mFacts.refused}) {
                for (const json &fact : *facts) {
                    const auto call = mCalls.find(fact.at("request").get<std::string>());
                    // A call that began before may have been sent before, and been held up on the
                    // way.
                    if (call != mCalls.end() && isThere(fact)
                        && fact.value("status", 0) != cMisdirected
                        && isLate(call->second->instance, call->second->start,
                                  fact.at("time").get<double>()))
                        ++late;
                }
            }
            expect("evacuated failure domains", late == 0,
                   evacuation.failureDomain + " got " + std::to_string(late)
                       + " requests too late");
            const auto lateOrders = std::ranges::count_if(mFacts.orders, [&](const json &inOrder) {
                const double at = inOrder.at("time").get<double>();
                return isThere(inOrder) && isLate(inOrder.at("holder").get<std::string>(), at, at);
            });
            expect("orders in evacuated failure domains", lateOrders == 0,
                   evacuation.failureDomain + " got " + std::to_string(lateOrders)
                       + " orders too late");
        }
    }

    const soak_facts &mFacts;
    std::map<std::string, std::vector<const json *>> mRuns;
    std::map<std::string, const soak_call *> mCalls;
    soak_verdict mVerdict;
};

} // namespace

soak_verdict checkSoak(const soak_facts &inFacts)
{
    return soak_checker(inFacts).check();
}

} // namespace corneltally::bench
