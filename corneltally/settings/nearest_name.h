#pragma once

#include <string_view>
#include <vector>

namespace corneltally::settings {

/// Returns the candidate closest to a misspelt name by edit distance; empty if none is close.
std::string_view nearestName(std::string_view inName,
                             const std::vector<std::string_view> &inCandidates);

} // namespace corneltally::settings
