#pragma once

#include "corneltally/core/boot_clock.h"

#include <optional>

namespace corneltally::scheduling {

/// Options of endpoint_health.
struct health_options
{
    /// Consecutive failures after which an endpoint only gets probe requests.
    int failureLimit = 3;
    core::duration firstBackoff = std::chrono::milliseconds(250);
    core::duration maxBackoff = std::chrono::seconds(8);
    /// Weight of a new sample in the moving averages.
    double smoothing = 0.1;
    /// Number of allowed requests in flight at which an endpoint counts as recovered.
    int fullAllowance = 64;
};

/// Estimates the health of an endpoint from the outcomes of its requests.
class endpoint_health
{
public:
    explicit endpoint_health(health_options inOptions = {});

    /// True if a request may be sent now. While the endpoint is being probed, the requests in
    /// flight are limited: to one at first, then to twice as many after each success.
    bool mayStart(core::time_point inNow) const;

    /// Records a sent request; succeeded(), failed() or abandoned() must follow.
    void started();

    /// Record the outcome of a request.
    void succeeded(core::duration inLatency, core::time_point inNow);
    void failed(core::time_point inNow);

    /// Records a request that ended without an outcome, for example because its caller
    /// disconnected.
    void abandoned();

    /// Weight of the endpoint in the choice of a route, from 0 (no requests now) to 1 (healthy). If
    /// inTypicalLatency is given, an endpoint with more than twice that latency gets less.
    double weight(core::time_point inNow, core::duration inTypicalLatency = {}) const;

    bool isProbing() const { return mAllowance.has_value(); }
    double errorRate() const { return mErrorRate; }
    /// Average latency; zero before the first success.
    core::duration latency() const { return mLatency; }
    core::time_point nextProbe() const { return mNextProbe; }

private:
    void removeInFlight();

    health_options mOptions;
    double mErrorRate = 0;
    core::duration mLatency{};
    int mConsecutiveFailures = 0;
    int mInFlight = 0;
    /// Requests that may be in flight while the endpoint recovers; no value means unlimited.
    std::optional<int> mAllowance;
    core::duration mBackoff{};
    core::time_point mNextProbe;
};

} // namespace corneltally::scheduling
