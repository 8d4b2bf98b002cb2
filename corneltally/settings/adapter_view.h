#pragma once

#include <compare>
#include <string>

namespace corneltally::settings {

/// Effective settings of an adapter.
struct adapter_view
{
    std::string name;
    std::string version;
    std::string baseModel;

    friend auto operator<=>(const adapter_view &, const adapter_view &) = default;
};

} // namespace corneltally::settings
