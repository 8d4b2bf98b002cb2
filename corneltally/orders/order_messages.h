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

/// An engine refused a request of this instance because the adapter is not resident.
struct local_adapter_missing
{
    fleet::adapter_missing missing;
};

/// The first request of this instance on an adapter began, or its last one ended.
struct local_adapter_running
{
    fleet::adapter_running change;
};

/// Adapters for which this instance sent requests since the last message, and adapters that its
/// requests run on now.
struct local_adapter_uses
{
    std::vector<engines::adapter_digest> sent;
    std::vector<engines::adapter_digest> running;
};

/// A request of this instance needs a permit for an endpoint that this instance holds, and the
/// reply.
struct local_permit_wanted
{
    fleet::permit_wanted wanted;
};
struct local_permit_reply
{
    fleet::permit_reply reply;
};

/// The state of an engine that this instance holds changed, or is repeated.
struct held_engine_changed
{
    fleet::engine_state state;
};

} // namespace corneltally::orders
