#include "corneltally/forwarding/instance.h"

#include "corneltally/catalog/catalog_service.h"
#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/fleet/mesh_service.h"
#include "corneltally/forwarding/drain_schedule.h"
#include "corneltally/forwarding/front_service.h"
#include "corneltally/forwarding/operator_service.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/orders/order_service.h"
#include "corneltally/settings/forwarding_settings.h"
#include "platform/document_codec.h"
#include "platform/store_client.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace corneltally::forwarding {

namespace {

using milliseconds = std::chrono::milliseconds;

/// After a gap of this length between two iterations of the event loop, leases, rates and loads may
/// be outdated.
constexpr core::duration cPauseThreshold = milliseconds(700);
/// Interval at which a draining instance checks whether all requests have ended.
constexpr core::duration cDrainCheckPeriod = milliseconds(50);
std::uint64_t newIncarnation()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count());
}

std::vector<std::string> splitList(const std::string &inText)
{
    std::vector<std::string> parts;
    std::size_t start = 0;
    while (start <= inText.size()) {
        const std::size_t comma = std::min(inText.find(',', start), inText.size());
        if (comma > start)
            parts.push_back(inText.substr(start, comma - start));
        start = comma + 1;
    }
    return parts;
}

limits::fleet_retry_budget::limits retryLimits(const settings::forwarding_settings &inSettings)
{
    return {.ratio = inSettings.retryRatio,
            .window = milliseconds(inSettings.retryWindowMs),
            .slack = inSettings.retrySlack};
}

/// Bytes that the bodies of requests may take. The rest is for the process itself, for answers and
/// for the buffers of connections.
std::uint64_t bodyBudgetBytes(const settings::forwarding_settings &inSettings)
{
    constexpr std::uint64_t cBytesPerMb = 1024 * 1024;
    constexpr std::uint64_t cBodyShare = 4;
    return static_cast<std::uint64_t>(inSettings.memoryMb) * cBytesPerMb / cBodyShare;
}

/// Wait of reads of the operator records. The bound of evacuations also holds for an instance
/// without others that relay the records, when a read misses a record or its connection is dead.
core::duration operatorWait(const settings::forwarding_settings &inSettings)
{
    constexpr core::duration cReadTime = milliseconds(2000);
    constexpr core::duration cMinWait = milliseconds(500);
    const core::duration usual = catalog::catalog_options().operatorWait;
    if (inSettings.evacuationMs == 0)
        return usual;
    return std::clamp<core::duration>(milliseconds(inSettings.evacuationMs) - cReadTime, cMinWait,
                                      usual);
}

/// Owns the services of a forwarding instance.
class instance
{
public:
    instance(const settings::forwarding_settings &inSettings,
             std::function<std::optional<settings::forwarding_settings>()> inReload)
        : mSettings(inSettings)
        , mReload(std::move(inReload))
        , mIncarnation(newIncarnation())
        , mRegistry(mLoop)
        , mFront(
              mRegistry.add(std::make_unique<front_service>(mRegistry, mMetrics, frontOptions())))
        , mOperators(mRegistry.add(std::make_unique<operator_service>(
              mRegistry, mMetrics, addressOf(inSettings.operators),
              [this] { return mFront.ready(); })))
        , mMesh(mRegistry.add(
              std::make_unique<fleet::mesh_service>(mRegistry, mMetrics, meshOptions())))
        , mOrders(mRegistry.add(
              std::make_unique<orders::order_service>(mRegistry, mMetrics, orderOptions())))
        , mDrainTimer(mLoop, [this] { drainStep(); })
    {
        mRegistry.add(std::make_unique<catalog::catalog_service<platform::store_client>>(
            mRegistry, mMetrics,
            std::make_unique<platform::store_client>(mLoop, addressOf(inSettings.storeAddress)),
            catalog::catalog_options{.instance = inSettings.instanceName,
                                     .operatorTopic = platform::cOperatorTopic,
                                     .endpointTopic = platform::cEndpointTopic,
                                     .fleetTopic = fleet::cFleetTopic,
                                     .operatorWait = operatorWait(inSettings)}));
    }

    bool listen()
    {
        return checkListen(mFront.listen(), "callers")
            && checkListen(mOperators.listen(), "operators")
            && checkListen(mMesh.listen(), "peers");
    }

    void run()
    {
        for (const int signal : {SIGTERM, SIGINT})
            mLoop.onSignal(signal, [this] { beginDrain(); });
        mLoop.onSignal(SIGHUP, [this] { reload(); });
        mLoop.watchPauses(cPauseThreshold, [this](core::duration inGap) {
            core::logEvent(core::log_level::warning, "paused",
                           {{"seconds", std::chrono::duration<double>(inGap).count()}});
            mMetrics.count("pauses_total");
            mFront.paused();
            mOrders.processPaused();
        });
        core::logEvent(core::log_level::info, "started",
                       {{"incarnation", mIncarnation},
                        {"failure_domain", mSettings.failureDomain},
                        {"region", mSettings.region},
                        {"callers", static_cast<int>(mFront.port())},
                        {"operators", static_cast<int>(mOperators.port())},
                        {"peers", static_cast<int>(mMesh.port())}});
        mRegistry.startAll();
        mLoop.run();
        core::logEvent(core::log_level::info, "stopped",
                       {{"requests_left", mFront.running()},
                        {"callers_unfinished", mFront.unfinished()},
                        {"callers_with_input", mFront.withInput()}});
    }

private:
    static http1::address addressOf(const std::string &inText)
    {
        // The settings were validated when they were read.
        return http1::address::sParse(inText).value_or(http1::address{});
    }

