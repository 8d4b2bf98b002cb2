#pragma once

#include <compare>
#include <string>

namespace corneltally::ownership {

/// An adapter version in an endpoint's report and the number of runs that use it.
struct adapter_use
{
    /// Adapter and version as one name, for example "quotes@7".
    std::string adapter;
    int running = 0;

    friend auto operator<=>(const adapter_use &, const adapter_use &) = default;
};

} // namespace corneltally::ownership
