// Part of endpoint_table: which endpoints are cold, and when permits for them may be asked for.

#include "corneltally/engines/endpoint_table.h"

#include <algorithm>
#include <utility>

namespace corneltally::engines {

void endpoint_table::setColdTimes(std::map<std::string, core::duration, std::less<>> inColdTimes)
{
    const auto former = std::exchange(mColdTimes, std::move(inColdTimes));
    for (auto &[id, target] : mEndpoints) {
        // Endpoints may be listed before the configuration that names their service is known.
        if (coldTimeOf(target) && !former.contains(target.entry.service))
            applyColdEntry(target, target.appearedAt == target.entryAt, target.entryAt);
    }
}

std::optional<core::duration> endpoint_table::coldTimeOf(const endpoint &inEndpoint) const
{
    const auto found = mColdTimes.find(inEndpoint.entry.service);
    return found == mColdTimes.end() ? std::nullopt : std::optional(found->second);
}

bool endpoint_table::isCold(const endpoint &inEndpoint, core::time_point inNow) const
{
    return !mColdTimes.empty() && inEndpoint.cold.isCold(inNow) && coldTimeOf(inEndpoint);
}

bool endpoint_table::mayAskPermit(const endpoint &inEndpoint, core::time_point inNow)
{
    return inEndpoint.holderGrants && inNow >= inEndpoint.permitNotBefore;
}

/// Applies the cold time of the endpoint's entry. inMayHaveStarted: the endpoint is new, has
/// started again, or its entry was missing for a while.
void endpoint_table::applyColdEntry(endpoint &ioEndpoint, bool inMayHaveStarted,
                                    core::time_point inNow) const
{
    const auto coldTime = coldTimeOf(ioEndpoint);
    if (!coldTime)
        return;
    if (ioEndpoint.entry.coldLeft)
        ioEndpoint.cold.remainingRead(cold_source::entry, *ioEndpoint.entry.coldLeft,
                                      inNow - cold_state::sMaxEntryAge, inNow);
    else if (inMayHaveStarted)
        ioEndpoint.cold.eventSeen(cold_source::start, *coldTime, inNow);
}

void endpoint_table::applyColdAnswer(std::string_view inId, std::uint64_t inStartedMs,
                                     core::duration inColdLeft, core::time_point inSentAt,
                                     core::time_point inNow)
{
    endpoint *target = find(inId);
    if (target != nullptr && target->entry.startedMs == inStartedMs && coldTimeOf(*target))
        target->cold.remainingRead(cold_source::answer, inColdLeft, inSentAt, inNow);
}

void endpoint_table::expectColdAfterLoss(std::string_view inId, std::uint64_t inStartedMs,
                                         core::time_point inNow)
{
    endpoint *target = find(inId);
    if (target == nullptr || target->entry.startedMs != inStartedMs)
        return;
    if (const auto coldTime = coldTimeOf(*target))
        target->cold.eventSeen(cold_source::silence, *coldTime, inNow);
}

void endpoint_table::expectCold(std::string_view inFailureDomain, core::time_point inNow)
{
    for (auto &[id, target] : mEndpoints) {
        const auto coldTime = coldTimeOf(target);
        if (coldTime && target.entry.failureDomain == inFailureDomain)
            target.cold.eventSeen(cold_source::evacuation, *coldTime, inNow);
    }
}

void endpoint_table::applyPeerCold(const std::map<std::uint64_t, core::duration> &inStarts,
                                   core::time_point inNow)
{
    if (inStarts.empty() || mColdTimes.empty())
        return;
    for (auto &[id, target] : mEndpoints) {
        const auto found = inStarts.find(target.startDigest);
        if (found != inStarts.end() && coldTimeOf(target))
            target.cold.peerReported(found->second, inNow);
    }
}

std::map<std::uint64_t, core::duration> endpoint_table::ownColdReports(core::time_point inNow) const
{
    std::map<std::uint64_t, core::duration> reports;
    for (const auto &[id, target] : mEndpoints) {
        const cold_source source = target.cold.source();
        if ((source == cold_source::answer || source == cold_source::silence)
            && isCold(target, inNow) && !target.removed)
            reports.emplace(target.startDigest, target.cold.until() - inNow);
    }
    return reports;
}

void endpoint_table::deferPermits(std::string_view inHolder, core::time_point inUntil)
{
    for (auto &[id, target] : mEndpoints) {
        if (target.holder == inHolder)
            target.permitNotBefore = std::max(target.permitNotBefore, inUntil);
    }
}

std::optional<std::pair<core::time_point, core::time_point>>
endpoint_table::permitTimes(std::string_view inService, const std::set<std::string> &inExcluded,
                            const routing::allowed_domains &inDomains, core::time_point inNow) const
{
    std::optional<std::pair<core::time_point, core::time_point>> times;
    for (const auto &[id, target] : mEndpoints) {
        if (target.entry.service != inService || inExcluded.contains(id)
            || !inDomains.contains(target.entry.failureDomain) || !usable(target, inNow)
            || !isCold(target, inNow) || mayAskPermit(target, inNow))
            continue;
        // Without a holder that may give orders, no permit comes before the cold time ends.
        const core::time_point at = target.holderGrants
            ? std::min(target.permitNotBefore, target.cold.until())
            : target.cold.until();
        times = times ? std::pair(std::min(times->first, at), std::max(times->second, at))
                      : std::pair(at, at);
    }
    return times;
}

std::vector<cold_change> endpoint_table::takeColdChanges(core::time_point inNow)
{
    std::vector<cold_change> changes;
    if (mColdTimes.empty() && !mColdReported)
        return changes;
    mColdReported = false;
    for (auto &[id, target] : mEndpoints) {
        const bool cold = isCold(target, inNow) && !target.removed;
        mColdReported = mColdReported || cold;
        if (cold == target.coldReported)
            continue;
        target.coldReported = cold;
        changes.push_back({.endpoint = id,
                           .cold = cold,
                           .source = target.cold.source(),
                           .age = inNow - target.cold.since(),
                           .remaining = cold ? target.cold.until() - inNow : core::duration()});
    }
    return changes;
}

} // namespace corneltally::engines
