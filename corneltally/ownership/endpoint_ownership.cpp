#include "corneltally/ownership/endpoint_ownership.h"

#include <algorithm>
#include <cassert>

namespace corneltally::ownership {

void takeover::acquire()
{
    mPhase = phase::acquiring;
}

void takeover::acquired(std::uint64_t inFence, core::time_point inNow)
{
    assert(inFence == 0 || inFence > mFence);
    mPhase = phase::owning;
    mFence = inFence;
    mQuarantineEnd = inNow;
    mKnownIdle.clear();
    // Runs that were on their way are refused from now on; the others are in later reports.
    mInterrupted.clear();
}

void takeover::acquiredUnfenced(core::time_point inNow, core::time_point inQuarantineEnd)
{
    const std::map<std::string, core::time_point, std::less<>> interrupted = mInterrupted;
    acquired(0, std::max(inNow, inQuarantineEnd));
    // Nothing refuses runs that are on their way.
    mInterrupted = interrupted;
}

void takeover::release()
{
    if (mPhase == phase::owning || mPhase == phase::acquiring)
        mPhase = phase::releasing;
}

void takeover::lost()
{
    mPhase = phase::not_owner;
    mKnownIdle.clear();
}

void takeover::interrupted(std::string_view inAdapter, core::time_point inUntil)
{
    core::time_point &until = mInterrupted.try_emplace(std::string(inAdapter)).first->second;
    until = std::max(until, inUntil);
}

void takeover::interruptedOnTheWay(std::string_view inAdapter)
{
    interrupted(inAdapter, core::time_point::max());
}

void takeover::reported(std::span<const adapter_use> inAdapters, core::time_point inDescribed)
{
    for (const adapter_use &use : inAdapters) {
        if (use.running > 0)
            continue;
        if (inDescribed > mQuarantineEnd)
            mKnownIdle.insert(use.adapter);
        const auto found = mInterrupted.find(use.adapter);
        if (found != mInterrupted.end() && inDescribed > found->second)
            mInterrupted.erase(found);
    }
    // An adapter that is no longer resident is quarantined again if another instance loads it.
    std::erase_if(mKnownIdle, [&](const std::string &inName) {
        return std::ranges::find(inAdapters, inName, &adapter_use::adapter) == inAdapters.end();
    });
}

bool takeover::isQuarantined(std::string_view inAdapter) const
{
    return !mKnownIdle.contains(inAdapter) || mInterrupted.contains(inAdapter);
}

std::string_view toString(takeover::phase inPhase)
{
    switch (inPhase) {
    case takeover::phase::not_owner:
        return "not_owner";
    case takeover::phase::acquiring:
        return "acquiring";
    case takeover::phase::owning:
        return "owning";
    case takeover::phase::releasing:
        break;
    }
    return "releasing";
}

} // namespace corneltally::ownership
