#pragma once

#include "corneltally/settings/setting_value.h"

#include <compare>
#include <string>

namespace corneltally::settings {

/// An effective value of a node and the path of the node that sets it.
struct effective_value
{
    setting_value value;
    std::string path;

    friend auto operator<=>(const effective_value &, const effective_value &) = default;
};

} // namespace corneltally::settings
