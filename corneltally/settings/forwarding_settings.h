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

/// Settings of one forwarding instance, from its settings file. Addresses are "ip:port".
struct forwarding_settings
{
    std::string instanceName;
    std::string failureDomain;
    /// Region of this instance; empty if unknown.
    std::string region;
    /// Identity of the machine. Processes on the same machine count as one holder of engines.
    std::string machine;
    std::string callers;
    std::string operators;
    std::string peers;
    std::string storeAddress;
    /// Comma-separated addresses of other instances; they may be outdated.
    std::string seeds;
    /// Time between SIGTERM and the forced end of the process.
    std::int64_t stopMs = 8000;
    /// Memory that the process may use.
    std::int64_t memoryMb = 512;
    /// Minimum time between the last order of an engine's holder and the first order of the next
    /// holder.
    std::int64_t holderPauseMs = 3000;
    /// Time within which the evacuation of a failure domain must be in force; zero if there is no
    /// such bound.
    std::int64_t evacuationMs = 0;
    /// Retry budget over all instances: ratio of retries to requests per window, and additional
    /// retries per window.
    double retryRatio = 0.2;
    std::int64_t retryWindowMs = 10'000;
    double retrySlack = 0;
    /// Adapter load time and prefill speed, for estimates.
    std::int64_t adapterLoadMs = 250;
    double promptTokensPerMs = 40;
    /// Whether the speed of each engine is learned from its answers.
    bool learnsSpeed = false;
    /// Region of each failure domain. A failure domain that is not listed is in no region.
    std::map<std::string, std::string, std::less<>> regions;
    /// Requests that a cold endpoint may receive in a second: a multiple of what it sustains, and
    /// additional ones. Without the factor the rule is not in force.
    double coldOver = 0;
    double coldSlack = 0;
    /// Whether requests are weighed against each other during an overload.
    bool weighsOverload = false;

    /// Parses and checks a file. On failure the error lists every problem on a line of its own;
    /// outProblems receives them individually.
    static core::result<forwarding_settings> sFromToml(std::string_view inText,
                                                       std::string_view inFile,
                                                       std::vector<problem> *outProblems = nullptr);

    /// Whether a file belongs to a forwarding instance, recognised by its [store] table.
    static bool sIsForwardingFile(std::string_view inText);

    /// A key of the file with its table, for the reference page.
    struct table_key
    {
        std::string_view table;
        bool required = false;
        key_definition definition;
    };
    static std::vector<table_key> sKeys();

    friend auto operator<=>(const forwarding_settings &, const forwarding_settings &) = default;
};

} // namespace corneltally::settings
