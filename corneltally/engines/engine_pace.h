#pragma once

#include "corneltally/core/boot_clock.h"

#include <optional>
#include <vector>

namespace corneltally::engines {

/// Time that one start of an engine takes for its work compared with the other engines of its
/// service, learned from the intervals between the events of its answers.
class engine_pace
{
public:
    /// Weight of a new answer in the moving average once there are some.
    static constexpr double sWeight = 0.15;
    /// An answer counts at most as this multiple of the average, or its part, so that one that was
    /// preempted, or fell into a short slow phase, changes little.
    static constexpr double sMaxDeviation = 1.6;
    /// Answers after which half of the difference to the other engines is believed.
    static constexpr double sHalfTrust = 2;
    /// Without an answer for this long, nothing is known any more.
    static constexpr core::duration sMaxAge = std::chrono::seconds(30);
    /// Bounds of the relative time.
    static constexpr double sMinRelative = 0.4;
    static constexpr double sMaxRelative = 4;

    void observe(core::duration inInterval, core::time_point inNow);

    /// Average interval; nothing without recent answers.
    std::optional<core::duration> interval(core::time_point inNow) const;

    /// Time for a given amount of work, relative to an engine with the typical interval. Few
    /// answers change little; 1 without recent ones.
    double relativeTime(core::duration inTypical, core::time_point inNow) const;

private:
    /// Moving average of the logarithm of the interval in milliseconds.
    double mLogInterval = 0;
    int mAnswers = 0;
    core::time_point mLastAt;
};

/// Median of the intervals of a service's engines; zero without any.
core::duration typicalInterval(std::vector<core::duration> inIntervals);

} // namespace corneltally::engines
