#include "standins/site_endpoint.h"

#include "corneltally/core/boot_clock.h"
#include "platform/names.h"
#include "standins/flag_parser.h"

#include <algorithm>
#include <chrono>
#include <cstdlib>
#include <string_view>
#include <utility>

#include <nlohmann/json.hpp>

namespace standins {

using nlohmann::json;
namespace core = corneltally::core;
namespace http = corneltally::http;
namespace kernel = corneltally::kernel;
namespace platform = corneltally::platform;

namespace {

/// An order that is carried out late takes effect after this time.
constexpr core::duration cLateOrder = std::chrono::milliseconds(700);
/// Exit code of an engine that a deadly part ends.
constexpr int cDeadlyExit = 3;
/// Exit code of a cold endpoint that received too many requests.
constexpr int cColdExit = 4;
/// Value of a fault that is switched on until it is switched off.
constexpr long long cAlways = -1;

std::uint64_t unixMilliseconds()
{
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(
                                          std::chrono::system_clock::now().time_since_epoch())
                                          .count());
}

std::string field(const http::exchange &inExchange, std::string_view inName)
{
    return std::string(inExchange.header(inName));
}

} // namespace

/// A request that the endpoint works on.
struct site_endpoint::run
{
    run(kernel::event_loop &inLoop, exchange_pointer inExchange, std::function<void(run &)> inStep)
        : exchange(std::move(inExchange))
        , timer(inLoop, [this, step = std::move(inStep)] { step(*this); })
    { }

    exchange_pointer exchange;
    kernel::timer timer;
    std::string id;
    std::string adapter;
    bool streams = false;
    bool loses = false;
    bool fails = false;
    bool cuts = false;
    bool isDeadly = false;
    long long event = 0;
    bool done = false;
};

void site_endpoint_options::addFlags(flag_parser &ioFlags)
{
    process.addFlags(ioFlags);
    ioFlags.add("service", "service of the endpoint", service);
    ioFlags.add("domain", "failure domain", failureDomain);
    ioFlags.add("store", "address of the store", store);
    ioFlags.add("advertise", "address that the store lists", advertised);
    ioFlags.add("model", "base model; makes the endpoint an engine", model);
    ioFlags.add("slots", "requests at once", slots);
    ioFlags.add("adapters", "places for adapters", adapterSlots);
    ioFlags.add("work-ms", "time of a plain request", workMs);
    ioFlags.add("load-ms", "time to load an adapter", loadMs);
    ioFlags.add("events", "events of a stream", events);
    ioFlags.add("event-ms", "time between events", eventMs);
    ioFlags.add("heartbeat-ms", "interval of heartbeats", heartbeatMs);
    ioFlags.add("cold-ms", "time after the start in which the endpoint is cold", coldMs);
    ioFlags.add("cold-limit", "requests within a second that end the cold endpoint", coldLimit);
}

site_endpoint::site_endpoint(host &inHost, const site_endpoint_options &inOptions)
    : mHost(inHost)
    , mOptions(inOptions)
    , mClient(inHost.loop())
    , mHeartbeat(inHost.loop(), [this] { heartbeat(); })
    , mStartedMs(unixMilliseconds())
{ }

site_endpoint::~site_endpoint() = default;

void site_endpoint::start(unsigned short inPort)
{
    mAddress
        = mOptions.advertised.empty() ? "127.0.0.1:" + std::to_string(inPort) : mOptions.advertised;
    mHeartbeat.startRepeating(std::chrono::milliseconds(mOptions.heartbeatMs));
    heartbeat();
}

void site_endpoint::heartbeat()
{
    json entry{{"service", mOptions.service},
               {"address", mAddress},
               {"zone", mOptions.failureDomain},
               {"version", "1"},
               {"capacity", mOptions.slots},
               {"state", mFaults["leaving"] != 0 ? "draining" : "ready"},
               {"born", mStartedMs},
               {"sequence", mOrders}};
    if (!mOptions.model.empty())
        entry["models"] = models();
    if (mOptions.coldMs > 0)
        entry["cold-remaining-ms"] = coldLeft().count();
    http::call_request call{.target = http::parseAddress(mOptions.store),
                            .method = "POST",
                            .path = "/control/heartbeat",
                            .body = json{{"key", mHost.name()}, {"entry", entry}}.dump(),
                            .timeout = std::chrono::seconds(1)};
    // A heartbeat that is lost is followed by the next one.
    http::fetch(mClient, std::move(call), [](const http::response &) {});
}

