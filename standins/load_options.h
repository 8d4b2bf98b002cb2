#pragma once

#include <string>
#include <vector>

namespace standins {

class flag_parser;

/// Flags of the load tool.
struct load_options
{
    /// Addresses of entry instances; calls are spread over them at random.
    std::vector<std::string> targets;
    std::string workload = "strengvegur";
    long long seed = 1;
    double callsPerSecond = 20;
    double seconds = 20;
    /// Longest wait for answers after the last arrival.
    double drainSeconds = 130;
    long long adapters = 3'000;
    /// Exponent of the popularity: adapter k is asked for in proportion to 1 / k^skew. At 1.6 the
    /// 48 slots of twelve engines cover about 93% of the calls.
    double skew = 1.6;
    /// Account that sends a multiple of its share; empty for none.
    std::string heavyAccount;
    double heavyFactor = 1;
    /// Attempts for orders and idempotent calls.
    long long attempts = 5;
    /// Fails if a kind of request completed no call.
    bool requireCompletions = false;
    std::string ledgerFile;
    /// Ledgers of application services, from which double runs are counted.
    std::vector<std::string> applicationLedgers;

    void addFlags(flag_parser &ioFlags);
};

} // namespace standins
