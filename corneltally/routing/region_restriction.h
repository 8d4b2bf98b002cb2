#pragma once

#include "corneltally/routing/allowed_domains.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::routing {

struct client_account;
struct route;

/// Region of each failure domain, as the settings name them.
using domain_regions = std::map<std::string, std::string, std::less<>>;

/// The regions in which a request may run, from its route and its client account. If both have
/// allowed regions, only the regions that are in both lists remain.
class region_restriction
{
public:
    /// Allows all regions.
    region_restriction() = default;
    /// inAccount is null for a request without a client account.
    region_restriction(const route &inRoute, const client_account *inAccount);

    bool isRestricted() const { return mRegions.has_value(); }
    /// Whether no region is allowed.
    bool isEmpty() const { return mRegions && mRegions->empty(); }
    bool allows(std::string_view inRegion) const
    {
        return !mRegions || mRegions->contains(inRegion);
    }

    /// The failure domains in these regions. A failure domain without an entry in inRegions is in
    /// none of them.
    allowed_domains domains(const domain_regions &inRegions) const;

    /// The regions, separated by commas; "none" if a restriction leaves no region, empty if there
    /// is no restriction.
    std::string toText() const;

    /// Which part of the configuration restricts the request: "route", "account" or
    /// "route_and_account"; empty if there is no restriction.
    std::string_view source() const;

    friend bool operator==(const region_restriction &, const region_restriction &) = default;

private:
    void restrictTo(const std::optional<std::vector<std::string>> &inRegions);

    std::optional<std::set<std::string, std::less<>>> mRegions;
    bool mByRoute = false;
    bool mByAccount = false;
};

} // namespace corneltally::routing
