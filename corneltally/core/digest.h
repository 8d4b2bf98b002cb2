#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace corneltally::core {

/// SHA-256 of a byte string as 64 lower-case hexadecimal digits.
std::string sha256Hex(std::string_view inData);

/// Fast 64-bit hash, stable across processes and versions; not for secrets.
std::uint64_t stableHash(std::string_view inData, std::uint64_t inSeed = 0);

/// Weight of a candidate for a subject in rendezvous hashing: the candidate with the greatest
/// weight is chosen.
std::uint64_t rendezvousWeight(std::string_view inSubject, std::string_view inCandidate);

} // namespace corneltally::core
