#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace corneltally::apps {

/// Cryptographically secure random bytes as hexadecimal digits; nothing if the system's random
/// number generator fails.
std::optional<std::string> randomHex(std::size_t inBytes);

} // namespace corneltally::apps