void site_endpoint::handle(const exchange_pointer &inExchange)
{
    if (inExchange->path() == "/control/faults") {
        control(inExchange);
        return;
    }
    if (mFaults["silent"] != 0) {
        mRuns.push_back(std::make_unique<run>(mHost.loop(), inExchange, [](run &) {}));
        return;
    }
    const std::string expected = field(*inExchange, platform::cExpectInstanceField);
    if (!expected.empty() && expected != mHost.name())
        refuse(inExchange, 421, "another endpoint");
    else if (inExchange->path() == platform::cReportPath)
        inExchange->replyJson(200, report().dump());
    else if (inExchange->path() == platform::cOrderPath)
        order(inExchange);
    else
        request(inExchange);
}

void site_endpoint::control(const exchange_pointer &inExchange)
{
    const json body = json::parse(inExchange->body(), nullptr, false);
    for (const auto &[name, value] : body.items())
        mFaults[name]
            = value.is_boolean() ? (value.get<bool>() ? cAlways : 0) : value.get<long long>();
    if (mFaults["silent"] == 0)
        std::erase_if(mRuns, [](const auto &inRun) { return inRun->id.empty(); });
    heartbeat();
    inExchange->replyJson(200, "{}");
}

bool site_endpoint::takeFault(const std::string &inName)
{
    long long &left = mFaults[inName];
    if (left > 0)
        --left;
    else if (left == 0)
        return false;
    return true;
}

/// Fields of all answers to a request.
http::header_list site_endpoint::answerFields(const std::string &inRequest)
{
    http::header_list fields{{std::string(platform::cRequestIdField), inRequest}};
    if (mFaults["say_leaving"] != 0)
        fields.emplace_back(platform::cLeavingField, "1");
    if (mOptions.coldMs > 0)
        fields.emplace_back(platform::cColdField, std::to_string(coldLeft().count()));
    return fields;
}

void site_endpoint::refuse(const exchange_pointer &inExchange, int inStatus, const char *inReason,
                           const http::header_list &inMore)
{
    mHost.facts().write("refused",
                        {{"request", field(*inExchange, platform::cRequestIdField)},
                         {"started_ms", mStartedMs},
                         {"status", inStatus},
                         {"reason", inReason}});
    http::header_list fields = answerFields(field(*inExchange, platform::cRequestIdField));
    fields.emplace_back(platform::cNotExecutedField, "1");
    fields.insert(fields.end(), inMore.begin(), inMore.end());
    inExchange->reply(inStatus, fields, inReason);
}

bool site_endpoint::isRunning(const std::string &inAdapter) const
{
    return std::ranges::any_of(
        mRuns, [&](const auto &inRun) { return !inRun->done && inRun->adapter == inAdapter; });
}

std::chrono::milliseconds site_endpoint::coldLeft() const
{
    const auto left
        = mStarted + std::chrono::milliseconds(mOptions.coldMs) - std::chrono::steady_clock::now();
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::duration_cast<std::chrono::milliseconds>(left));
}

void site_endpoint::countWhileCold()
{
    if (coldLeft().count() == 0)
        return;
    const auto now = std::chrono::steady_clock::now();
    while (!mReceivedWhileCold.empty()
           && now - mReceivedWhileCold.front() > std::chrono::seconds(1))
        mReceivedWhileCold.pop_front();
    mReceivedWhileCold.push_back(now);
    mHost.facts().write("cold_request",
                        {{"started_ms", mStartedMs}, {"in_a_second", mReceivedWhileCold.size()}});
    if (std::ssize(mReceivedWhileCold) > mOptions.coldLimit)
        std::_Exit(cColdExit);
}

