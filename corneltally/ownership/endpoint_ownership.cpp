#include "corneltally/ownership/endpoint_ownership.h"

#include <algorithm>
#include <cassert>

namespace corneltally::ownership {

void endpoint_ownership::acquire()
{
    mPhase = phase::acquiring;
}

void endpoint_ownership::acquired(std::uint64_t inFence, core::time_point inNow)
{
    assert(inFence == 0 || inFence > mFence);
    mPhase = phase::owning;
    mFence = inFence;
    mQuarantineEnd = inNow;
    mKnownIdle.clear();
    // The endpoint refuses runs in transit from now on; all other runs appear in later reports.
    mInterrupted.clear();
}

void endpoint_ownership::acquiredUnfenced(core::time_point inNow, core::time_point inQuarantineEnd)
{
    const std::map<std::string, core::time_point, std::less<>> interrupted = mInterrupted;
    acquired(0, std::max(inNow, inQuarantineEnd));
    // Without fencing, the endpoint does not refuse runs in transit.
    mInterrupted = interrupted;
}

void endpoint_ownership::release()
{
    if (mPhase == phase::owning || mPhase == phase::acquiring)
        mPhase = phase::releasing;
}

void endpoint_ownership::lost()
{
    mPhase = phase::not_owner;
    mKnownIdle.clear();
}

void endpoint_ownership::interrupted(std::string_view inAdapter, core::time_point inUntil)
{
    core::time_point &until = mInterrupted.try_emplace(std::string(inAdapter)).first->second;
    until = std::max(until, inUntil);
}

void endpoint_ownership::interruptedInTransit(std::string_view inAdapter)
{
    interrupted(inAdapter, core::time_point::max());
}

void endpoint_ownership::reported(std::span<const adapter_use> inAdapters,
                                  core::time_point inDescribedAt)
{
    for (const adapter_use &use : inAdapters) {
        if (use.running > 0)
            continue;
        if (inDescribedAt > mQuarantineEnd)
            mKnownIdle.insert(use.adapter);
        const auto found = mInterrupted.find(use.adapter);
        if (found != mInterrupted.end() && inDescribedAt > found->second)
            mInterrupted.erase(found);
    }
    // An adapter that is no longer resident is quarantined again if another instance loads it.
    std::erase_if(mKnownIdle, [&](const std::string &inName) {
        return std::ranges::find(inAdapters, inName, &adapter_use::adapter) == inAdapters.end();
    });
}

bool endpoint_ownership::isQuarantined(std::string_view inAdapter) const
{
    return !mKnownIdle.contains(inAdapter) || mInterrupted.contains(inAdapter);
}

std::string_view toString(endpoint_ownership::phase inPhase)
{
    switch (inPhase) {
    case endpoint_ownership::phase::not_owner:
        return "not_owner";
    case endpoint_ownership::phase::acquiring:
        return "acquiring";
    case endpoint_ownership::phase::owning:
        return "owning";
    case endpoint_ownership::phase::releasing:
        break;
    }
    return "releasing";
}

} // namespace corneltally::ownership
