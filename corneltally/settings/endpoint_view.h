#pragma once

#include "corneltally/settings/route_view.h"

#include <compare>
#include <string>

namespace corneltally::settings {

/// Effective settings of an endpoint.
struct endpoint_view
{
    std::string name;
    /// "ip:port".
    std::string address;
    std::string failureDomain;
    endpoint_kind kind = endpoint_kind::model;
    std::string baseModel;
    /// Whether the endpoint rejects commands with an outdated fencing number.
    bool checksFencing = false;
    /// Maximum number of adapters that are resident at the same time.
    int adapterSlots = 4;
    /// Maximum number of requests that run at the same time.
    int runSlots = 8;
    bool leaving = false;

    friend auto operator<=>(const endpoint_view &, const endpoint_view &) = default;
};

} // namespace corneltally::settings
