#pragma once

#include <compare>

namespace corneltally::orders {

/// Loads of adapters that turned out to be late, or resident at the estimated time.
struct load_outcomes
{
    int late = 0;
    int timely = 0;

    friend auto operator<=>(const load_outcomes &, const load_outcomes &) = default;
};

/// Learns by how much adapters load slower than the number of loads in flight lets expect. A
/// request that is sent before its adapter is resident is refused and costs a retry, so the factor
/// rises fast with each late load and falls slowly with timely ones.
class load_slowness
{
public:
    static constexpr double sRise = 1.25;
    /// With this fall, about one load in twelve may be late at a constant factor.
    static constexpr double sFall = 0.02;
    static constexpr double sMax = 3;

    void record(const load_outcomes &inOutcomes);

    /// Factor of the estimated load time, from 1 to sMax.
    double factor() const { return mFactor; }

private:
    double mFactor = 1;
};

} // namespace corneltally::orders
