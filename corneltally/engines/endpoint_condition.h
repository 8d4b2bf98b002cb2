#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/endpoint_notice.h"

namespace corneltally::engines {

/// Whether an endpoint takes requests, as far as its own answers say. Belongs to one start of the
/// endpoint: entries of the platform's list do not change it.
class endpoint_condition
{
public:
    /// During a longer pause one request each so often tests whether the endpoint still wants it,
    /// so that a faulty one can't take itself out of service for hours with one answer.
    static constexpr core::duration sMaxPause = std::chrono::minutes(5);

    /// Applies the notice in an answer, also an empty one. Returns whether the condition changed.
    bool apply(const endpoint_notice &inNotice, core::time_point inNow);

    /// Records that a request was sent. During a pause it is the test; its answer decides.
    void requestSent(core::time_point inNow);

    bool isLeaving() const { return mIsLeaving; }
    bool isPaused(core::time_point inNow) const { return inNow < mPausedUntil; }
    bool takesRequests(core::time_point inNow) const { return !mIsLeaving && !isPaused(inNow); }
    core::time_point pausedUntil() const { return mPausedUntil; }

    /// Returns the length of each pause once after its end.
    std::optional<core::duration> takeEndedPause(core::time_point inNow);

private:
    bool mIsLeaving = false;
    /// When requests may be sent again, and the end of the pause that the endpoint asked for.
    core::time_point mPausedUntil;
    core::time_point mAskedUntil;
    /// Whether a request was sent as a test and not yet answered.
    bool mIsTested = false;
    /// Start of the current or last pause until its end was reported.
    std::optional<core::time_point> mPausedSince;
};

} // namespace corneltally::engines
