#pragma once

#include "bench/soak_calls.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace corneltally::bench {

/// An endpoint told an instance that it leaves, or asked for a pause.
struct soak_notice
{
    std::string instance;
    std::string endpoint;
    /// Which start of the endpoint the instance took it for.
    std::uint64_t startedMs = 0;
    /// Seconds since 1970.
    double at = 0;
    double pause = 0;
    bool leaving = false;
};

/// A time without something, in seconds since 1970.
struct soak_interval
{
    double from = 0;
    double until = 0;
};

/// A failure domain was evacuated: from the store's acknowledgement to the withdrawal.
struct soak_evacuation
{
    std::string failureDomain;
    soak_interval time;
};

/// Facts of a soak run: what callers saw, and what endpoints and the store wrote down.
struct soak_facts
{
    std::vector<soak_call> calls;
    std::vector<nlohmann::json> runs;
    /// Requests that endpoints refused.
    std::vector<nlohmann::json> refused;
    std::vector<soak_notice> notices;
    /// When instances were started again, in seconds since 1970.
    std::map<std::string, std::vector<double>> starts;
    /// When instances were killed, in seconds since 1970.
    std::map<std::string, std::vector<double>> kills;
    std::vector<nlohmann::json> orders;
    std::vector<soak_evacuation> evacuations;
    /// Failure domains of the endpoints.
    std::map<std::string, std::string> domains;
    /// Times in which the store was out of reach, of an instance or with an empty name of all.
    std::map<std::string, std::vector<soak_interval>> storeOutages;
    /// Bound of the time in which an evacuation is in force at instances that reach the store.
    double evacuationBound = 0;
    std::vector<nlohmann::json> overfull;
    /// When a key was withdrawn, in seconds since 1970.
    std::map<std::string, double> withdrawn;
    /// Bound of the time in which a configuration is in force everywhere, with outages.
    double configurationBound = 0;
    /// Time between the orders of two holders of one engine.
    double holderPause = 0;
};

/// How often each promise was checked, and what contradicts it.
struct soak_verdict
{
    std::map<std::string, long long> checked;
    std::vector<std::string> violations;
};

soak_verdict checkSoak(const soak_facts &inFacts);

} // namespace corneltally::bench
