#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace corneltally::core {

/// Kinds of failure that a caller or an operator can act on.
enum class error_kind {
    invalid_request,
    unauthorized,
    forbidden,
    not_found,
    rate_limited,
    overloaded,
    unavailable,
    timeout,
    conflict,
    outcome_unknown,
    internal,
};

/// Name of an error kind as it appears in error bodies and log lines.
std::string_view toString(error_kind inKind);

/// HTTP status code that answers a caller for an error kind.
int httpStatus(error_kind inKind);

/// A failure: the message names what is wrong, the remedy what to do about it.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
    std::string remedy;

    friend auto operator<=>(const error &, const error &) = default;
};

} // namespace corneltally::core
