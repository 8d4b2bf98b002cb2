#include "standins/application_service.h"

#include "standins/host.h"
#include "standins/outage.h"

#include <nlohmann/json.hpp>

namespace standins {

namespace core = corneltally::core;
using nlohmann::json;

namespace {

/// The order named in a body; empty if there is none.
std::string orderOf(const std::string &inBody)
{
    const json body = json::parse(inBody, nullptr, false);
    if (!body.is_object() || !body.contains("order"))
        return {};
    const json &order = body.at("order");
    return order.is_string() ? order.get<std::string>() : order.dump();
}

core::duration milliseconds(double inValue)
{
    return core::duration(static_cast<long long>(inValue * 1000));
}

} // namespace

application_service::application_service(host &inHost, double inServiceMs)
    : mHost(inHost)
    , mServiceMs(inServiceMs)
{ }

void application_service::handle(const exchange_pointer &inExchange)
{
    const std::string &path = inExchange->path();
    if (path.starts_with("/control/")) {
        control(inExchange);
    } else if (path == "/v1/orders" && inExchange->method() == "GET") {
        listOrders(inExchange);
    } else if (sTakeOne(mFaults.refuse)) {
        mHost.facts().write("refused", {{"request_id", inExchange->header("X-Request-Id")}});
        inExchange->replyJson(503, R"({"error":{"type":"unavailable","run":"not_run"}})",
                              {{"X-Not-Run", "true"}});
    } else {
        runLater(mHost.loop(), milliseconds(mServiceMs + mFaults.delayMs),
                 [this, inExchange] { run(inExchange); });
    }
}

void application_service::control(const exchange_pointer &inExchange)
{
    const json body = json::parse(inExchange->body(), nullptr, false);
    if (!body.is_object()) {
        inExchange->replyJson(400, R"({"ok":false})");
        return;
    }
    mFaults.delayMs = body.value("delay_ms", mFaults.delayMs);
    mFaults.lateMs = body.value("late_ms", mFaults.lateMs);
    mFaults.closeAfterRun = body.value("close_after_run", mFaults.closeAfterRun);
    mFaults.refuse = body.value("refuse", mFaults.refuse);
    if (body.contains("leaving")) {
        mLeaving = body.value("leaving", false);
        mHost.facts().write("leaving", {{"leaving", mLeaving}});
    }
    inExchange->replyJson(200, R"({"ok":true})");
}

void application_service::run(const exchange_pointer &inExchange)
{
    // A request that arrived runs even if its caller has left meanwhile.
    const std::string orderId(inExchange->header("X-Order-Id"));
    const std::string order = orderOf(inExchange->body());
    long long runs = 0;
    if (!order.empty())
        runs = ++mRunsByOrder[order];
    if (!orderId.empty())
        runs = ++mRunsByOrderId[orderId];
    const bool closes = sTakeOne(mFaults.closeAfterRun);
    mHost.facts().write("order_run",
                        {{"order_id", orderId},
                         {"order", order},
                         {"path", inExchange->path()},
                         {"request_id", inExchange->header("X-Request-Id")},
                         {"account", inExchange->header("X-Account")},
                         {"headers", host::sHeaderNames(*inExchange)},
                         {"secret_seen", mHost.seesSecret(*inExchange)},
                         {"answer_lost", closes},
                         {"leaving", mLeaving}});
    if (closes) {
        inExchange->abort();
        return;
    }
    if (mFaults.lateMs > 0)
        runLater(mHost.loop(), milliseconds(mFaults.lateMs),
                 [this, inExchange, order, runs] { answer(inExchange, order, runs); });
    else
        answer(inExchange, order, runs);
}

void application_service::answer(const exchange_pointer &inExchange, const std::string &inOrder,
                                 long long inRuns)
{
    const json request = json::parse(inExchange->body(), nullptr, false);
    const json body{{"order", inOrder},
                    {"item", request.is_object() ? request.value("item", json()) : json()},
                    {"path", inExchange->path()},
                    {"request_id", std::string(inExchange->header("X-Request-Id"))},
                    {"endpoint", mHost.name()},
                    {"runs", inRuns}};
    inExchange->replyJson(200, body.dump());
}

void application_service::listOrders(const exchange_pointer &inExchange) const
{
    inExchange->replyJson(200,
                          json{{"by_order_id", mRunsByOrderId}, {"by_order", mRunsByOrder}}.dump());
}

bool application_service::sTakeOne(long long &ioCount)
{
    if (ioCount > 0)
        --ioCount;
    else if (ioCount == 0)
        return false;
    return true;
}

} // namespace standins