    front_options frontOptions() const
    {
        front_options options{.instance = mSettings.instanceName,
                              .failureDomain = mSettings.failureDomain,
                              .listen = addressOf(mSettings.callers),
                              .retries = retryLimits(mSettings),
                              .confirmsEvacuations = mSettings.evacuationMs > 0,
                              .weighsOverload = mSettings.weighsOverload,
                              .bodyBudgetBytes = bodyBudgetBytes(mSettings),
                              .regions = mSettings.regions};
        options.settings.choice.adapterLoad = milliseconds(mSettings.adapterLoadMs);
        options.settings.choice.promptTokensPerMs = mSettings.promptTokensPerMs;
        options.settings.choice.learnsSpeed = mSettings.learnsSpeed;
        options.settings.limitsCold = mSettings.coldOver > 0;
        return options;
    }

    fleet::mesh_options meshOptions() const
    {
        return {.self = {.instance = mSettings.instanceName,
                         .machine = mSettings.machine,
                         .address
                         = addressOf(mSettings.peers).port == 0 ? std::string() : mSettings.peers,
                         .failureDomain = mSettings.failureDomain,
                         .incarnation = mIncarnation},
                .listen = addressOf(mSettings.peers),
                .seeds = splitList(mSettings.seeds)};
    }

    orders::order_options orderOptions() const
    {
        orders::order_options options{.self = {.instance = mSettings.instanceName,
                                               .machine = mSettings.machine,
                                               .incarnation = mIncarnation,
                                               .failureDomain = mSettings.failureDomain},
                                      .failureDomain = mSettings.failureDomain};
        options.claims.handoverPause = milliseconds(mSettings.holderPauseMs);
        options.controller.adapterLoad = milliseconds(mSettings.adapterLoadMs);
        options.learnsLoadTime = mSettings.learnsSpeed;
        options.coldOver = mSettings.coldOver;
        options.coldSlack = mSettings.coldSlack;
        options.confirmsEvacuations = mSettings.evacuationMs > 0;
        return options;
    }

    static bool checkListen(bool inListening, std::string_view inWhat)
    {
        if (!inListening)
            core::logEvent(core::log_level::error, "listen_failed",
                           {{"listener", inWhat}, {"remedy", "choose a free address in [listen]"}});
        return inListening;
    }

    void reload()
    {
        const auto settings = mReload();
        if (!settings) {
            core::logEvent(
                core::log_level::error, "reload_failed",
                {{"remedy", "correct the settings file; the previous settings remain in force"}});
            return;
        }
        mFront.setRetryLimits(retryLimits(*settings));
        mFront.setRegions(settings->regions);
        mSettings.stopMs = settings->stopMs;
        core::logEvent(core::log_level::info, "reloaded",
                       {{"retry_ratio", settings->retryRatio},
                        {"stop_ms", settings->stopMs},
                        {"regions_of_domains", settings->regions.size()}});
    }

    void beginDrain()
    {
        if (mDrain)
            return;
        mDrain.emplace(core::boot_clock::now(), milliseconds(mSettings.stopMs));
        core::logEvent(core::log_level::info, "drain_began", {{"running", mFront.running()}});
        mFront.beginDrain(mDrain->requestsEnd());
        mMesh.setDraining();
        mDrainTimer.startRepeating(cDrainCheckPeriod);
    }

    void drainStep()
    {
        const drain_step step
            = mDrain->next(core::boot_clock::now(), mFront.running(), mFront.unfinished());
        if (step.closeIdle)
            mFront.closeIdle();
        if (step.stopListening)
            mFront.stopListening();
        if (step.endRequests) {
            core::logEvent(core::log_level::info, "drain_ends_requests",
                           {{"running", mFront.running()}});
            mFront.endRequests();
        }
        if (step.exit)
            mLoop.stop();
    }

    settings::forwarding_settings mSettings;
    std::function<std::optional<settings::forwarding_settings>()> mReload;
    std::uint64_t mIncarnation;
    kernel::event_loop mLoop;
    core::metrics mMetrics;
    kernel::service_registry mRegistry;
    front_service &mFront;
    operator_service &mOperators;
    fleet::mesh_service &mMesh;
    orders::order_service &mOrders;
    kernel::timer mDrainTimer;
    std::optional<drain_schedule> mDrain;
};

} // namespace

int runInstance(const settings::forwarding_settings &inSettings,
                const std::function<std::optional<settings::forwarding_settings>()> &inReload)
{
    core::initializeLog("corneltally", inSettings.instanceName, core::log_output::standard_output);
    instance running(inSettings, inReload);
    if (!running.listen())
        return 1;
    running.run();
    return 0;
}

} // namespace corneltally::forwarding
