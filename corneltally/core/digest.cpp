#include "corneltally/core/digest.h"

#include <array>

#include <openssl/sha.h>
#include <xxhash.h>

namespace corneltally::core {

std::string sha256Hex(std::string_view inData)
{
    static constexpr std::string_view cDigits = "0123456789abcdef";
    std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
    SHA256(reinterpret_cast<const unsigned char *>(inData.data()), inData.size(), digest.data());
    std::string text;
    text.reserve(digest.size() * 2);
    for (const unsigned char byte : digest) {
        text.push_back(cDigits[byte >> 4U]);
        text.push_back(cDigits[byte & 15U]);
    }
    return text;
}

std::uint64_t stableHash(std::string_view inData, std::uint64_t inSeed)
{
    return XXH64(inData.data(), inData.size(), inSeed);
}

std::uint64_t rendezvousWeight(std::string_view inSubject, std::string_view inCandidate)
{
    return stableHash(inCandidate, stableHash(inSubject));
}

} // namespace corneltally::core
