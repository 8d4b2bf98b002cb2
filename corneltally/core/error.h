#pragma once

#include <compare>
#include <string>
#include <string_view>

namespace corneltally::core {

/// Kinds of errors that a caller or an operator can act on.
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

/// HTTP status code of an answer to a caller for an error kind.
int httpStatus(error_kind inKind);

/// An error: the message says what is wrong, the remedy how to correct it.
struct error
{
    error_kind kind = error_kind::internal;
    std::string message;
    std::string remedy;

    friend auto operator<=>(const error &, const error &) = default;
};

} // namespace corneltally::core
