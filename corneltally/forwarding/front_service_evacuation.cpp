#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/forwarding/forwarded_request.h"
#include "corneltally/forwarding/front_service.h"
#include "corneltally/kernel/service_registry.h"

#include <vector>

namespace corneltally::forwarding {

namespace {

/// Longest time that requests wait after a process pause. The store usually answers within 4 ms; if
/// it does not within this time, it counts as out of reach and requests are served without it.
constexpr core::duration cMaxHold = std::chrono::milliseconds(400);

} // namespace

/// The running requests. Their functions may modify mCallers, so they are collected first.
std::vector<forwarded_request *> front_service::requests() const
{
    std::vector<forwarded_request *> running;
    for (const auto &[id, entry] : mCallers) {
        if (entry.request)
            running.push_back(entry.request.get());
    }
    return running;
}

/// The endpoints of an evacuated failure domain get nothing new; answers in progress continue.
void front_service::evacuationChanged(const catalog::evacuation_changed &inChanged)
{
    mContext.endpoints.setEvacuated(inChanged.failureDomain, inChanged.evacuated);
    if (!inChanged.evacuated) {
        // The endpoints may have become cold before the evacuation began.
        mContext.endpoints.expectCold(inChanged.failureDomain, core::boot_clock::now());
        return;
    }
    for (forwarded_request *request : requests())
        request->leaveEvacuated();
    for (const auto &[id, target] : mContext.endpoints.all()) {
        if (target.entry.failureDomain == inChanged.failureDomain)
            mContext.pool.closeIdleTo(target.entry.address);
    }
}

/// Sends nothing until the operator records were read again.
void front_service::holdSends()
{
    mContext.sendsHeld = true;
    mHeldSince = core::boot_clock::now();
    mContext.metrics.count("sends_held_total");
    for (forwarded_request *request : requests())
        request->holdUnsent();
    mHoldTimer.startOnce(cMaxHold);
    mContext.registry.post("catalog", catalog::operator_records_poll{});
}

void front_service::releaseSends(bool inConfirmed)
{
    mContext.sendsHeld = false;
    mHoldTimer.cancel();
    const core::duration held = core::boot_clock::now() - mHeldSince;
    core::logEvent(core::log_level::info, "sends_released",
                   {{"held_ms", held.count() / 1000}, {"confirmed", inConfirmed}});
    for (forwarded_request *request : requests())
        request->sendHeld();
}

} // namespace corneltally::forwarding
