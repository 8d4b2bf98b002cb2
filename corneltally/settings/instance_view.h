#pragma once

#include <compare>
#include <string>

namespace corneltally::settings {

/// Effective settings of an entry instance.
struct instance_view
{
    std::string name;
    /// "ip:port" for connections between instances.
    std::string peerAddress;
    std::string failureDomain;

    friend auto operator<=>(const instance_view &, const instance_view &) = default;
};

} // namespace corneltally::settings
