#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace corneltally::settings {

/// Value of a setting. An integer is also accepted where a number is expected.
using setting_value
    = std::variant<bool, std::int64_t, double, std::string, std::vector<std::string>>;

/// Formats a value as in a TOML file.
std::string toText(const setting_value &inValue);

} // namespace corneltally::settings
