#include "review/harness-2/late_orders.h"

#include <cstdio>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int cMachines = 4;
constexpr int cEngines = 36;
constexpr auto cWarmUp = 4s;
constexpr auto cLength = 100s;
constexpr double cCallsPerSecond = 270;
/// Adapters that are asked for; the engines have places for half of them.
constexpr int cAdapters = 600;
constexpr auto cPatience = 15s;
/// Share of the callers that leave early, after how long, and for how long in each period some do.
constexpr double cLeavingShare = 0.3;
constexpr auto cLeavingPatience = 1500ms;
constexpr auto cLeavingWindow = 5500ms;
constexpr auto cLeavingPeriod = 7000ms;
/// Share of the orders without an answer, the bounds of their delay, and for how long in each
/// period orders get no answer.
constexpr const char *cLateShare = "0.35";
constexpr const char *cLateMinMs = "2000";
constexpr const char *cLateMaxMs = "4000";
constexpr const char *cLateWindowMs = "6000";
constexpr const char *cLatePeriodMs = "7000";

} // namespace

late_orders_run::late_orders_run(const late_orders_options &inOptions)
    : mRecord(inOptions.record)
    , mSite({.folder = inOptions.folder,
             .subnet = inOptions.subnet,
             .machines = cMachines,
             .engines = cEngines,
             .applications = 1,
             .engineProgram = "standin_review_engine",
             .engineFlags = {"--late-share", inOptions.leavesOrders ? cLateShare : "0",
                             "--late-min-ms", cLateMinMs, "--late-max-ms", cLateMaxMs,
                             "--late-window-ms", cLateWindowMs, "--late-period-ms", cLatePeriodMs,
                             "--repeated-unload", std::to_string(inOptions.repeatedUnloadStatus)}})
    , mCallers(deployment::cHost)
    , mCallersLeave(inOptions.callersLeave)
{ }

int late_orders_run::run()
{
    if (!mSite.start())
        return 2;
    mCallers.run(steady::now() + cWarmUp);
    mStart = steady::now();
    mRecord.note("traffic starts");
    auto next = mStart;
    while (steady::now() < mStart + cLength && mSite.endedEndpoints().empty()) {
        mCallers.run(steady::now() + 2ms);
        for (; steady::now() >= next;
             next += std::chrono::duration_cast<steady::duration>(std::chrono::duration<double>(
                 std::exponential_distribution<double>(cCallsPerSecond)(mRandom))))
            send();
    }
    mCallers.run(steady::now() + 300ms);
    return judge();
}

void late_orders_run::send()
{
    const int machine = 1 + static_cast<int>(mRandom() % cMachines);
    const std::string number = std::to_string(++mSent);
    const int adapter = static_cast<int>(mRandom() % cAdapters);
    const bool leaves = mCallersLeave && (steady::now() - mStart) % cLeavingPeriod < cLeavingWindow
        && std::bernoulli_distribution(cLeavingShare)(mRandom);
    const int tokens = 200 + static_cast<int>(mRandom() % 400);
    mCallers.send({.id = "r" + number,
                   .method = "POST",
                   .path = "/quote-chat/" + number,
                   .key = deployment::cKey,
                   .model = std::string(deployment::cModel) + "/a" + std::to_string(adapter),
                   .tokens = "130," + std::to_string(tokens),
                   .parts = "c0ffee:40,5e" + std::to_string(100'000 + mSent) + ":90",
                   .body = "prompt " + number,
                   .patience = leaves ? cLeavingPatience : std::chrono::milliseconds(cPatience)},
                  machine, mSite.addressOf(machine), mSite.callerPort());
}

int late_orders_run::judge()
{
    for (const caller_call &call : mCallers.calls())
        mRecord.noteAt(call.sentAt,
                       "sent " + call.request.id + " for " + call.request.model + " to machine "
                           + std::to_string(call.machine) + ": " + std::to_string(call.status)
                           + (call.complete ? " complete" : " not complete"));
    for (const char *kind : {"run", "order_unanswered", "order", "unloaded", "limit"}) {
        for (const json &fact : mSite.facts(kind))
            mRecord.note(fact.dump());
    }
    const std::vector<json> limits = mSite.facts("limit");
    long long lost = 0;
    for (const json &limit : limits)
        lost += limit.value("runs", 0LL);
    const std::string result = std::to_string(mCallers.calls().size()) + " requests, "
        + std::to_string(mSite.facts("order").size()) + " orders, "
        + std::to_string(mSite.facts("order_unanswered").size()) + " of them late; "
        + std::to_string(limits.size())
        + " engines were ordered to load beyond their places and crashed, with "
        + std::to_string(lost) + " requests running";
    mRecord.note(result);
    std::puts(result.c_str());
    return limits.empty() ? 0 : 1;
}

} // namespace review
