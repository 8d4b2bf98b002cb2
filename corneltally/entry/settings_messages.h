#pragma once

#include "corneltally/core/boot_clock.h"

#include <functional>
#include <memory>
#include <set>
#include <string>

namespace corneltally::settings {
class settings_index;
}

namespace corneltally::entry {

/// A new version of the settings tree or of the leaving endpoints is in effect. Broadcast to all
/// services; shared since the settings are immutable and large.
struct settings_changed
{
    std::shared_ptr<const settings::settings_index> settingsIndex;
};

/// Names of the processes that the platform reports as leaving. The settings_sync service marks the
/// endpoints among them as leaving in the settings.
struct endpoints_leaving
{
    std::set<std::string, std::less<>> names;
};

/// The log, or a peer that reads it, confirmed that the settings tree is current.
struct settings_confirmed
{
    core::time_point at;
};

} // namespace corneltally::entry
