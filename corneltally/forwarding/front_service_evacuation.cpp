#include "corneltally/forwarding/forwarded_request.h"
#include "corneltally/forwarding/front_service.h"

#include <vector>

namespace corneltally::forwarding {

/// The endpoints of an evacuated failure domain get nothing new; answers in progress continue.
void front_service::evacuationChanged(const catalog::evacuation_changed &inChanged)
{
    mContext.endpoints.setEvacuated(inChanged.failureDomain, inChanged.evacuated);
    if (!inChanged.evacuated) {
        // Cold endpoints (part A): call mContext.endpoints.expectCold(inChanged.failureDomain,
        // core::boot_clock::now()) here, since the endpoints may have become cold meanwhile.
        return;
    }
    // leaveEvacuated() may modify mCallers, so the requests are collected first.
    std::vector<forwarded_request *> running;
    for (auto &[id, entry] : mCallers) {
        if (entry.request)
            running.push_back(entry.request.get());
    }
    for (forwarded_request *request : running)
        request->leaveEvacuated();
    for (const auto &[id, target] : mContext.endpoints.all()) {
        if (target.entry.failureDomain == inChanged.failureDomain)
            mContext.pool.closeIdleTo(target.entry.address);
    }
}

} // namespace corneltally::forwarding
