#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/forwarding/forward_context.h"
#include "corneltally/forwarding/forwarded_request.h"

namespace corneltally::forwarding {

/// Whether the request is to be sent on a connection that is not established yet.
bool forwarded_request::isUnsent() const
{
    return mState == state::sent && mUpstream && !mUpstream->sent();
}

/// Undoes an attempt of which nothing has reached the endpoint.
void forwarded_request::recallUnsent()
{
    if (engines::endpoint *target = currentTarget())
        target->health.abandoned();
    cancelAttempt();
    --mSendCount;
    mUsedEndpoints.erase(mChoice.endpoint);
    mState = state::received;
}

void forwarded_request::leaveEvacuated()
{
    const engines::endpoint *target = mContext.endpoints.find(mChoice.endpoint);
    const bool wasUnsent = isUnsent();
    const bool awaitsPermit = mState == state::awaiting_permit;
    if (target == nullptr || !mContext.endpoints.isEvacuated(*target)
        || (mState != state::waiting && !awaitsPermit && !wasUnsent))
        return;
    core::logEvent(core::log_level::info, "request_left_evacuated",
                   {{"request", mTerms.requestId},
                    {"endpoint", mChoice.endpoint},
                    {"failure_domain", target->entry.failureDomain},
                    {"waited_for",
                     wasUnsent          ? "connection"
                         : awaitsPermit ? "permit"
                                        : "adapter"}});
    mContext.metrics.count("evacuation_rechoices_total");
    if (wasUnsent)
        recallUnsent();
    mAdapterTimer.cancel();
    forgetPermit();
    chooseAndSend();
}

void forwarded_request::holdUnsent()
{
    if (!isUnsent())
        return;
    recallUnsent();
    mHeld = true;
}

void forwarded_request::sendHeld()
{
    if (mHeld && mState == state::received)
        chooseAndSend();
}

} // namespace corneltally::forwarding
