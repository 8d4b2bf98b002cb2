#include "corneltally/entry/operator_api_service.h"

#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/entry/owner_messages.h"
#include "corneltally/http/exchange.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/limits/fleet_share.h"
#include "corneltally/settings/settings_index.h"

#include <utility>

namespace corneltally::entry {

operator_api_service::operator_api_service(kernel::service_registry &inRegistry,
                                           core::metrics &inMetrics, std::string inInstance,
                                           http::address inListen)
    : mRegistry(inRegistry)
    , mMetrics(inMetrics)
    , mInstance(std::move(inInstance))
    , mListen(std::move(inListen))
    , mServer(inRegistry.loop(),
              [this](const std::shared_ptr<http::exchange> &inExchange) { serve(*inExchange); })
{
    mRegistry.handle<settings_changed>(name(), [this](const settings_changed &inChange) {
        mSettingsIndex = inChange.settingsIndex;
    });
    mRegistry.handle<drain_started>(name(), [this](const drain_started &) { mDraining = true; });
}

bool operator_api_service::listen()
{
    return mServer.listen(mListen);
}

void operator_api_service::serve(http::exchange &ioExchange)
{
    const std::string &path = ioExchange.path();
    if (ioExchange.method() != "GET") {
        ioExchange.replyJson(405, R"({"error":"use GET"})");
    } else if (path == "/healthz") {
        ioExchange.replyJson(200, R"({"healthy":true})");
    } else if (path == "/readyz") {
        serveReadiness(ioExchange);
    } else if (path == "/metrics") {
        mMetrics.setGauge("settings_version",
                          mSettingsIndex ? static_cast<double>(mSettingsIndex->version()) : 0);
        ioExchange.reply(200, {{"Content-Type", "text/plain; version=0.0.4"}}, mMetrics.toText());
    } else if (path == "/dump") {
        ioExchange.replyJson(200, mRegistry.dumpAll());
    } else if (path == "/version") {
        ioExchange.replyJson(200,
                             "{\"instance\":\"" + core::jsonEscape(mInstance)
                                 + "\",\"settings_version\":"
                                 + std::to_string(mSettingsIndex ? mSettingsIndex->version() : 0)
                                 + ",\"loaded\":" + (mSettingsIndex ? "true" : "false")
                                 + ",\"draining\":" + (mDraining ? "true" : "false") + "}");
    } else {
        ioExchange.replyJson(404,
                             R"({"error":"use /healthz, /readyz, /metrics, /dump or /version"})");
    }
}

void operator_api_service::serveReadiness(http::exchange &ioExchange) const
{
    if (mDraining)
        ioExchange.replyJson(503, R"({"ready":false,"reason":"draining"})");
    else if (!mSettingsIndex)
        ioExchange.replyJson(503, R"({"ready":false,"reason":"the settings are not loaded"})");
    else if (core::boot_clock::now() - mStartedAt < limits::fleet_share::cLoanDuration)
        // A new process may not use its share of the rates yet and would reject its callers.
        ioExchange.replyJson(503, R"({"ready":false,"reason":"the rates are not in force"})");
    else
        ioExchange.replyJson(200, R"({"ready":true})");
}

} // namespace corneltally::entry
