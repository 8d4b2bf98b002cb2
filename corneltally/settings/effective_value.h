#pragma once

#include "corneltally/settings/setting_value.h"

#include <compare>
#include <string>

namespace corneltally::settings {

/// A value in force at a node and the node that it was set at.
struct effective_value
{
    setting_value value;
    std::string path;

    friend auto operator<=>(const effective_value &, const effective_value &) = default;
};

} // namespace corneltally::settings
