#include "corneltally/routing/region_restriction.h"

#include "corneltally/routing/client_account.h"
#include "corneltally/routing/route.h"

#include <utility>

namespace corneltally::routing {

region_restriction::region_restriction(const route &inRoute, const client_account *inAccount)
    : mByRoute(inRoute.allowedRegions.has_value())
    , mByAccount(inAccount != nullptr && inAccount->allowedRegions.has_value())
{
    restrictTo(inRoute.allowedRegions);
    if (inAccount != nullptr)
        restrictTo(inAccount->allowedRegions);
}

void region_restriction::restrictTo(const std::optional<std::vector<std::string>> &inRegions)
{
    if (!inRegions)
        return;
    std::set<std::string, std::less<>> common;
    for (const std::string &region : *inRegions) {
        if (allows(region))
            common.insert(region);
    }
    mRegions = std::move(common);
}

allowed_domains region_restriction::domains(const domain_regions &inRegions) const
{
    if (!mRegions)
        return {};
    allowed_domains::domain_set domains;
    for (const auto &[domain, region] : inRegions) {
        if (allows(region))
            domains.insert(domain);
    }
    return allowed_domains(std::move(domains));
}

std::string region_restriction::toText() const
{
    if (!mRegions)
        return {};
    std::string text;
    for (const std::string &region : *mRegions)
        text.append(text.empty() ? "" : ",").append(region);
    return text.empty() ? "none" : text;
}

std::string_view region_restriction::source() const
{
    if (mByRoute && mByAccount)
        return "route_and_account";
    return mByRoute ? "route" : mByAccount ? "account" : "";
}

} // namespace corneltally::routing
