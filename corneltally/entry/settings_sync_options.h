#pragma once

#include "corneltally/core/boot_clock.h"

#include <functional>
#include <map>
#include <string>

namespace corneltally::entry {

/// Parameters of the settings_sync service.
struct settings_sync_options
{
    /// Name of this instance.
    std::string instance;
    /// Replaces the addresses of the settings tree, by endpoint name.
    std::map<std::string, std::string, std::less<>> endpointAddresses;
    /// How long a read waits at the log for a record. The tree is confirmed once per read. A silent
    /// connection is given up 2 s later, which must leave time to read a change within 3 s.
    std::chrono::milliseconds logWait{500};
    /// First and longest delay before the log is tried again.
    core::duration minRetryDelay = std::chrono::milliseconds(100);
    core::duration maxRetryDelay = std::chrono::seconds(2);
    /// Period in which peers are asked for what is missing.
    core::duration peerPeriod = std::chrono::milliseconds(500);
    core::duration snapshotCheckPeriod = std::chrono::seconds(5);
};

} // namespace corneltally::entry
