#pragma once

#include "corneltally/catalog/operator_progress.h"
#include "corneltally/engines/endpoint_entry.h"
#include "corneltally/store/record.h"
#include "corneltally/store/topic_follower.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::routing {
class routing_table;
}

/// Messages from and to the catalog service.
namespace corneltally::catalog {

/// A newer configuration has come into force.
struct configuration_changed
{
    std::shared_ptr<const routing::routing_table> table;
};

/// The operator named a newer version of an adapter to use.
struct adapter_version_named
{
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
};

/// An endpoint was added or its entry changed.
struct endpoint_changed
{
    engines::endpoint_entry entry;
};

/// The entry of an endpoint was removed. It may return if the store was unavailable shortly before.
struct endpoint_removed
{
    std::string id;
    bool mayReturn = false;
};

/// Complete list of the endpoints that have an entry.
struct endpoints_listed
{
    std::vector<std::string> ids;
    bool mayReturn = false;
};

/// What this instance has of the operator records.
struct operator_progress_changed
{
    operator_progress progress;
};

/// Another instance has operator records that this one lacks.
struct operator_progress_reported
{
    std::string instance;
    operator_progress progress;
};

/// Asks another instance for the operator records from a position on.
struct operator_records_request
{
    std::string instance;
    store::position from;
};

/// Another instance asks for the operator records from a position on.
struct operator_records_requested
{
    std::string instance;
    store::position from;
};

/// Asks to relay the newest operator records between two positions to another instance.
struct operator_records_relay
{
    std::string instance;
    std::vector<store::record> records;
    store::position from;
    store::position end;
};

/// Operator records relayed by another instance were received.
struct operator_records_received
{
    std::vector<store::record> records;
    store::position from;
    store::position end;
};

/// Whether this instance reads the topics for its failure domain and relays their records to the
/// others, so that these need not read them.
struct reader_changed
{
    bool reads = false;
    /// Whether there are other live instances in the failure domain.
    bool hasLocalPeers = false;

    friend auto operator<=>(const reader_changed &, const reader_changed &) = default;
};

/// Whether this instance's reads of the store fail.
struct store_failing_changed
{
    bool failing = false;
};

/// Endpoint records that this instance has read and relays, or that another one has relayed.
/// Records whose value has not changed are omitted.
struct endpoint_records_relay
{
    store::topic_update update;
};
struct endpoint_records_received
{
    store::topic_update update;
};

/// Operator records that the reader of the failure domain has read, possibly none. Without the
/// list, because they are large, the others read them at the store.
struct operator_records_read
{
    std::optional<std::vector<store::record>> records;
    store::position from;
    store::position end;
};

/// The reader of the failure domain has read operator records that it does not relay.
struct operator_records_skipped
{
    store::position end;
};

/// A heartbeat of another instance of the failure domain arrived, with its time of sending on the
/// sender's clock.
struct local_peer_heard
{
    std::string instance;
    std::uint64_t incarnation = 0;
    core::time_point sentAt;
};

/// Records of the fleet topic that the reader of the failure domain relays, with the last heartbeat
/// of each other instance that arrived before they were read.
struct fleet_records_relay
{
    store::topic_update update;
    std::vector<local_peer_heard> echoes;
};

/// Records of the fleet topic were relayed. They are at least as recent as update.asOf.
struct fleet_records_received
{
    store::topic_update update;
};

/// Records of the fleet topic, which the instances write and read.
struct fleet_topic_updated
{
    store::topic_update update;
};

/// Ask to poll the fleet topic, or to change how long its reads wait at the store.
struct fleet_topic_poll
{ };
struct fleet_topic_wait_changed
{
    core::duration wait{};
};

/// Asks to append records to the fleet topic.
struct fleet_topic_append
{
    /// Service that receives the result.
    std::string sender;
    std::vector<store::record> records;
    std::optional<store::position> expectedEnd;
};

struct fleet_topic_append_ended
{
    store::append_result result;
};

} // namespace corneltally::catalog
