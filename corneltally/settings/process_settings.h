#pragma once

#include "corneltally/core/result.h"
#include "corneltally/settings/key_definition.h"
#include "corneltally/settings/problem.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::settings {

/// Limits of one process.
struct process_limits
{
    /// Open connections of callers.
    std::int64_t maxConnections = 10'000;
    std::int64_t maxBodyBytes = 1024 * 1024;
    /// From the first byte of a request to its last one.
    std::int64_t requestTimeoutMs = 10'000;
    /// Longest idle time of a caller's connection between requests.
    std::int64_t idleTimeoutMs = 75'000;
    /// Bytes of an answer that a caller has not taken yet; its connection is closed beyond that.
    std::int64_t maxUnsentBytes = 1024 * 1024;

    friend auto operator<=>(const process_limits &, const process_limits &) = default;
};

/// Settings of one process, from its settings file. Addresses are "ip:port".
struct process_settings
{
    std::string instanceName;
    std::string failureDomain;
    /// Listeners for callers, operators and other instances; port 0 lets the kernel choose.
    std::string callers;
    std::string operators;
    std::string peers;
    std::string platformAddress;
    /// Replaces peer_address of the settings tree, by instance name.
    std::map<std::string, std::string, std::less<>> peerAddresses;
    /// Replaces the address of endpoints of the settings tree, by endpoint name.
    std::map<std::string, std::string, std::less<>> endpointAddresses;
    process_limits limits;
    /// Guard that is switched off to show that the checkers of the proofs can fail: "claim",
    /// "fence", "shares" or "withdraw". Not in the reference; needs --allow-test-settings.
    std::string brokenGuard;

    /// Checks a file as a whole. On failure the reason lists every problem, a line for each;
    /// outProblems gets them one by one.
    static core::result<process_settings> sFromToml(std::string_view inText,
                                                    std::string_view inFile,
                                                    std::vector<problem> *outProblems = nullptr);

    /// A key of the file with its table.
    struct table_key
    {
        std::string_view table;
        bool required = false;
        key_definition definition;
    };

    /// All keys of the file, for the reference page. `[peer_addresses]` and
    /// `[endpoint_addresses]` are not listed, since their keys are names of the settings tree.
    static const std::vector<table_key> &sKeys();

    friend auto operator<=>(const process_settings &, const process_settings &) = default;
};

} // namespace corneltally::settings
