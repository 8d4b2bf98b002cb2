#include "corneltally/engines/endpoint_condition.h"

#include <algorithm>
#include <utility>

namespace corneltally::engines {

bool endpoint_condition::apply(const endpoint_notice &inNotice, core::time_point inNow)
{
    bool isChanged = inNotice.leaving && !mIsLeaving;
    mIsLeaving = mIsLeaving || inNotice.leaving;
    if (!inNotice.pause || *inNotice.pause <= core::duration::zero()) {
        // The answer to the test asks for no further pause.
        if (std::exchange(mIsTested, false)) {
            mPausedUntil = inNow;
            mAskedUntil = inNow;
            isChanged = true;
        }
        return isChanged;
    }
    mIsTested = false;
    mAskedUntil = std::max(mAskedUntil, inNow + *inNotice.pause);
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

void endpoint_condition::requestSent(core::time_point inNow)
{
    if (inNow < mPausedUntil || inNow >= mAskedUntil)
        return;
    mIsTested = true;
    mPausedUntil = std::min(mAskedUntil, inNow + sMaxPause);
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
