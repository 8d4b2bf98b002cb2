#include "corneltally/scheduling/served_shares.h"

#include <algorithm>
#include <cmath>

namespace corneltally::scheduling {

namespace {

double decay(core::duration inElapsed)
{
    const std::chrono::duration<double> elapsed = std::max(core::duration::zero(), inElapsed);
    return std::exp2(-(elapsed / served_shares::sHalfLife));
}

} // namespace

void served_shares::add(const std::string &inGroup, bool inServed, core::time_point inNow)
{
    dropOld(inNow);
    if (mGroups.size() >= sMaxGroups && !mGroups.contains(inGroup))
        return;
    counts &group = mGroups[inGroup];
    const double factor = decay(inNow - group.at);
    group.all = group.all * factor + 1;
    group.served = group.served * factor + (inServed ? 1 : 0);
    group.at = inNow;
}

void served_shares::changeServed(std::string_view inGroup, double inChange, core::time_point inNow)
{
    const auto found = mGroups.find(inGroup);
    if (found == mGroups.end())
        return;
    counts &group = found->second;
    const double factor = decay(inNow - group.at);
    group.all *= factor;
    group.served = std::clamp(group.served * factor + inChange, 0.0, group.all);
    group.at = inNow;
}

double served_shares::share(std::string_view inGroup, core::time_point inNow) const
{
    const auto found = mGroups.find(inGroup);
    if (found == mGroups.end())
        return 1;
    const double factor = decay(inNow - found->second.at);
    return (found->second.served * factor + 1) / (found->second.all * factor + 1);
}

double served_shares::weight(std::string_view inGroup, core::time_point inNow) const
{
    const auto found = mGroups.find(inGroup);
    return found == mGroups.end() ? 0 : found->second.all * decay(inNow - found->second.at);
}

void served_shares::dropOld(core::time_point inNow)
{
    if (inNow < mNextDrop)
        return;
    mNextDrop = inNow + sHalfLife;
    std::erase_if(mGroups, [&](const auto &inEntry) {
        return inEntry.second.all * decay(inNow - inEntry.second.at) < sMinWeight;
    });
}

} // namespace corneltally::scheduling
