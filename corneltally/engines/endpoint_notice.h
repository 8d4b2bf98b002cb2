#pragma once

#include "corneltally/core/boot_clock.h"

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace corneltally::engines {

/// What an answer of an endpoint says about further requests to it.
struct endpoint_notice
{
    /// The endpoint will exit and must receive no new requests.
    bool leaving = false;
    /// The endpoint asks for no requests for this long.
    std::optional<core::duration> pause;

    friend auto operator<=>(const endpoint_notice &, const endpoint_notice &) = default;
};

/// Message: an instance read a notice in an answer of an endpoint.
struct endpoint_noticed
{
    std::string endpoint;
    std::uint64_t startedMs = 0;
    endpoint_notice notice;
};

} // namespace corneltally::engines
