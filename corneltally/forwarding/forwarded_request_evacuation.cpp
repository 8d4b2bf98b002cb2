#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/forwarding/forward_context.h"
#include "corneltally/forwarding/forwarded_request.h"

namespace corneltally::forwarding {

void forwarded_request::leaveEvacuated()
{
    engines::endpoint *target = mContext.endpoints.find(mChoice.endpoint);
    if (target == nullptr || !mContext.endpoints.isEvacuated(*target))
        return;
    const bool isUnsent = mState == state::sent && mUpstream && !mUpstream->sent();
    if (mState != state::waiting && !isUnsent)
        return;
    core::logEvent(core::log_level::info, "request_left_evacuated",
                   {{"request", mTerms.requestId},
                    {"endpoint", mChoice.endpoint},
                    {"failure_domain", target->entry.failureDomain},
                    {"waited_for", isUnsent ? "connection" : "adapter"}});
    mContext.metrics.count("evacuation_rechoices_total");
    if (isUnsent) {
        // The connection is not established; nothing of the request reached the endpoint.
        if (target->entry.startedMs == mEndpointStart)
            target->health.abandoned();
        cancelAttempt();
        --mSendCount;
        mUsedEndpoints.erase(mChoice.endpoint);
    }
    mAdapterTimer.cancel();
    chooseAndSend();
}

} // namespace corneltally::forwarding
