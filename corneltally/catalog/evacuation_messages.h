#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/store/position.h"

#include <cstdint>
#include <string>

/// Messages about the evacuation of failure domains.
namespace corneltally::catalog {

/// The evacuation of a failure domain has begun or ended: its endpoints get no new requests and no
/// orders meanwhile.
struct evacuation_changed
{
    std::string failureDomain;
    bool evacuated = false;
    /// Position of the operator record that says so.
    store::position position;

    friend auto operator<=>(const evacuation_changed &, const evacuation_changed &) = default;
};

/// Asks to read the operator records now, without waiting for a change.
struct operator_records_poll
{ };

/// A read of the operator records succeeded. All changes before its start are applied.
struct operator_records_confirmed
{
    core::time_point asOf;
};

/// Another instance has not yet learned of an evacuation and is to be relayed its record.
struct evacuation_unknown
{
    std::string instance;
};

} // namespace corneltally::catalog
