#include "corneltally/entry/drain_service.h"

#include "corneltally/core/json_log.h"
#include "corneltally/entry/drain_messages.h"
#include "corneltally/entry/owner_messages.h"
#include "corneltally/entry/peers_messages.h"
#include "corneltally/kernel/service_registry.h"

#include <string>

namespace corneltally::entry {

namespace {

using namespace std::chrono_literals;

/// Last resort in case a service never reports that it is drained. Route timeouts already bound how
/// long requests run.
constexpr core::duration cDrainTimeout = 10min;

} // namespace

drain_service::drain_service(kernel::service_registry &inRegistry)
    : mRegistry(inRegistry)
    , mTimeoutTimer(inRegistry.loop(), [this] { handleTimeout(); })
{
    mRegistry.handle<callers_drained>(name(), [this](const callers_drained &inDrained) {
        mFinishedRequests = inDrained.finished;
        stopWhenDone();
    });
    mRegistry.handle<endpoints_drained>(name(), [this](const endpoints_drained &inDrained) {
        mHandedOverRuns = inDrained.handedOver;
        stopWhenDone();
    });
    mRegistry.handle<instance_superseded>(
        name(), [this](const instance_superseded &) { stopSuperseded(); });
}

void drain_service::begin()
{
    if (mStartedAt)
        return;
    mStartedAt = core::boot_clock::now();
    core::logEvent(core::log_level::info, "drain_started");
    mRegistry.broadcast(drain_started{});
    mTimeoutTimer.startOnce(cDrainTimeout);
}

void drain_service::stopWhenDone()
{
    if (!mStartedAt || !mFinishedRequests || !mHandedOverRuns)
        return;
    const core::duration elapsed = core::boot_clock::now() - *mStartedAt;
    core::logEvent(core::log_level::info, "drain_finished",
                   {{"finished", *mFinishedRequests},
                    {"handed_over", *mHandedOverRuns},
                    {"seconds", std::chrono::duration<double>(elapsed).count()}});
    mRegistry.loop().stop();
}

void drain_service::handleTimeout()
{
    core::logEvent(core::log_level::error, "drain_timed_out",
                   {{"callers_drained", mFinishedRequests.has_value()},
                    {"endpoints_drained", mHandedOverRuns.has_value()}});
    mRegistry.loop().stop();
}

void drain_service::stopSuperseded()
{
    core::logEvent(core::log_level::error, "superseded",
                   {{"message", "a newer process runs under this instance's name"},
                    {"remedy", "give each process its own instance name"}});
    mRegistry.loop().stop();
}

std::string drain_service::dump() const
{
    return std::string("{\"draining\":") + (isDraining() ? "true" : "false") + "}";
}

} // namespace corneltally::entry
