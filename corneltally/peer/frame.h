#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace corneltally::peer {

/// Size limit of a frame's body, which must hold the largest configuration.
inline constexpr std::size_t cMaxFrameBytes = 8 * 1024 * 1024;

/// Size of the little-endian length prefix of each body.
inline constexpr std::size_t cFrameHeaderBytes = 4;

/// Encodes the length prefix of a body.
std::string frameHeader(std::size_t inBodyBytes);

/// Decodes a length prefix of cFrameHeaderBytes; nothing if the length is zero or over the limit.
std::optional<std::size_t> frameLength(std::string_view inHeader);

} // namespace corneltally::peer
