#include "apps/random_hex.h"

#include <string_view>
#include <vector>

#include <openssl/rand.h>

namespace corneltally::apps {

std::optional<std::string> randomHex(std::size_t inBytes)
{
    static constexpr std::string_view cDigits = "0123456789abcdef";
    std::vector<unsigned char> bytes(inBytes);
    if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1)
        return std::nullopt;
    std::string text;
    for (const unsigned char byte : bytes) {
        text.push_back(cDigits[byte >> 4U]);
        text.push_back(cDigits[byte & 15U]);
    }
    return text;
}

} // namespace corneltally::apps
