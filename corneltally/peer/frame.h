#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corneltally::peer {

/// Longest body of a frame.
inline constexpr std::size_t cMaxFrameBytes = 1024 * 1024;

/// Bytes of the length in front of each body, little-endian.
inline constexpr std::size_t cFrameHeaderBytes = 4;

/// The length prefix of a body.
std::string frameHeader(std::size_t inBodyBytes);

/// Length of the body that follows a prefix of cFrameHeaderBytes; nothing if it is over the limit
/// or zero.
std::optional<std::size_t> frameLength(std::string_view inHeader);

} // namespace corneltally::peer