void site_endpoint::request(const exchange_pointer &inExchange)
{
    endRuns();
    countWhileCold();
    if (const long long pause = mFaults["pause_ms"]; pause > 0) {
        refuse(inExchange, 503, "pause",
               {{std::string(platform::cRetryAfterField),
                 std::to_string(static_cast<double>(pause) / 1000)}});
        return;
    }
    if (takeFault("refuse")) {
        refuse(inExchange, 503, "full");
        return;
    }
    const std::string wanted = field(*inExchange, platform::cModelField);
    const std::string adapter
        = wanted.find('/') == std::string::npos ? "" : wanted.substr(wanted.find('/') + 1);
    if (!mOptions.model.empty() && !adapter.empty()
        && (!mAdapters.contains(adapter) || adapter == mUnloading)) {
        refuse(inExchange, 421, "the adapter is not here");
        return;
    }
    if (std::ssize(mRuns) >= mOptions.slots) {
        refuse(inExchange, 503, "full");
        return;
    }
    auto started
        = std::make_unique<run>(mHost.loop(), inExchange, [this](run &ioRun) { advance(ioRun); });
    started->id = field(*inExchange, platform::cRequestIdField);
    started->adapter = adapter;
    started->streams = !mOptions.model.empty();
    started->loses = takeFault("lose");
    started->fails = takeFault("fail");
    started->cuts = takeFault("cut");
    started->isDeadly
        = field(*inExchange, platform::cPromptPrefixField).find(std::string(cDeadlyPart) + ":")
        != std::string::npos;
    started->event = std::atoll(field(*inExchange, platform::cLastEventIdField).c_str());
    const std::string account = field(*inExchange, platform::cTenantField);
    mHost.facts().write(
        "run",
        {{"request", started->id},
         {"started_ms", mStartedMs},
         {"account", account},
         {"saw_key", mHost.seesSecret(*inExchange)},
         {"method", inExchange->method()},
         {"path", inExchange->path()},
         {"body", inExchange->body()},
         {"adapter", adapter},
         {"deadly", started->isDeadly},
         {"version", adapter.empty() ? 0 : static_cast<long long>(mAdapters[adapter])},
         {"deadline", field(*inExchange, platform::cDeadlineField)},
         {"after_event", started->event}});
    run *target = started.get();
    inExchange->onClosed([this, target] {
        mHost.facts().write("run_cancelled", {{"request", target->id}});
        target->done = true;
    });
    const auto first = started->streams ? mOptions.eventMs : mOptions.workMs;
    mRuns.push_back(std::move(started));
    target->timer.startOnce(std::chrono::milliseconds(first));
}

void site_endpoint::advance(run &ioRun)
{
    if (ioRun.done)
        return;
    const auto finish = [&] {
        ioRun.done = true;
        mHost.facts().write("run_ended", {{"request", ioRun.id}});
    };
    if (ioRun.isDeadly)
        std::_Exit(cDeadlyExit);
    http::header_list fields = answerFields(ioRun.id);
    fields.emplace_back(platform::cSealField, mHost.name() + "." + ioRun.id);
    if (ioRun.loses) {
        finish();
        ioRun.exchange->abort();
        return;
    }
    if (ioRun.fails) {
        finish();
        ioRun.exchange->reply(500, fields, "failed");
        return;
    }
    if (!ioRun.streams) {
        finish();
        if (ioRun.cuts) {
            ioRun.exchange->startStream(200, fields);
            ioRun.exchange->sendChunk("ran " + ioRun.id);
            ioRun.exchange->abort();
            return;
        }
        ioRun.exchange->reply(200, fields, "ran " + ioRun.id);
        return;
    }
    if (!ioRun.exchange->isStreaming()) {
        http::header_list head = fields;
        head.emplace_back("Content-Type", "text/event-stream");
        ioRun.exchange->startStream(200, head);
    }
    ++ioRun.event;
    const std::string event = "id: " + std::to_string(ioRun.event) + "\ndata: " + ioRun.id + " "
        + std::to_string(ioRun.event) + "/" + std::to_string(mOptions.events) + "\n\n";
    if (ioRun.cuts && ioRun.event * 2 >= mOptions.events) {
        finish();
        ioRun.exchange->sendChunk(event.substr(0, event.size() / 2));
        ioRun.exchange->abort();
        return;
    }
    ioRun.exchange->sendChunk(event);
    if (ioRun.event >= mOptions.events) {
        finish();
        ioRun.exchange->endStream();
        return;
    }
    ioRun.timer.startOnce(std::chrono::milliseconds(mOptions.eventMs));
}

