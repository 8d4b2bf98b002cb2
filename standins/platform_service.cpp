#include "standins/platform_service.h"

#include <set>

#include <nlohmann/json.hpp>

namespace standins {

namespace core = corneltally::core;
using nlohmann::json;

namespace {

core::duration milliseconds(double inValue)
{
    return core::duration(static_cast<long long>(inValue * 1000));
}

} // namespace

platform_service::platform_service(host &inHost, const platform_options &inOptions)
    : mHost(inHost)
    , mLog(inHost, inOptions)
    , mWeights(inHost, inOptions)
    , mInstances(milliseconds(inOptions.listLagMs))
    , mListOutage(inHost.loop())
{ }

void platform_service::handle(const exchange_pointer &inExchange)
{
    const std::string &path = inExchange->path();
    if (path.starts_with("/control/"))
        control(inExchange);
    else if (path.starts_with("/v1/log/"))
        mLog.handle(inExchange);
    else if (path.starts_with("/v1/weights/"))
        mWeights.handle(inExchange);
    else if (path == "/v1/instances")
        mListOutage.guard(inExchange, [this, inExchange] {
            inExchange->replyJson(200, mInstances.shown(core::boot_clock::now()));
        });
    else
        inExchange->replyJson(404, R"({"error":{"type":"not_found"}})");
}

void platform_service::control(const exchange_pointer &inExchange)
{
    const std::string what = inExchange->path().substr(std::string("/control/").size());
    bool known = true;
    try {
        if (what == "outage")
            known = controlOutage(inExchange->body());
        else if (what == "log")
            controlLog(inExchange->body());
        else if (what == "weights")
            controlWeights(inExchange->body());
        else if (what == "instances")
            mInstances.set(
                json{{"instances", json::parse(inExchange->body()).at("instances")}}.dump(),
                core::boot_clock::now());
        else
            known = false;
    } catch (const json::exception &failure) {
        inExchange->replyJson(400, json{{"error", failure.what()}}.dump());
        return;
    }
    inExchange->replyJson(known ? 200 : 404, known ? R"({"ok":true})" : R"({"ok":false})");
}

bool platform_service::controlOutage(const std::string &inBody)
{
    const json body = json::parse(inBody);
    const auto part = body.value("part", std::string("all"));
    const auto mode = body.at("mode").get<std::string>();
    const core::duration delay = milliseconds(body.value("slow_ms", 1000.0));
    mHost.facts().write("outage", {{"part", part}, {"mode", mode}});
    bool known = false;
    if (part == "log" || part == "all")
        known = mLog.setOutage(mode, delay);
    if (part == "weights" || part == "all")
        known = mWeights.state().set(mode, delay);
    if (part == "list" || part == "all")
        known = mListOutage.set(mode, delay);
    return known;
}

void platform_service::controlLog(const std::string &inBody)
{
    const json body = json::parse(inBody);
    const auto stream = body.value("stream", std::string());
    if (body.contains("lose_answers"))
        mLog.loseAnswers(stream, body.at("lose_answers").get<long long>());
    if (body.contains("retain_records") || body.contains("retain_seconds"))
        mLog.setRetention(stream,
                          {.records = body.value("retain_records", std::size_t{1'000'000}),
                           .age = milliseconds(body.value("retain_seconds", 172'800.0) * 1000)});
}

void platform_service::controlWeights(const std::string &inBody)
{
    const json body = json::parse(inBody);
    if (body.contains("fail_next"))
        mWeights.failNext(body.at("fail_next").get<long long>());
    if (body.contains("fail_adapters"))
        mWeights.failAdapters(body.at("fail_adapters").get<std::set<std::string>>());
}

} // namespace standins
