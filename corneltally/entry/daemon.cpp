#include "corneltally/entry/daemon.h"

#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/entry/admission_service.h"
#include "corneltally/entry/claims_service.h"
#include "corneltally/entry/dispatch_service.h"
#include "corneltally/entry/drain_service.h"
#include "corneltally/entry/front_end_service.h"
#include "corneltally/entry/instance_list_service.h"
#include "corneltally/entry/operator_api_service.h"
#include "corneltally/entry/owner_service.h"
#include "corneltally/entry/peers_service.h"
#include "corneltally/entry/settings_sync_service.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/settings/process_settings.h"

#include <chrono>
#include <csignal>
#include <cstdint>
#include <iostream>
#include <memory>
#include <string>

namespace corneltally::entry {

namespace {

using namespace std::chrono_literals;

/// Gap between two iterations of the event loop after which leases, loans and keys may be outdated.
constexpr core::duration cPauseLimit = 1s;

std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

http::server_limits callerLimits(const settings::process_limits &inLimits)
{
    return {.maxBodyBytes = static_cast<std::uint64_t>(inLimits.maxBodyBytes),
            .requestTimeout = std::chrono::milliseconds(inLimits.requestTimeoutMs),
            .idleTimeout = std::chrono::milliseconds(inLimits.idleTimeoutMs),
            .maxConnections = static_cast<std::uint64_t>(inLimits.maxConnections)};
}

/// Replaces the claims service if that guard is disabled; only for tests. Each request is granted
/// its key without an order on the log.
void grantAllClaims(kernel::service_registry &ioRegistry)
{
    ioRegistry.handle<claim_begin>("claims", [&ioRegistry](const claim_begin &inBegin) {
        ioRegistry.post("front_end",
                        claim_result{.requestId = inBegin.requestId,
                                     .outcome = claim_outcome::granted,
                                     .claimId = inBegin.requestId});
    });
    ioRegistry.handle<claim_cancel>("claims", [](const claim_cancel &) {});
    ioRegistry.handle<claim_finish>("claims", [](const claim_finish &) {});
    ioRegistry.handle<claim_release>("claims", [](const claim_release &) {});
}

/// The services of one entry instance.
class daemon
{
public:
    explicit daemon(const settings::process_settings &inSettings)
        : mIncarnation(newIncarnation())
        , mRegistry(mLoop)
        , mFrontEnd(mRegistry.add(std::make_unique<front_end_service>(
              mRegistry, mMetrics,
              front_end_options{.instance = inSettings.instanceName,
                                .incarnation = mIncarnation,
                                .listen = http::parseAddress(inSettings.callers),
                                .limits = callerLimits(inSettings.limits),
                                .maxUnsentBytes
                                = static_cast<std::size_t>(inSettings.limits.maxUnsentBytes),
                                .keepFirstSettings = inSettings.brokenGuard == "withdraw"})))
        , mOperatorApi(mRegistry.add(
              std::make_unique<operator_api_service>(mRegistry, mMetrics, inSettings.instanceName,
                                                     http::parseAddress(inSettings.operators))))
        , mPeers(mRegistry.add(std::make_unique<peers_service>(
              mRegistry,
              peers_options{.instance = inSettings.instanceName,
                            .incarnation = mIncarnation,
                            .listen = http::parseAddress(inSettings.peers),
                            .addresses
                            = {inSettings.peerAddresses.begin(), inSettings.peerAddresses.end()}})))
        , mDrain(mRegistry.add(std::make_unique<drain_service>(mRegistry)))
    {
        mRegistry.add(
            std::make_unique<dispatch_service>(mRegistry, mMetrics, inSettings.instanceName));
        mRegistry.add(std::make_unique<settings_sync_service<platform::log_client>>(
            mRegistry,
            std::make_unique<platform::log_client>(mLoop,
                                                   http::parseAddress(inSettings.platformAddress)),
            settings_sync_options{.instance = inSettings.instanceName,
                                  .endpointAddresses = inSettings.endpointAddresses}));
        mRegistry.add(std::make_unique<instance_list_service>(
            mRegistry, http::parseAddress(inSettings.platformAddress)));
        mRegistry.add(std::make_unique<owner_service>(
            mRegistry,
            owner_options{.instance = inSettings.instanceName,
                          .incarnation = mIncarnation,
                          .platform = http::parseAddress(inSettings.platformAddress),
                          .ignoreUnknownUse = inSettings.brokenGuard == "fence"}));
        mRegistry.add(std::make_unique<admission_service>(
            mRegistry, inSettings.instanceName, mIncarnation, inSettings.brokenGuard == "shares"));
        if (inSettings.brokenGuard == "claim") {
            grantAllClaims(mRegistry);
            return;
        }
        mRegistry.add(std::make_unique<claims_service<platform::log_client>>(
            mRegistry,
            std::make_unique<platform::log_client>(mLoop,
                                                   http::parseAddress(inSettings.platformAddress)),
            inSettings.instanceName, mIncarnation));
    }

    bool listen()
    {
        return checkListen(mFrontEnd.listen(), "callers")
            && checkListen(mOperatorApi.listen(), "operators")
            && checkListen(mPeers.listen(), "peers");
    }

    void run(const std::string &inName)
    {
        for (const int signal : {SIGTERM, SIGINT})
            mLoop.onSignal(signal, [this] { mDrain.begin(); });
        mLoop.watchPauses(cPauseLimit, [this](core::duration inGap) {
            core::logEvent(core::log_level::warning, "paused",
                           {{"seconds", std::chrono::duration<double>(inGap).count()}});
            mRegistry.broadcast(process_paused{inGap});
        });
        mRegistry.startAll();
        std::cout << R"({"ready":true,"name":")" << core::jsonEscape(inName)
                  << R"(","ports":{"callers":)" << mFrontEnd.port() << R"(,"operators":)"
                  << mOperatorApi.port() << R"(,"peers":)" << mPeers.port() << "}}" << std::endl;
        mLoop.run();
    }

private:
    static bool checkListen(bool inListening, std::string_view inWhat)
    {
        if (!inListening) {
            core::logEvent(core::log_level::error, "listen_failed",
                           {{"listener", inWhat}, {"remedy", "choose a free address in [listen]"}});
        }
        return inListening;
    }

    std::uint64_t mIncarnation;
    kernel::event_loop mLoop;
    core::metrics mMetrics;
    kernel::service_registry mRegistry;
    front_end_service &mFrontEnd;
    operator_api_service &mOperatorApi;
    peers_service &mPeers;
    drain_service &mDrain;
};

} // namespace

int runEntry(const settings::process_settings &inSettings)
{
    core::initializeLog("corneltally", inSettings.instanceName);
    daemon instance(inSettings);
    if (!instance.listen())
        return 1;
    instance.run(inSettings.instanceName);
    core::logEvent(core::log_level::info, "stopped");
    return 0;
}

} // namespace corneltally::entry
