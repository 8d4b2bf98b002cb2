#pragma once

#include "corneltally/core/boot_clock.h"

#include <optional>

namespace corneltally::scheduling {

/// Constants of the health estimate.
struct health_options
{
    /// Consecutive failures after which an endpoint gets probes only.
    int failureLimit = 3;
    core::duration firstBackoff = std::chrono::milliseconds(250);
    core::duration maxBackoff = std::chrono::seconds(8);
    /// Weight of a new sample in the averages.
    double smoothing = 0.1;
    /// Allowance from which an endpoint counts as fully recovered.
    int fullAllowance = 64;
};

/// Health of an endpoint, derived from the outcomes of its requests.
class endpoint_health
{
public:
    explicit endpoint_health(health_options inOptions = {});

    /// Whether a request may be sent now. While the endpoint is being probed, one at a time.
    bool mayStart(core::time_point inNow) const;

    /// A request was sent; one of ended() or abandoned() follows.
    void started();

    /// A request succeeded after a time, or failed.
    void succeeded(core::duration inLatency, core::time_point inNow);
    void failed(core::time_point inNow);

    /// A request ended without telling anything about the endpoint, for example because its caller
    /// left.
    void abandoned();

    /// Share of requests for this endpoint, from 0 (none now) to 1 (healthy). An endpoint that is
    /// more than twice as slow as the typical one, if that is given, gets less.
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
    /// Requests that may be in flight while the endpoint recovers; unlimited without a value.
    std::optional<int> mAllowance;
    core::duration mBackoff{};
    core::time_point mNextProbe;
};

} // namespace corneltally::scheduling
