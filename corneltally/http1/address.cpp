#include "corneltally/http1/address.h"

#include <charconv>

#include <arpa/inet.h>

namespace corneltally::http1 {

std::optional<address> address::sParse(std::string_view inText)
{
    const auto colon = inText.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    address parsed{.host = std::string(inText.substr(0, colon))};
    const std::string_view digits = inText.substr(colon + 1);
    const auto [end, error]
        = std::from_chars(digits.data(), digits.data() + digits.size(), parsed.port);
    in_addr ignored{};
    if (error != std::errc() || end != digits.data() + digits.size()
        || inet_pton(AF_INET, parsed.host.c_str(), &ignored) != 1)
        return std::nullopt;
    return parsed;
}

} // namespace corneltally::http1
