#pragma once

#include "corneltally/core/result.h"
#include "corneltally/settings/key_definition.h"
#include "corneltally/settings/problem.h"

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::settings {

/// Settings of one forwarding instance, from its settings file. Addresses are "ip:port".
struct forwarding_settings
{
    std::string instanceName;
    std::string failureDomain;
    /// Identity of the machine; two processes on one machine count as the same holder of engines.
    std::string machine;
    std::string callers;
    std::string operators;
    std::string peers;
    std::string storeAddress;
    /// Addresses of other instances, separated by commas; they may be outdated.
    std::string seeds;
    /// Time between SIGTERM and the end of the process by force.
    std::int64_t stopMs = 8000;
    /// Time between the orders of two holders of one engine.
    std::int64_t holderPauseMs = 3000;
    /// Bound of the times that requests are sent again, over all instances.
    double retryRatio = 0.2;
    std::int64_t retryWindowMs = 10'000;
    double retrySlack = 0;
    /// Time to load an adapter and speed of reading prompts, for estimates.
    std::int64_t adapterLoadMs = 250;
    double promptTokensPerMs = 40;

    /// Checks a file as a whole. On failure the reason lists every problem, a line for each;
    /// outProblems gets them one by one.
    static core::result<forwarding_settings> sFromToml(std::string_view inText,
                                                       std::string_view inFile,
                                                       std::vector<problem> *outProblems = nullptr);

    /// Whether a file is one of a forwarding instance: it has a [store] table.
    static bool sIsOne(std::string_view inText);

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
