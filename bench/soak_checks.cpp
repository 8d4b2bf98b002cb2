#include "bench/soak_checks.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace corneltally::bench {

namespace {

using nlohmann::json;

constexpr int cEvents = 6;

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
        if (inCall.complete && (inCall.status == 401 || inCall.status == 404))
            expect("proper requests are not denied", isWithdrawn(inCall.key, inCall.end, 0), what);
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
        expect("bodies unchanged", inRun.at("body") == "body of " + id, id);
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
