#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/entry/settings_messages.h"
#include "corneltally/http/server.h"
#include "corneltally/kernel/service.h"

#include <memory>
#include <string>
#include <string_view>

namespace corneltally::kernel {
class service_registry;
}

namespace corneltally::core {
class metrics;
}

namespace corneltally::entry {

/// HTTP API for operators: /healthz, /readyz, /metrics, /dump and /version.
class operator_api_service : public kernel::service
{
public:
    operator_api_service(kernel::service_registry &inRegistry, core::metrics &inMetrics,
                         std::string inInstance, http::address inListen);

    std::string_view name() const override { return "operator_api"; }
    void start() override { }

    /// Binds the listener. Returns false if the address is in use.
    bool listen();
    unsigned short port() const { return mServer.port(); }

private:
    void serve(http::exchange &ioExchange);
    void serveReadiness(http::exchange &ioExchange) const;

    kernel::service_registry &mRegistry;
    core::metrics &mMetrics;
    std::string mInstance;
    http::address mListen;
    http::server mServer;
    std::shared_ptr<const settings::settings_index> mSettingsIndex;
    core::time_point mStartedAt = core::boot_clock::now();
    bool mDraining = false;
};

} // namespace corneltally::entry
