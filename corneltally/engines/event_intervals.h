#pragma once

#include "corneltally/core/boot_clock.h"

#include <optional>
#include <vector>

namespace corneltally::engines {

/// Intervals between the events of one answer, to tell how fast its engine generates tokens.
class event_intervals
{
public:
    /// An answer of fewer events says little about its engine.
    static constexpr std::size_t sMinIntervals = 6;
    /// Later events of long answers are ignored, to bound the memory of a request.
    static constexpr std::size_t sMaxIntervals = 48;

    void add(core::duration inInterval);

    /// Lower quartile of the intervals: while the engine prefills other prompts its steps take
    /// longer, which says more about its load than about its speed. Nothing for too few events.
    std::optional<core::duration> lowerQuartile() const;

private:
    std::vector<core::duration> mIntervals;
};

} // namespace corneltally::engines
