#pragma once

#include "corneltally/engines/held_weights.h"
#include "corneltally/http1/address.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::engines {

/// What an endpoint says of itself in the platform's list.
struct endpoint_entry
{
    std::string id;
    std::string service;
    http1::address address;
    std::string failureDomain;
    int capacity = 0;
    /// The endpoint is leaving and must get no new requests.
    bool leaving = false;
    /// Time after which a leaving endpoint is gone, whatever it runs.
    std::optional<std::chrono::milliseconds> removedIn;
    /// Start of the endpoint, in ms since 1970. A new start under the same id has another one.
    std::uint64_t startedMs = 0;
    /// Orders accepted since the start.
    std::uint64_t orders = 0;
    std::vector<held_model> models;

    friend auto operator<=>(const endpoint_entry &, const endpoint_entry &) = default;
};

} // namespace corneltally::engines
