#include "corneltally/engines/cold_state.h"

namespace corneltally::engines {

std::string_view toString(cold_source inSource)
{
    switch (inSource) {
    case cold_source::none:
        break;
    case cold_source::entry:
        return "entry";
    case cold_source::answer:
        return "answer";
    case cold_source::start:
        return "start";
    case cold_source::silence:
        return "silence";
    case cold_source::evacuation:
        return "evacuation";
    case cold_source::peer:
        return "peer";
    }
    return "none";
}

void cold_state::eventSeen(cold_source inSource, core::duration inColdTime, core::time_point inNow)
{
    mEventAt = inNow;
    if (inNow + inColdTime <= mUntil)
        return;
    mUntil = inNow + inColdTime;
    mSource = inSource;
}

void cold_state::remainingRead(cold_source inSource, core::duration inRemaining,
                               core::time_point inWrittenAfter, core::time_point inNow)
{
    const core::time_point until = inNow + inRemaining;
    if (inRemaining > core::duration::zero() && until >= mUntil) {
        mUntil = until;
        mSource = inSource;
        mEventAt = inNow;
    } else if (until < mUntil && inWrittenAfter >= mEventAt) {
        mUntil = until;
        mSource = inSource;
    }
}

void cold_state::peerReported(core::duration inRemaining, core::time_point inNow)
{
    if (inNow + inRemaining <= mUntil + sPeerTolerance || inRemaining <= core::duration::zero())
        return;
    mUntil = inNow + inRemaining;
    mSource = cold_source::peer;
    mEventAt = inNow;
}

} // namespace corneltally::engines
