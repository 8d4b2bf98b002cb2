#pragma once

#include "corneltally/fleet/fleet_messages.h"

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

/// A request of this instance was sent for an adapter.
struct local_adapter_used
{
    fleet::adapter_use use;
};

/// State of an engine that this instance holds.
struct held_engine_changed
{
    fleet::engine_state state;
};

} // namespace corneltally::orders
