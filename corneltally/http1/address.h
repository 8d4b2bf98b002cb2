#pragma once

#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace corneltally::http1 {

/// IPv4 address in dotted-decimal form and port.
struct address
{
    std::string host;
    unsigned short port = 0;

    /// Parses "1.2.3.4:80"; nothing if the text has another form.
    static std::optional<address> sParse(std::string_view inText);

    std::string toString() const { return host + ":" + std::to_string(port); }

    friend auto operator<=>(const address &, const address &) = default;
};

} // namespace corneltally::http1
