#pragma once

#include "corneltally/http1/address.h"
#include "corneltally/http1/listener.h"
#include "corneltally/http1/server_connection.h"
#include "corneltally/kernel/service.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace corneltally::core {
class metrics;
}
namespace corneltally::kernel {
class service_registry;
}

namespace corneltally::forwarding {

/// Serves readiness, health, metrics and a state dump to operators and the platform.
class operator_service final : public kernel::service
{
public:
    operator_service(kernel::service_registry &ioRegistry, core::metrics &ioMetrics,
                     http1::address inListen, std::function<bool()> inReady);
    ~operator_service() override;

    std::string_view name() const override { return "operators"; }
    void start() override { }

    bool listen() { return mListener.listen(mListen); }
    unsigned short port() const { return mListener.port(); }

private:
    void accept(int inSocket);
    void answer(std::uint64_t inCaller, const http1::server_request &inRequest);

    kernel::service_registry &mRegistry;
    core::metrics &mMetrics;
    http1::address mListen;
    std::function<bool()> mReady;
    http1::listener mListener;
    std::map<std::uint64_t, std::unique_ptr<http1::server_connection>> mCallers;
    std::uint64_t mNextCaller = 1;
};

} // namespace corneltally::forwarding
