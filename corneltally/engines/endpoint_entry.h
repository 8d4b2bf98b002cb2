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

/// Entry of an endpoint in the platform's list.
struct endpoint_entry
{
    std::string id;
    std::string service;
    http1::address address;
    std::string failureDomain;
    int capacity = 0;
    /// The endpoint is leaving and must receive no new requests.
    bool leaving = false;
    /// Time after which a leaving endpoint is removed, even if requests still run on it.
    std::optional<std::chrono::milliseconds> removedIn;
    /// Start time of the endpoint, in ms since 1970. It differs after a restart under the same id.
    std::uint64_t startedMs = 0;
    /// Number of orders accepted since the start.
    std::uint64_t orders = 0;
    std::vector<held_model> models;
    /// How much longer the endpoint is cold, at the time of writing.
    std::optional<std::chrono::milliseconds> coldLeft;

    friend auto operator<=>(const endpoint_entry &, const endpoint_entry &) = default;
};

} // namespace corneltally::engines
