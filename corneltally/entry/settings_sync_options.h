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
    /// Addresses by endpoint name that override those of the settings tree.
    std::map<std::string, std::string, std::less<>> endpointAddresses;
    /// How long a read waits at the log for a record. Each read confirms the tree once. An
    /// unresponsive connection is abandoned 2 s later, and a change must still be read within 3 s.
    std::chrono::milliseconds logWait{500};
    /// Minimum and maximum delay before the next attempt to read the log.
    core::duration minRetryDelay = std::chrono::milliseconds(100);
    core::duration maxRetryDelay = std::chrono::seconds(2);
    /// Period of requests to peers for missing records.
    core::duration peerPeriod = std::chrono::milliseconds(500);
    /// Another peer that reports a newer version is asked if the one asked before has not answered
    /// for this long.
    core::duration peerAnswerTime = std::chrono::milliseconds(500);
    core::duration snapshotCheckPeriod = std::chrono::seconds(5);
};

} // namespace corneltally::entry
