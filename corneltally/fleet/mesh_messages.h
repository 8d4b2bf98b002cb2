#pragma once

#include "corneltally/fleet/fleet_messages.h"
#include "corneltally/fleet/holder_claims.h"

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

/// Messages from and to the mesh service.
namespace corneltally::fleet {

/// Sends a message to one instance. Without a name it goes to all instances of the failure domain,
/// and the other domains receive it with the next summary.
struct mesh_send
{
    std::string instance;
    message body;
};

/// A message received from another instance.
struct mesh_received
{
    std::string instance;
    std::uint64_t incarnation = 0;
    message body;
};

/// A summary of another failure domain was received.
struct domain_summary_received
{
    std::shared_ptr<const domain_summary> summary;
};

/// The instances that may exist and those that are live, both without this one.
struct instances_changed
{
    /// Failure domains of the instances that may exist, by instance name.
    std::map<std::string, std::string> members;
    /// Members that exchange heartbeats with this instance and may claim engines: those that have a
    /// record or are live.
    std::vector<std::string> claimants;
    std::vector<live_candidate> live;

    friend bool operator==(const instances_changed &, const instances_changed &) = default;
};

/// Asks for the contents of the next heartbeat, which are sent back as a heartbeat_part.
struct heartbeat_due
{ };

/// Contents of the next heartbeat, provided by the front service.
struct heartbeat_part
{
    std::vector<limits::account_use> accountUses;
    std::map<engines::endpoint_digest, engines::endpoint_load> loads;
    std::vector<engines::adapter_digest> adapterUses;
    std::vector<engines::adapter_digest> adaptersRunning;
    std::vector<answer_pause> pauses;
    quarantine::quarantine_state quarantine;
    std::set<std::uint64_t> leaving;
    std::map<std::uint64_t, core::duration> cold;
    std::vector<answer_interval> intervals;
};

} // namespace corneltally::fleet
