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
    /// Longest time from the first byte of a request to its last one.
    std::int64_t requestTimeoutMs = 10'000;
    /// Longest idle time of a caller's connection between requests.
    std::int64_t idleTimeoutMs = 75'000;
    /// Maximum number of unsent bytes of an answer; the caller's connection is closed beyond that.
    std::int64_t maxUnsentBytes = 1024 * 1024;

    friend auto operator<=>(const process_limits &, const process_limits &) = default;
};

/// Settings of one process, from its settings file. Addresses are "ip:port".
struct process_settings
{
    std::string instanceName;
    std::string failureDomain;
    /// Listen addresses for callers, operators and other instances; with port 0 the kernel chooses
    /// the port.
    std::string callers;
    std::string operators;
    std::string peers;
    std::string platformAddress;
    /// Overrides of peer_address in the settings tree, by instance name.
    std::map<std::string, std::string, std::less<>> peerAddresses;
    /// Overrides of the address of endpoints in the settings tree, by endpoint name.
    std::map<std::string, std::string, std::less<>> endpointAddresses;
    process_limits limits;
    /// Guard that a test disables to verify that the checkers detect violations: "claim", "fence",
    /// "shares" or "withdraw". Omitted from the reference page; requires --allow-test-settings.
    std::string brokenGuard;

    /// Parses and checks a file. On failure the error lists every problem on a line of its own;
    /// outProblems receives them individually.
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
