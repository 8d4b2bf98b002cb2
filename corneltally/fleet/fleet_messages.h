#pragma once

#include "corneltally/catalog/operator_progress.h"
#include "corneltally/engines/endpoint_table.h"
#include "corneltally/fleet/heard_domain.h"
#include "corneltally/limits/fleet_allowance.h"
#include "corneltally/quarantine/quarantine_state.h"
#include "corneltally/store/record.h"

#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

/// Messages between forwarding instances.
namespace corneltally::fleet {

/// Version of the exchange between instances. Version 0 sends heartbeats to all instances; since
/// version 1 heartbeats stay within a failure domain, and summaries connect the domains. Version 2
/// knows permits for cold endpoints.
constexpr std::uint16_t cProtocol = 2;
constexpr std::uint16_t cPermitProtocol = 2;

/// First message on a connection.
struct hello
{
    std::string instance;
    std::string machine;
    std::string address;
    std::string failureDomain;
    std::uint64_t incarnation = 0;
    catalog::operator_progress operatorProgress;
    /// Version of the exchange between instances that the sender supports.
    std::uint16_t protocol = cProtocol;

    friend bool operator==(const hello &, const hello &) = default;
};

/// Longest pause between two events of one answer from an endpoint.
struct answer_pause
{
    engines::endpoint_digest endpoint = 0;
    std::chrono::milliseconds pause{};

    friend auto operator<=>(const answer_pause &, const answer_pause &) = default;
};

/// Typical interval between the events of one answer from an endpoint.
struct answer_interval
{
    engines::endpoint_digest endpoint = 0;
    std::chrono::microseconds interval{};

    friend auto operator<=>(const answer_interval &, const answer_interval &) = default;
};

/// Sent to each instance of the failure domain several times a second.
struct heartbeat
{
    catalog::operator_progress operatorProgress;
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
    /// Time of sending on the sender's clock.
    core::time_point sentAt;
    /// Whether the sender's reads of the store fail.
    bool storeFailing = false;
    quarantine::quarantine_state quarantine;
    /// Digests of starts of endpoints whose answers say that they leave.
    std::set<std::uint64_t> leaving;
    /// For how much longer starts of endpoints are cold, by digest, as far as the sender's own
    /// exchanges with them say.
    std::map<std::uint64_t, core::duration> cold;
    /// Intervals in the answers that the sender received since the last heartbeat.
    std::vector<answer_interval> intervals;

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

/// Asks for the operator records from a position on.
struct operator_records_wanted
{
    store::position from;

    friend auto operator<=>(const operator_records_wanted &, const operator_records_wanted &)
        = default;
};

/// The newest operator records between two positions, in their order, relayed to an instance that
/// asked for them.
struct operator_records
{
    std::vector<store::record> records;
    store::position from;
    store::position end;

    friend bool operator==(const operator_records &, const operator_records &) = default;
};

/// Endpoint records, relayed to the other instances of the failure domain.
struct endpoint_records
{
    std::vector<store::record> records;
    store::position from;
    store::position end;

    friend bool operator==(const endpoint_records &, const endpoint_records &) = default;
};

/// Records of the topic of the instances, relayed to an instance of the same failure domain.
struct fleet_records
{
    std::vector<store::record> records;
    store::position from;
    store::position end;
    /// Whether the records are the newest of all keys.
    bool complete = false;
    /// When the receiver sent its last heartbeat that arrived before the records were read, on the
    /// receiver's clock, and the incarnation that sent it.
    core::time_point echo;
    std::uint64_t incarnation = 0;

    friend bool operator==(const fleet_records &, const fleet_records &) = default;
};

/// The reader of the failure domain has read operator records up to a position, which are too large
/// to be relayed.
struct operator_end
{
    store::position end;

    friend auto operator<=>(const operator_end &, const operator_end &) = default;
};

/// State of one instance in a domain_summary.
struct summarized_instance
{
    std::string instance;
    std::string machine;
    std::string address;
    std::uint64_t incarnation = 0;
    bool draining = false;
    /// Version of the exchange that it supports; 0 if the sender of the summary does not say.
    std::uint16_t protocol = 0;
    /// Totals of accounts. Those that have not changed recently are omitted unless the summary
    /// says that all totals are in it.
    std::vector<limits::account_use> accountUses;

    friend bool operator==(const summarized_instance &, const summarized_instance &) = default;
};

/// State of an engine and the instance that holds it, in a domain_summary.
struct summarized_engine
{
    std::string holder;
    engine_state state;

    friend bool operator==(const summarized_engine &, const summarized_engine &) = default;
};

/// State of all live instances of a failure domain. One of them sends it to one instance of each
/// other failure domain, which relays it within its own.
struct domain_summary
{
    std::string domain;
    std::string sender;
    std::uint64_t incarnation = 0;
    /// Increases with each summary of the sender.
    std::uint64_t sequence = 0;
    catalog::operator_progress operatorProgress;
    std::vector<heard_domain> heardDomains;
    std::vector<summarized_instance> instances;
    bool hasAllTotals = false;
    /// Sums over the instances.
    std::map<engines::endpoint_digest, engines::endpoint_load> loads;
    std::vector<engines::adapter_digest> adapterUses;
    std::vector<engines::adapter_digest> adaptersRunning;
    std::vector<answer_pause> pauses;
    std::vector<answer_interval> intervals;
    /// Engines whose state changed or was repeated since the sender's last summary.
    std::vector<summarized_engine> engines;
    quarantine::quarantine_state quarantine;
    /// As in heartbeats.
    std::map<std::uint64_t, core::duration> cold;

    friend bool operator==(const domain_summary &, const domain_summary &) = default;
};

/// Asks the holder of a cold endpoint for a permit to send it one request.
struct permit_wanted
{
    std::string endpoint;
    /// Identifies the request for its sender.
    std::uint64_t number = 0;

    friend auto operator<=>(const permit_wanted &, const permit_wanted &) = default;
};

struct permit_reply
{
    std::uint64_t number = 0;
    bool granted = false;
    /// When to ask again, if denied.
    core::duration retryIn{};

    friend auto operator<=>(const permit_reply &, const permit_reply &) = default;
};

using message
    = std::variant<hello, heartbeat, load_wanted, adapter_missing, engine_state,
                   operator_records_wanted, operator_records, adapter_running, endpoint_records,
                   operator_end, fleet_records, domain_summary, permit_wanted, permit_reply>;

} // namespace corneltally::fleet
