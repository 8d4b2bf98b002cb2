#pragma once

#include "corneltally/core/boot_clock.h"

#include <compare>
#include <string_view>

namespace corneltally::engines {

/// Source from which it is known that an endpoint is cold.
enum class cold_source {
    none,
    /// The endpoint's entry in the platform's list.
    entry,
    /// An answer of the endpoint to this instance.
    answer,
    /// The endpoint is new, or has started again.
    start,
    /// A connection was refused, broke before any answer, or timed out, or the entry was missing:
    /// the endpoint may have started again.
    silence,
    /// The evacuation of its failure domain ended.
    evacuation,
    /// Another instance.
    peer,
};

std::string_view toString(cold_source inSource);

/// Until when one start of an endpoint counts as cold. A cold endpoint is slow, and terminates if
/// it receives many requests within a second.
class cold_state
{
public:
    /// An entry that is read this long after an event was written after it: entries are written
    /// every 1.2 s and read every 0.7 s, and another instance may have relayed them.
    static constexpr core::duration sMaxEntryAge = std::chrono::milliseconds(2500);
    /// Reports of other instances count only beyond this. Otherwise the delay of each message would
    /// extend the cold time.
    static constexpr core::duration sPeerTolerance = std::chrono::milliseconds(500);

    /// An event after which the endpoint counts as cold for inColdTime.
    void eventSeen(cold_source inSource, core::duration inColdTime, core::time_point inNow);

    /// Applies a remaining time that the endpoint has written, not before inWrittenAfter. It may
    /// shorten the cold time only if it was written after the last event.
    void remainingRead(cold_source inSource, core::duration inRemaining,
                       core::time_point inWrittenAfter, core::time_point inNow);

    /// Another instance knows that the endpoint stays cold for inRemaining.
    void peerReported(core::duration inRemaining, core::time_point inNow);

    bool isCold(core::time_point inNow) const { return inNow < mUntil; }
    core::time_point until() const { return mUntil; }
    cold_source source() const { return mSource; }
    /// When the last event was seen, or the last remaining time that extended the cold time.
    core::time_point since() const { return mEventAt; }

    friend auto operator<=>(const cold_state &, const cold_state &) = default;

private:
    core::time_point mUntil;
    core::time_point mEventAt;
    cold_source mSource = cold_source::none;
};

} // namespace corneltally::engines
