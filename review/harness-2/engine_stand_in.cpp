#include "review/harness-2/engine_stand_in.h"

#include "platform/names.h"
#include "standins/ledger.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <functional>
#include <string_view>
#include <utility>

namespace review {

using namespace std::chrono_literals;
using nlohmann::json;
namespace http = corneltally::http;
namespace platform = corneltally::platform;

namespace {

constexpr const char *cModel = "base";
constexpr long long cCapacity = 64;
constexpr std::size_t cMaxArriving = 4;
constexpr auto cLoadTime = 250ms;
constexpr auto cSnapshotPeriod = 50ms;
/// Reports are this many snapshots old.
constexpr std::size_t cReportLag = 5;
constexpr int cLimitExit = 5;

std::string field(const http::exchange &inExchange, std::string_view inName)
{
    return std::string(inExchange.header(inName));
}

} // namespace

engine_stand_in::engine_stand_in(standins::host &inHost, engine_options inOptions)
    : mHost(inHost)
    , mOptions(std::move(inOptions))
    , mClient(inHost.loop())
    , mHeartbeat(inHost.loop(), [this] { heartbeat(); })
    , mSnapshots(inHost.loop(), [this] { takeSnapshot(); })
    , mBorn(static_cast<std::uint64_t>(standins::wallSeconds() * 1000))
    , mRandom(static_cast<std::uint64_t>(mOptions.seed))
{ }

engine_stand_in::~engine_stand_in() = default;

void engine_stand_in::start(unsigned short inPort)
{
    mAddress = "127.0.0.1:" + std::to_string(inPort);
    takeSnapshot();
    mSnapshots.startRepeating(cSnapshotPeriod);
    mHeartbeat.startRepeating(std::chrono::milliseconds(mOptions.heartbeatMs));
    heartbeat();
}

void engine_stand_in::heartbeat()
{
    const json entry{{"service", "taug-lm"}, {"address", mAddress},   {"zone", mOptions.zone},
                     {"version", "1"},       {"capacity", cCapacity}, {"state", "ready"},
                     {"born", mBorn},        {"sequence", mSequence}, {"stage", "both"},
                     {"models", modelsNow()}};
    http::fetch(mClient,
                {.target = http::parseAddress(mOptions.store),
                 .method = "POST",
                 .path = "/control/heartbeat",
                 .body = json{{"key", mHost.name()}, {"entry", entry}}.dump(),
                 .timeout = 1s},
                [](const http::response &) {});
}

json engine_stand_in::modelsNow() const
{
    json adapters = json::array();
    for (const auto &[name, version] : mAdapters)
        adapters.push_back(name + "@" + std::to_string(version));
    return json::array({{{"name", cModel}, {"version", 1}, {"adapters", adapters}}});
}

void engine_stand_in::takeSnapshot()
{
    json coming = json::array();
    for (const auto &[name, version] : mArriving)
        coming.push_back(std::string(cModel) + "/" + name + "@" + std::to_string(version));
    mReports.push_back({{"stage", "both"},
                        {"models", modelsNow()},
                        {"busy", false},
                        {"sequence", mSequence},
                        {"waiting", 0},
                        {"running", mRuns.size()},
                        {"born", mBorn},
                        {"kv-used", 0},
                        {"kv-total", 277'092},
                        {"handles", 0},
                        {"coming", coming}});
    while (mReports.size() > cReportLag)
        mReports.pop_front();
}

void engine_stand_in::handle(const exchange_pointer &inExchange)
{
    const std::string expected = field(*inExchange, platform::cExpectInstanceField);
    if (!expected.empty() && expected != mHost.name())
        refuse(inExchange, 421);
    else if (inExchange->path() == platform::cReportPath)
        inExchange->replyJson(200, mReports.front().dump());
    else if (inExchange->path() == platform::cOrderPath)
        order(inExchange);
    else
        request(inExchange);
}

void engine_stand_in::refuse(const exchange_pointer &inExchange, int inStatus)
{
    inExchange->reply(
        inStatus,
        {{std::string(platform::cRequestIdField), field(*inExchange, platform::cRequestIdField)},
         {std::string(platform::cNotExecutedField), "1"}},
        "not run");
}

void engine_stand_in::request(const exchange_pointer &inExchange)
{
    const std::string wanted = field(*inExchange, platform::cModelField);
    const std::string adapter = wanted.substr(wanted.find('/') + 1);
    // Requests that an order concerns wait for its end elsewhere.
    if (mArriving.contains(adapter) || mUnloading == adapter || std::ssize(mRuns) >= cCapacity) {
        refuse(inExchange, 503);
        return;
    }
    if (!mAdapters.contains(adapter)) {
        refuse(inExchange, 421);
        return;
    }
    run &started = mRuns.emplace_back();
    started.exchange = inExchange;
    started.id = field(*inExchange, platform::cRequestIdField);
    started.adapter = adapter;
    const std::string tokens = field(*inExchange, platform::cTokenCountField);
    started.events = std::max(1LL, std::atoll(tokens.c_str() + tokens.find(',') + 1) / 4);
    started.timer = std::make_unique<corneltally::kernel::timer>(
        mHost.loop(), [this, target = &started] { advance(*target); });
    started.timer->startOnce(std::chrono::milliseconds(mOptions.eventMs));
    mHost.facts().write("run", {{"request", started.id}, {"adapter", adapter}});
}

void engine_stand_in::advance(run &ioRun)
{
    if (!ioRun.exchange->isStreaming() && ioRun.event == 0)
        ioRun.exchange->startStream(
            200,
            {{std::string(platform::cRequestIdField), ioRun.id},
             {std::string(platform::cSealField), mHost.name() + "." + ioRun.id},
             {"Content-Type", "text/event-stream"}});
    ++ioRun.event;
    ioRun.exchange->sendChunk("id: " + std::to_string(ioRun.event) + "\ndata: " + ioRun.id
                              + "\n\n");
    if (ioRun.event < ioRun.events) {
        ioRun.timer->startOnce(std::chrono::milliseconds(mOptions.eventMs));
        return;
    }
    ioRun.exchange->endStream();
    mHost.facts().write("run_ended", {{"request", ioRun.id}});
    // The timer that calls this belongs to the run.
    after(0ms, [this, target = &ioRun] {
        mRuns.remove_if([&](const run &inRun) { return &inRun == target; });
        endUnload();
    });
}

void engine_stand_in::after(std::chrono::milliseconds inDelay, std::function<void()> inTask)
{
    mTasks.emplace_back(mHost.loop(), std::move(inTask));
    mTasks.back().startOnce(inDelay);
}

bool engine_stand_in::isRunning(const std::string &inAdapter) const
{
    return std::ranges::any_of(mRuns, [&](const run &inRun) { return inRun.adapter == inAdapter; });
}

/// An unload waits for its runs to finish.
void engine_stand_in::endUnload()
{
    if (!mUnloading || isRunning(*mUnloading))
        return;
    mHost.facts().write("unloaded", {{"adapter", *mUnloading}});
    mAdapters.erase(*mUnloading);
    mUnloading.reset();
}

bool engine_stand_in::leavesUnanswered()
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
        std::chrono::steady_clock::now() - mStarted);
    return elapsed.count() % mOptions.latePeriodMs < mOptions.lateWindowMs
        && std::bernoulli_distribution(mOptions.lateShare)(mRandom);
}

