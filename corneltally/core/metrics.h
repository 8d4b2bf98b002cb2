#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace corneltally::core {

/// Counters, gauges and latencies of the process, written in the Prometheus text format. Names of
/// counters and gauges may have labels, as in requests_total{outcome="completed"}.
class metrics
{
public:
    metrics();
    ~metrics();
    metrics(const metrics &) = delete;
    metrics &operator=(const metrics &) = delete;

    void count(std::string_view inName, std::uint64_t inAmount = 1);
    void setGauge(std::string_view inName, double inValue);
    /// Adds a duration to a latency summary, whose name must not have labels.
    void observe(std::string_view inName, duration inValue);

    std::string toText() const;

private:
    struct latency;

    std::map<std::string, std::uint64_t, std::less<>> mCounters;
    std::map<std::string, double, std::less<>> mGauges;
    std::map<std::string, std::unique_ptr<latency>, std::less<>> mLatencies;
};

} // namespace corneltally::core
