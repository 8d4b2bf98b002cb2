#pragma once

#include <string>
#include <vector>

namespace standins {

/// What a fleet consists of.
struct fleet_options
{
    /// Build folder that holds the programs.
    std::string binaries;
    /// Folder for settings, logs and ledgers; made if it is missing.
    std::string folder;
    /// "strengvegur" or "persatuan".
    std::string workload = "strengvegur";
    int instances = 4;
    int engines = 12;
    int applications = 3;
    /// How many of the engines ignore fencing numbers.
    int enginesWithoutFencing = 2;
    long long adapters = 3'000;
    int adapterSlots = 4;
    int runSlots = 8;
    /// Without the proxy links, connections go directly to their target and cannot be cut.
    bool proxied = true;
    /// Starts the daemon; without it only the stand-ins run.
    bool withEntries = true;
    std::vector<std::string> platformArguments;
    std::vector<std::string> engineArguments;
    std::vector<std::string> applicationArguments;
    /// Keys of the root of the settings tree, such as "max_queue = 64\n".
    std::string rootSettings;
    /// Guard that the entry instances switch off: "claim", "fence", "shares" or "withdraw".
    std::string brokenGuard;
};

} // namespace standins
