#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::http {

/// Header fields in the order in which they were received or are sent.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Value of the first header with a name (case-insensitive); empty if there is none.
std::string_view findHeader(const header_list &inHeaders, std::string_view inName);

/// Host and port of an address "1.2.3.4:80".
struct address
{
    std::string host;
    unsigned short port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
    friend auto operator<=>(const address &, const address &) = default;
};

/// Parses "1.2.3.4:80"; the port is 0 and the host empty if the text is not an address.
address parseAddress(std::string_view inText);

} // namespace corneltally::http
