#pragma once

#include <cstddef>
#include <optional>
#include <string>

namespace corneltally::apps {

/// Random bytes of the system as hexadecimal digits; empty if the system has none.
std::optional<std::string> randomHex(std::size_t inBytes);

} // namespace corneltally::apps
