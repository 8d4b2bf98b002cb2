#pragma once

#include <string_view>
#include <vector>

namespace corneltally::settings {

/// The candidate that a misspelt name most likely stands for; empty if none is close.
std::string_view nearestName(std::string_view inName,
                             const std::vector<std::string_view> &inCandidates);

} // namespace corneltally::settings