void engine_stand_in::order(const exchange_pointer &inExchange)
{
    const json body = json::parse(inExchange->body(), nullptr, false);
    if (!body.is_object() || !body.contains("holder") || !body.contains("fencing-token")) {
        inExchange->replyJson(400, "{}");
        return;
    }
    if (leavesUnanswered()) {
        const long long delay = std::uniform_int_distribution<long long>(
            mOptions.lateMinMs, mOptions.lateMaxMs)(mRandom);
        mHost.facts().write("order_unanswered",
                            {{"operation", body.value("operation", "")},
                             {"adapter", body.value("adapter", "")},
                             {"expect", body.value("expect", -1LL)},
                             {"late_ms", delay}});
        mUnanswered.push_back(inExchange);
        after(std::chrono::milliseconds(delay), [this, body] { carryOut(body); });
        return;
    }
    inExchange->replyJson(carryOut(body), json{{"sequence", mSequence}}.dump());
}

int engine_stand_in::carryOut(const json &inOrder)
{
    const std::string adapter = inOrder.value("adapter", "");
    const std::string operation = inOrder.value("operation", "");
    const std::uint64_t before = mSequence;
    int status = 0;
    if (inOrder.value("model", "") != cModel || adapter.empty())
        status = 400;
    else if (inOrder.contains("expect") && inOrder.at("expect").get<std::uint64_t>() != mSequence)
        status = 409;
    else if (mUnloading)
        // Either the same order is being carried out, or another one has to wait.
        status = operation == "unload" && *mUnloading == adapter
            ? static_cast<int>(mOptions.repeatedUnload)
            : 409;
    else
        status = operation == "load" ? load(adapter) : unload(adapter);
    mHost.facts().write("order",
                        {{"holder", inOrder.value("holder", "")},
                         {"operation", operation},
                         {"adapter", adapter},
                         {"expect", inOrder.value("expect", -1LL)},
                         {"sequence", before},
                         {"status", status},
                         {"held", mAdapters.size()},
                         {"arriving", mArriving.size()}});
    return status;
}

int engine_stand_in::load(const std::string &inAdapter)
{
    if (mAdapters.contains(inAdapter) || mArriving.contains(inAdapter))
        return 200;
    if (mArriving.size() >= cMaxArriving)
        return 409;
    if (std::ssize(mAdapters) + std::ssize(mArriving) >= mOptions.adapterSlots) {
        // An engine that is ordered to load more than its places hold crashes.
        mHost.facts().write("limit",
                            {{"adapter", inAdapter},
                             {"held", mAdapters.size()},
                             {"arriving", mArriving.size()},
                             {"places", mOptions.adapterSlots},
                             {"runs", mRuns.size()}});
        std::_Exit(cLimitExit);
    }
    ++mSequence;
    mArriving[inAdapter] = 1;
    after(std::chrono::duration_cast<std::chrono::milliseconds>(cLoadTime),
          [this, inAdapter] { loaded(inAdapter); });
    return 202;
}

void engine_stand_in::loaded(const std::string &inAdapter)
{
    if (mArriving.erase(inAdapter) > 0)
        mAdapters[inAdapter] = 1;
}

int engine_stand_in::unload(const std::string &inAdapter)
{
    if (!mAdapters.contains(inAdapter))
        return mArriving.contains(inAdapter) ? 409 : 200;
    ++mSequence;
    if (isRunning(inAdapter)) {
        mUnloading = inAdapter;
        return 202;
    }
    mAdapters.erase(inAdapter);
    return 200;
}

} // namespace review