void site_endpoint::endRuns()
{
    std::erase_if(mRuns, [](const auto &inRun) { return inRun->done; });
    if (!mUnloading.empty() && !isRunning(mUnloading)) {
        mAdapters.erase(mUnloading);
        mUnloading.clear();
    }
}

void site_endpoint::order(const exchange_pointer &inExchange)
{
    const json body = json::parse(inExchange->body(), nullptr, false);
    if (!body.is_object()) {
        inExchange->replyJson(400, "{}");
        return;
    }
    mHost.facts().write("order",
                        {{"holder", body.value("holder", "")},
                         {"fence", body.value("fencing-token", 0LL)},
                         {"operation", body.value("operation", "")},
                         {"adapter", body.value("adapter", "")},
                         {"expect", body.value("expect", -1LL)},
                         {"version", body.value("version", 0LL)}});
    if (takeFault("late_orders")) {
        mLoads.emplace_back(mHost.loop(), [this, body] { carryOut(body); });
        mLoads.back().startOnce(cLateOrder);
        inExchange->abort();
        return;
    }
    const int status = carryOut(body);
    inExchange->replyJson(status, json{{"sequence", mOrders}}.dump());
}

int site_endpoint::carryOut(const json &inOrder)
{
    endRuns();
    if (!mUnloading.empty())
        return 409;
    if (inOrder.contains("expect") && inOrder.at("expect").get<std::uint64_t>() != mOrders)
        return 409;
    const std::string adapter = inOrder.value("adapter", "");
    if (inOrder.value("model", "") != mOptions.model || adapter.empty())
        return 400;
    if (inOrder.value("operation", "") == "unload") {
        if (!mAdapters.contains(adapter))
            return 200;
        ++mOrders;
        if (isRunning(adapter)) {
            mUnloading = adapter;
            return 202;
        }
        mAdapters.erase(adapter);
        return 200;
    }
    const std::uint64_t version = inOrder.value("version", std::uint64_t{1});
    if (mAdapters.contains(adapter) && mAdapters.at(adapter) >= version)
        return 200;
    mAdapters.erase(adapter);
    mArriving[adapter] = version;
    ++mOrders;
    if (std::ssize(mAdapters) + std::ssize(mArriving) > mOptions.adapterSlots)
        mHost.facts().write("overfull",
                            {{"adapters", mAdapters.size()}, {"arriving", mArriving.size()}});
    mHost.facts().write("load", {{"adapter", adapter}, {"version", version}});
    mLoads.emplace_back(mHost.loop(), [this, adapter] {
        const auto found = mArriving.find(adapter);
        if (found == mArriving.end())
            return;
        mAdapters[adapter] = found->second;
        mArriving.erase(found);
    });
    mLoads.back().startOnce(std::chrono::milliseconds(mOptions.loadMs));
    return 202;
}

json site_endpoint::models() const
{
    json adapters = json::array();
    for (const auto &[name, version] : mAdapters)
        adapters.push_back(name + "@" + std::to_string(version));
    return json::array({{{"name", mOptions.model}, {"version", 1}, {"adapters", adapters}}});
}

json site_endpoint::report() const
{
    json coming = json::array();
    for (const auto &[name, version] : mArriving)
        coming.push_back(mOptions.model + "/" + name + "@" + std::to_string(version));
    return {{"stage", "both"},     {"models", models()}, {"busy", false},
            {"sequence", mOrders}, {"waiting", 0},       {"running", mRuns.size()},
            {"born", mStartedMs},  {"kv-used", 0},       {"kv-total", 1'000'000},
            {"handles", 0},        {"coming", coming}};
}

} // namespace standins
