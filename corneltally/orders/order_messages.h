#pragma once

#include "corneltally/fleet/fleet_messages.h"

#include <vector>

/// Messages from and to the order service.
namespace corneltally::orders {

/// A request of this instance needs an adapter on an engine that this instance holds.
struct local_load_wanted
{
    fleet::load_wanted wanted;
};

/// A request of this instance was refused since the adapter is not there.
struct local_adapter_missing
{
    fleet::adapter_missing missing;
};

/// The first request of this instance on an adapter began, or its last one ended.
struct local_adapter_running
{
    fleet::adapter_running change;
};

/// Adapters that requests of this instance were sent for since the last message, and those that
/// requests run on now.
struct local_adapter_uses
{
    std::vector<engines::adapter_digest> sent;
    std::vector<engines::adapter_digest> running;
};

/// State of an engine that this instance holds.
struct held_engine_changed
{
    fleet::engine_state state;
};

} // namespace corneltally::orders
