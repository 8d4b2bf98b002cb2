#pragma once

#include "corneltally/engines/endpoint_table.h"
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
    /// End of the operator records that the sender has: the offset after the newest one.
    std::uint64_t operatorEnd = 0;

    friend bool operator==(const hello &, const hello &) = default;
};

/// Longest pause between two events of one answer from an endpoint.
struct answer_pause
{
    engines::endpoint_digest endpoint = 0;
    std::chrono::milliseconds pause{};

    friend auto operator<=>(const answer_pause &, const answer_pause &) = default;
};

/// Sent to each instance several times a second.
struct heartbeat
{
    std::uint64_t operatorEnd = 0;
    bool draining = false;
    /// Whether the receiver is live for the sender: heartbeats from it arrive.
    bool receiverLive = false;
    std::vector<limits::account_use> accountUses;
    std::map<engines::endpoint_digest, engines::endpoint_load> loads;
    /// Adapters used by the requests sent since the last heartbeat, and those that running requests
    /// use.
    std::vector<engines::adapter_digest> adapterUses;
    std::vector<engines::adapter_digest> adaptersRunning;
    /// Longest pauses of the answers that the sender received since the last heartbeat.
    std::vector<answer_pause> pauses;

    friend bool operator==(const heartbeat &, const heartbeat &) = default;
};

/// Asks the holder of an engine to load an adapter that a request needs.
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

/// An engine refused a request because the adapter is not resident.
struct adapter_missing
{
    std::string endpoint;
    std::uint64_t startedMs = 0;
    std::string adapter;

    friend bool operator==(const adapter_missing &, const adapter_missing &) = default;
};

/// The sender's first request that uses an adapter started, or its last one ended.
struct adapter_running
{
    std::string endpoint;
    std::uint64_t startedMs = 0;
    std::string adapter;
    bool running = false;

    friend bool operator==(const adapter_running &, const adapter_running &) = default;
};

/// State of an engine and its adapters as known to its holder.
struct engine_state
{
    std::string endpoint;
    std::uint64_t startedMs = 0;
    /// Whether the holder may currently give orders to the engine.
    bool ready = false;
    engines::residency adapters;
    std::vector<std::string> models;
    /// Number of requested adapters that wait for a free adapter slot.
    int queued = 0;

    friend bool operator==(const engine_state &, const engine_state &) = default;
};

/// Asks for the operator records from an offset on.
struct operator_records_wanted
{
    std::uint64_t from = 0;

    friend auto operator<=>(const operator_records_wanted &, const operator_records_wanted &)
        = default;
};

/// The newest operator records between two offsets, in their order, relayed to an instance that
/// asked for them.
struct operator_records
{
    std::vector<store::record> records;
    std::uint64_t from = 0;
    std::uint64_t end = 0;

    friend bool operator==(const operator_records &, const operator_records &) = default;
};

/// Endpoint records, relayed to the other instances of the failure domain.
struct endpoint_records
{
    std::vector<store::record> records;
    std::uint64_t from = 0;
    std::uint64_t end = 0;

    friend bool operator==(const endpoint_records &, const endpoint_records &) = default;
};

using message
    = std::variant<hello, heartbeat, load_wanted, adapter_missing, engine_state,
                   operator_records_wanted, operator_records, adapter_running, endpoint_records>;

} // namespace corneltally::fleet
