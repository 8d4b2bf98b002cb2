#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace standins {

/// An adapter at a version, written "adapter@version".
struct adapter_ref
{
    std::string adapter;
    std::string version;

    static adapter_ref sParse(std::string_view inText)
    {
        const std::size_t at = inText.rfind('@');
        if (at == std::string_view::npos)
            return {std::string(inText), {}};
        return {std::string(inText.substr(0, at)), std::string(inText.substr(at + 1))};
    }

    std::string toString() const { return adapter + "@" + version; }

    friend auto operator<=>(const adapter_ref &, const adapter_ref &) = default;
};

} // namespace standins
