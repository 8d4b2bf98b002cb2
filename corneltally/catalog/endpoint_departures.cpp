#include "corneltally/catalog/endpoint_departures.h"

#include "corneltally/engines/endpoint_entry.h"

namespace corneltally::catalog {

bool endpoint_departures::start::isOf(const engines::endpoint_entry &inEntry) const
{
    return startedMs == inEntry.startedMs && address == inEntry.address.toString();
}

void endpoint_departures::entryApplied(const engines::endpoint_entry &inEntry,
                                       core::time_point inNow)
{
    start &known = mStarts[inEntry.id];
    const bool wasLeaving = known.isDeparted && known.isOf(inEntry);
    const core::time_point departedAt = wasLeaving ? known.departedAt : inNow;
    known = {inEntry.startedMs, inEntry.address.toString(), departedAt, inEntry.leaving};
}

void endpoint_departures::entryRemoved(std::string_view inEndpoint, core::time_point inNow)
{
    const auto known = mStarts.find(inEndpoint);
    if (known == mStarts.end())
        return;
    known->second.isDeparted = true;
    known->second.departedAt = inNow;
}

bool endpoint_departures::isOutdated(const engines::endpoint_entry &inEntry) const
{
    const auto known = mStarts.find(inEntry.id);
    return known != mStarts.end() && known->second.isDeparted && known->second.isOf(inEntry)
        && !inEntry.leaving;
}

void endpoint_departures::dropOld(core::time_point inNow)
{
    std::erase_if(mStarts, [inNow](const auto &inEntry) {
        return inEntry.second.isDeparted && inNow - inEntry.second.departedAt > sRetention;
    });
}

} // namespace corneltally::catalog
