#pragma once

#include "corneltally/fleet/fleet_messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Messages from and to the mesh service.
namespace corneltally::fleet {

/// Sends a message to one instance, or to all instances if the name is empty.
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

/// The instances that may exist and those that are live, both without this one.
struct instances_changed
{
    std::vector<std::string> members;
    /// Members that may claim engines: those that have a record or are live.
    std::vector<std::string> recorded;
    /// Failure domains of the live instances, by instance name.
    std::map<std::string, std::string> live;

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
};

} // namespace corneltally::fleet
