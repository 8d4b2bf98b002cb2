#pragma once

#include <compare>
#include <string>

namespace corneltally::settings {

/// Effective settings of a caller's API key. Only the digest of the key is stored.
struct key_view
{
    std::string id;
    std::string account;
    /// SHA-256 of the key in lower-case hexadecimal digits.
    std::string digest;
    bool withdrawn = false;

    friend auto operator<=>(const key_view &, const key_view &) = default;
};

} // namespace corneltally::settings
