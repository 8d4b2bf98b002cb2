#pragma once

#include "corneltally/engines/endpoint_entry.h"
#include "corneltally/store/record.h"
#include "corneltally/store/topic_follower.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::routing {
class routing_table;
}

/// Messages from and to the catalog service.
namespace corneltally::catalog {

/// A newer configuration is in force.
struct configuration_changed
{
    std::shared_ptr<const routing::routing_table> table;
};

/// The operator named a newer version of an adapter.
struct adapter_version_named
{
    std::string model;
    std::string adapter;
    std::uint64_t version = 0;
};

/// An endpoint appeared or changed.
struct endpoint_changed
{
    engines::endpoint_entry entry;
};

/// An endpoint's entry is gone. It may return if the store was away before.
struct endpoint_removed
{
    std::string id;
    bool mayReturn = false;
};

/// Exactly these endpoints have an entry.
struct endpoints_listed
{
    std::vector<std::string> ids;
    bool mayReturn = false;
};

/// Offset behind the newest operator's record that this instance has.
struct operator_end_changed
{
    std::uint64_t end = 0;
};

/// Another instance lacks operator's records from an offset on.
struct operator_records_wanted
{
    std::string instance;
    std::uint64_t from = 0;
};

/// An operator's record is to be sent on to another instance.
struct operator_record_passed
{
    std::string instance;
    store::record record;
};

/// Another instance passed an operator's record on.
struct operator_record_received
{
    store::record record;
};

/// Whether this instance passes the endpoints' records on to the others of its failure domain, so
/// that these need not read them.
struct endpoint_reader_changed
{
    bool reads = false;
};

/// Endpoints' records that this instance has read and passes on, or that another one passed on.
/// Records that say nothing new are left out.
struct endpoint_records_passed
{
    store::topic_update update;
};
struct endpoint_records_received
{
    store::topic_update update;
};

/// Records of the topic that the instances share.
struct fleet_topic_updated
{
    store::topic_update update;
};

/// The topic that the instances share is to be read now, or its reads are to wait for a time.
struct fleet_look
{ };
struct fleet_wait_changed
{
    core::duration wait{};
};

/// Appends records to the topic that the instances share.
struct fleet_append
{
    /// Service that gets the result.
    std::string sender;
    std::vector<store::record> records;
    std::optional<std::uint64_t> expectedEnd;
};

struct fleet_append_ended
{
    store::append_result result;
};

} // namespace corneltally::catalog
