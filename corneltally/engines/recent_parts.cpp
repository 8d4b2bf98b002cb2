#include "corneltally/engines/recent_parts.h"

namespace corneltally::engines {

void recent_parts::sent(prefix_digest inPrefix, core::time_point inNow)
{
    const auto [found, isNew] = mByPrefix.try_emplace(inPrefix);
    if (isNew)
        found->second = mBySentTime.insert(mBySentTime.end(), {inPrefix, inNow});
    else
        mBySentTime.splice(mBySentTime.end(), mBySentTime, found->second);
    found->second->sentAt = inNow;
    if (mBySentTime.size() > sMaxParts) {
        mByPrefix.erase(mBySentTime.front().prefix);
        mBySentTime.pop_front();
    }
}

bool recent_parts::isRecent(prefix_digest inPrefix, core::time_point inNow) const
{
    const auto found = mByPrefix.find(inPrefix);
    return found != mByPrefix.end() && inNow - found->second->sentAt <= sRetention;
}

void recent_parts::prune(core::time_point inNow)
{
    while (!mBySentTime.empty() && inNow - mBySentTime.front().sentAt > sRetention) {
        mByPrefix.erase(mBySentTime.front().prefix);
        mBySentTime.pop_front();
    }
}

} // namespace corneltally::engines
