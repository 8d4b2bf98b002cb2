#pragma once

#include <cstdint>

#include <nlohmann/json_fwd.hpp>

namespace standins {

/// Prompt tokens of a completion body: one per four bytes of text, rounded down, at least one.
std::uint64_t promptTokens(const nlohmann::json &inBody);

} // namespace standins
