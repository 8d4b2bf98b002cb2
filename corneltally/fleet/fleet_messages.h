#pragma once

#include "corneltally/engines/endpoint_book.h"
#include "corneltally/limits/fleet_allowance.h"
#include "corneltally/store/record.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

/// Messages between forwarding instances.
namespace corneltally::fleet {

/// First message on a connection.
struct hello
{
    std::string instance;
    std::string machine;
    std::string address;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    /// Offset behind the newest operator's record that the sender has.
    std::uint64_t operatorEnd = 0;

    friend bool operator==(const hello &, const hello &) = default;
};

/// Longest pause between the events of an answer of an endpoint.
struct answer_pause
{
    engines::endpoint_digest endpoint = 0;
    std::chrono::milliseconds pause{};

    friend auto operator<=>(const answer_pause &, const answer_pause &) = default;
};

/// Sent several times a second.
struct heartbeat
{
    std::uint64_t operatorEnd = 0;
    bool draining = false;
    /// Whether the sender hears the receiver.
    bool hearsReceiver = false;
    std::vector<limits::account_use> accountUses;
    std::map<engines::endpoint_digest, engines::endpoint_load> loads;
    /// Adapters that requests were sent for since the last heartbeat, and those that requests run
    /// on.
    std::vector<engines::adapter_digest> adapterUses;
    std::vector<engines::adapter_digest> adaptersRunning;
    /// Pauses that the sender saw since the last heartbeat.
    std::vector<answer_pause> pauses;

    friend bool operator==(const heartbeat &, const heartbeat &) = default;
};

/// A request needs an adapter on an engine that the receiver holds.
struct load_wanted
{
    std::string endpoint;
    std::uint64_t startedMs = 0;
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
    double tokens = 0;

    friend bool operator==(const load_wanted &, const load_wanted &) = default;
};

/// An engine refused a request because the adapter is not there.
struct adapter_missing
{
    std::string endpoint;
    std::uint64_t startedMs = 0;
    std::string adapter;

    friend bool operator==(const adapter_missing &, const adapter_missing &) = default;
};

/// The first request of the sender on an adapter began, or its last one ended.
struct adapter_running
{
    std::string endpoint;
    std::uint64_t startedMs = 0;
    std::string adapter;
    bool running = false;

    friend bool operator==(const adapter_running &, const adapter_running &) = default;
};

/// What the holder of an engine knows of its adapters.
struct engine_state
{
    std::string endpoint;
    std::uint64_t startedMs = 0;
    /// Whether the holder may give orders now.
    bool ready = false;
    engines::residency adapters;
    std::vector<std::string> models;
    /// Adapters that are asked for and wait for a place.
    int queued = 0;

    friend bool operator==(const engine_state &, const engine_state &) = default;
};

/// A record of the operator's topic, for instances that the store does not serve.
struct operator_record
{
    std::string key;
    std::uint64_t offset = 0;
    std::optional<std::string> value;

    friend bool operator==(const operator_record &, const operator_record &) = default;
};

/// Endpoints' records for the other instances of a failure domain.
struct endpoint_records
{
    std::vector<store::record> records;
    std::uint64_t from = 0;
    std::uint64_t end = 0;

    friend bool operator==(const endpoint_records &, const endpoint_records &) = default;
};

using message = std::variant<hello, heartbeat, load_wanted, adapter_missing, engine_state,
                             operator_record, adapter_running, endpoint_records>;

} // namespace corneltally::fleet
