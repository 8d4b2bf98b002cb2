#pragma once

#include "corneltally/core/boot_clock.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace corneltally::settings {
class catalog;
}

namespace corneltally::entry {

/// A new version of the settings tree is in force. Sent to all services; shared since the catalog
/// is immutable and large.
struct catalog_changed
{
    std::shared_ptr<const settings::catalog> catalog;
};

/// Processes that the platform reports as leaving. The settings_sync service marks the endpoints
/// among them as leaving in the catalog.
struct endpoints_leaving
{
    std::set<std::string, std::less<>> names;
};

/// The tree was confirmed to be current by the log or by a peer that reads the log.
struct settings_confirmed
{
    core::time_point at;
};

} // namespace corneltally::entry
