#include "corneltally/http/message.h"

#include <charconv>

#include <strings.h>

namespace corneltally::http {

std::string_view findHeader(const header_list &inHeaders, std::string_view inName)
{
    for (const auto &[name, value] : inHeaders) {
        if (name.size() == inName.size()
            && strncasecmp(name.data(), inName.data(), inName.size()) == 0)
            return value;
    }
    return {};
}

address parseAddress(std::string_view inText)
{
    const std::size_t colon = inText.rfind(':');
    if (colon == std::string_view::npos || colon == 0)
        return {};
    const std::string_view digits = inText.substr(colon + 1);
    unsigned short port = 0;
    const auto [end, code] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (code != std::errc() || end != digits.data() + digits.size())
        return {};
    return address{std::string(inText.substr(0, colon)), port};
}

} // namespace corneltally::http
