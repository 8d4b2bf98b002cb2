#include "corneltally/core/metrics.h"
#include "corneltally/engines/domain_exclusion.h"
#include "corneltally/forwarding/forward_context.h"
#include "corneltally/forwarding/forwarded_request.h"

#include <string>

namespace corneltally::forwarding {

/// Determines where the request may run. The restriction holds for all attempts of the request,
/// also if the configuration or the settings change while it runs.
void forwarded_request::restrictRegions(const routing::client_account *inAccount)
{
    mRegions = routing::region_restriction(*mRoute, inAccount);
    mWork.domains = mRegions.domains(mContext.regions);
}

/// Counts the request once if an endpoint that could otherwise take it is outside its regions.
void forwarded_request::noteRegionsKept()
{
    if (mKeptInRegions
        || !engines::excludesUsableEndpoint(mContext.endpoints, mWork, core::boot_clock::now()))
        return;
    mKeptInRegions = true;
    mContext.metrics.count("requests_kept_in_regions_total{by=\"" + std::string(mRegions.source())
                           + "\"}");
}

/// Whether the request may be sent to an endpoint that was chosen earlier.
bool forwarded_request::mayReceive(const engines::endpoint &inTarget) const
{
    return mWork.domains.contains(inTarget.entry.failureDomain)
        && mContext.endpoints.usable(inTarget, core::boot_clock::now());
}

/// Reason for the refusal of a request that no endpoint can serve.
std::string_view forwarded_request::unservedReason() const
{
    if (!mRegions.isRestricted())
        return mContext.endpoints.hasEvacuated(mService->name)
            ? "no endpoint outside the evacuated failure domains can serve the request"
            : "no endpoint can serve the request";
    if (mRegions.isEmpty())
        return "the restrictions of the route and the account allow no region";
    return "no endpoint in an allowed region can serve the request";
}

} // namespace corneltally::forwarding
