#include "corneltally/forwarding/operator_service.h"

#include "corneltally/core/metrics.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "platform/names.h"

#include <utility>

namespace corneltally::forwarding {

namespace {

constexpr core::duration cCallerTcpTimeout = std::chrono::seconds(5);

} // namespace

operator_service::operator_service(kernel::service_registry &ioRegistry, core::metrics &ioMetrics,
                                   http1::address inListen, std::function<bool()> inReady)
    : mRegistry(ioRegistry)
    , mMetrics(ioMetrics)
    , mListen(std::move(inListen))
    , mReady(std::move(inReady))
    , mListener(ioRegistry.loop(), [this](int inSocket) { accept(inSocket); })
{ }

operator_service::~operator_service() = default;

void operator_service::accept(int inSocket)
{
    const std::uint64_t id = mNextCaller++;
    auto connection = std::make_unique<http1::server_connection>(
        mRegistry.loop(), inSocket, http1::caller_limits{}, cCallerTcpTimeout);
    connection->setEvents(
        {.onRequest = [this, id](const http1::server_request &inRequest) { answer(id, inRequest); },
         .onDrained = {},
         .onClosed =
             [this, id] {
                 const auto found = mCallers.find(id);
                 if (found == mCallers.end())
                     return;
                 mRegistry.loop().post([keep = std::shared_ptr<http1::server_connection>(
                                            std::move(found->second))] {});
                 mCallers.erase(found);
             }});
    mCallers.emplace(id, std::move(connection));
}

void operator_service::answer(std::uint64_t inCaller, const http1::server_request &inRequest)
{
    const auto found = mCallers.find(inCaller);
    if (found == mCallers.end())
        return;
    http1::server_connection &caller = *found->second;
    const std::string &path = inRequest.head.target;
    if (path == platform::cReadyPath || path == "/readyz") {
        const bool ready = mReady();
        caller.respond({.status = ready ? 200 : 503}, ready ? "ready\n" : "not ready\n");
    } else if (path == "/healthz") {
        caller.respond({.status = 200}, "ok\n");
    } else if (path == "/metrics") {
        caller.respond({.status = 200, .fields = {{"Content-Type", "text/plain; version=0.0.4"}}},
                       mMetrics.toText());
    } else if (path == "/dump") {
        caller.respond({.status = 200, .fields = {{"Content-Type", "application/json"}}},
                       mRegistry.dumpAll());
    } else {
        caller.respond({.status = 404}, "unknown path\n");
    }
}

} // namespace corneltally::forwarding
