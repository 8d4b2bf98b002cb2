#include "corneltally/engines/endpoint_condition.h"

#include <algorithm>

namespace corneltally::engines {

bool endpoint_condition::apply(const endpoint_notice &inNotice, core::time_point inNow)
{
    bool isChanged = inNotice.leaving && !mIsLeaving;
    mIsLeaving = mIsLeaving || inNotice.leaving;
    if (!inNotice.pause || *inNotice.pause <= core::duration::zero())
        return isChanged;
    const core::time_point until = inNow + std::min(*inNotice.pause, sMaxPause);
    // An earlier answer may have asked for a longer pause.
    if (until > mPausedUntil) {
        mPausedUntil = until;
        if (!mPausedSince)
            mPausedSince = inNow;
        isChanged = true;
    }
    return isChanged;
}

std::optional<core::duration> endpoint_condition::takeEndedPause(core::time_point inNow)
{
    if (!mPausedSince || isPaused(inNow))
        return std::nullopt;
    const core::duration length = mPausedUntil - *mPausedSince;
    mPausedSince.reset();
    return length;
}

} // namespace corneltally::engines
