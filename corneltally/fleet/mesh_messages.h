#pragma once

#include "corneltally/fleet/fleet_messages.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

/// Messages from and to the mesh service.
namespace corneltally::fleet {

/// Sends a message to one instance, or to all if none is named.
struct mesh_send
{
    std::string instance;
    message body;
};

/// A message of another instance.
struct mesh_received
{
    std::string instance;
    std::uint64_t incarnation = 0;
    message body;
};

/// The instances that may exist, and those that were heard lately; both without this one.
struct instances_changed
{
    std::vector<std::string> members;
    /// Those of them that may claim engines: they have a record or are live.
    std::vector<std::string> recorded;
    /// Failure domains of the live ones, by name.
    std::map<std::string, std::string> live;

    friend bool operator==(const instances_changed &, const instances_changed &) = default;
};

/// Asks a service for its part of the next heartbeat; it answers with a heartbeat_part.
struct heartbeat_due
{ };

/// What the front end contributes to the next heartbeat.
struct heartbeat_part
{
    std::vector<limits::account_use> accountUses;
    std::map<engines::endpoint_digest, engines::endpoint_load> loads;
    std::vector<engines::adapter_digest> adapterUses;
    std::vector<engines::adapter_digest> adaptersRunning;
    std::vector<answer_pause> pauses;
};

} // namespace corneltally::fleet
