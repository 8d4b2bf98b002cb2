#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::http {

/// Names and values of header fields, in the order in which they are transmitted.
using header_list = std::vector<std::pair<std::string, std::string>>;

/// Value of the first header field with a name (case-insensitive); empty if there is none.
std::string_view findHeader(const header_list &inHeaders, std::string_view inName);

/// Host and port.
struct address
{
    std::string host;
    unsigned short port = 0;

    std::string toString() const { return host + ":" + std::to_string(port); }
    friend auto operator<=>(const address &, const address &) = default;
};

/// Parses "1.2.3.4:80". Returns an empty host and port 0 if the text is not an address.
address parseAddress(std::string_view inText);

} // namespace corneltally::http
