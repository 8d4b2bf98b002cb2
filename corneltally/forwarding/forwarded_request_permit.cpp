// Part of forwarded_request: permits for cold endpoints.

#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/fleet/mesh_messages.h"
#include "corneltally/forwarding/forward_context.h"
#include "corneltally/forwarding/forwarded_request.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/limits/permit_term.h"
#include "corneltally/orders/order_messages.h"

#include <algorithm>

namespace corneltally::forwarding {

namespace {

/// No permits are asked of a holder for this long after it did not reply.
constexpr core::duration cSilentHolderPause = std::chrono::milliseconds(500);
constexpr core::duration cMinPermitPause = std::chrono::milliseconds(5);
/// A request gives up cold endpoints after this many holders did not reply, or denied a permit, so
/// that it is refused soon if no warm endpoint serves it.
constexpr int cMaxNotReceived = 2;
constexpr int cMaxDenied = 8;

} // namespace

/// Sends the request to the chosen endpoint, with a permit if the endpoint is cold.
void forwarded_request::send()
{
    const core::time_point now = core::boot_clock::now();
    const engines::endpoint &target = *mContext.endpoints.find(mChoice.endpoint);
    mAdapterTimer.cancel();
    uncountWaiting();
    mPermitEnd.reset();
    if (!mContext.endpoints.isCold(target, now)) {
        sendNow();
        return;
    }
    if (!engines::endpoint_table::mayAskPermit(target, now)) {
        chooseAndSend();
        return;
    }
    mState = state::awaiting_permit;
    mPermitTerm = limits::permit_term(now);
    mPermitNumber = mContext.permits.add(
        [this](const fleet::permit_reply &inReply) { permitReplied(inReply); });
    mPermitTimer.startOnce(limits::permit_term::sValidity);
    fleet::permit_wanted wanted{mChoice.endpoint, mPermitNumber};
    if (target.holder == mContext.instance)
        mContext.registry.post("orders", orders::local_permit_wanted{std::move(wanted)});
    else
        mContext.registry.post("mesh", fleet::mesh_send{target.holder, std::move(wanted)});
}

void forwarded_request::forgetPermit()
{
    mContext.permits.remove(mPermitNumber);
    mPermitTimer.cancel();
}

void forwarded_request::permitReplied(const fleet::permit_reply &inReply)
{
    const core::time_point now = core::boot_clock::now();
    mPermitTimer.cancel();
    // The process may have been suspended since it asked.
    if (!mPermitTerm.mayUse(now)) {
        permitExpired("late");
        return;
    }
    engines::endpoint *target = currentTarget();
    if (!inReply.granted) {
        mContext.metrics.count("permits_asked_total{outcome=\"denied\"}");
        if (target != nullptr)
            target->permitNotBefore = now + std::max(inReply.retryIn, cMinPermitPause);
        mWork.avoidsCold = mWork.avoidsCold || ++mPermitsDenied >= cMaxDenied;
        chooseAndSend();
        return;
    }
    mContext.metrics.count("permits_asked_total{outcome=\"granted\"}");
    if (target == nullptr || !mContext.endpoints.usable(*target, now)) {
        chooseAndSend();
        return;
    }
    mPermitEnd = mPermitTerm.end();
    sendNow();
}

void forwarded_request::permitTimerExpired()
{
    permitExpired("no_reply");
}

/// Chooses an endpoint again since there was no reply in time; nothing was sent. Other requests
/// need not wait for this holder as well.
void forwarded_request::permitExpired(std::string_view inOutcome)
{
    const core::time_point now = core::boot_clock::now();
    forgetPermit();
    mWork.avoidsCold = mWork.avoidsCold || ++mPermitsNotReceived >= cMaxNotReceived;
    mContext.metrics.count("permits_asked_total{outcome=\"" + std::string(inOutcome) + "\"}");
    if (const engines::endpoint *target = currentTarget()) {
        core::logEvent(
            core::log_level::warning, "permit_not_received",
            {{"request", mTerms.requestId},
             {"endpoint", mChoice.endpoint},
             {"holder", target->holder},
             {"outcome", inOutcome},
             {"waited_ms",
              std::chrono::duration_cast<std::chrono::milliseconds>(now - mPermitTerm.askedAt())
                  .count()}});
        const std::string holder = target->holder;
        mContext.endpoints.deferPermits(holder, now + cSilentHolderPause);
    }
    chooseAndSend();
}

/// The connection was not ready before the permit ended; nothing was sent.
void forwarded_request::permitUnused()
{
    mContext.metrics.count("permits_unused_total");
    if (engines::endpoint *target = currentTarget()) {
        target->health.abandoned();
        target->permitNotBefore = core::boot_clock::now() + cSilentHolderPause;
    }
    uncountLoad();
    --mSendCount;
    mUsedEndpoints.erase(mChoice.endpoint);
    chooseAndSend();
}

} // namespace corneltally::forwarding
