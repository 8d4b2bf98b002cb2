#include "corneltally/engines/endpoint_table.h"

#include "corneltally/core/digest.h"

#include <algorithm>
#include <utility>

namespace corneltally::engines {

namespace {

/// Takes the resident adapters and models from the platform's entry.
void adoptEntry(endpoint &ioEndpoint)
{
    ioEndpoint.models.clear();
    residency adapters{.arriving = ioEndpoint.adapters.arriving};
    for (const held_model &model : ioEndpoint.entry.models) {
        ioEndpoint.models.push_back(model.name);
        for (const held_adapter &adapter : model.adapters)
            adapters.resident[adapterKey(model.name, adapter.name)] = adapter.version;
    }
    ioEndpoint.setAdapters(std::move(adapters));
}

/// Updates the warm adapters before inReported replaces the endpoint's adapters: resident adapters
/// that the report no longer has are added, those that it has again are dropped. Beyond
/// sWarmAdapters, those that were unloaded first are dropped.
void recordUnloaded(endpoint &ioEndpoint, const residency &inReported)
{
    const auto isReported = [&](const std::string &inAdapter) {
        return inReported.resident.contains(inAdapter) || inReported.arriving.contains(inAdapter);
    };
    std::erase_if(ioEndpoint.warm, isReported);
    for (const auto &[adapter, version] : ioEndpoint.adapters.resident) {
        if (!isReported(adapter))
            ioEndpoint.warm.push_back(adapter);
    }
    if (ioEndpoint.warm.size() > endpoint_table::sWarmAdapters)
        ioEndpoint.warm.erase(ioEndpoint.warm.begin(),
                              ioEndpoint.warm.end()
                                  - static_cast<std::ptrdiff_t>(endpoint_table::sWarmAdapters));
}

} // namespace

std::string adapterKey(std::string_view inModel, std::string_view inAdapter)
{
    return std::string(inModel) + "/" + std::string(inAdapter);
}

endpoint_digest digestOf(std::string_view inEndpoint)
{
    return core::stableHash(inEndpoint);
}

std::uint64_t startDigest(std::string_view inEndpoint, std::uint64_t inStartedMs)
{
    std::string name(inEndpoint);
    return core::stableHash(name.append("@").append(std::to_string(inStartedMs)));
}

adapter_digest digestOf(std::string_view inEndpoint, std::string_view inAdapterKey)
{
    std::string name(inEndpoint);
    return core::stableHash(name.append("|").append(inAdapterKey));
}

bool endpoint::holdsModel(std::string_view inModel) const
{
    return std::ranges::find(models, inModel) != models.end();
}

void endpoint::setAdapters(residency inAdapters)
{
    adapters = std::move(inAdapters);
    residentDigests.clear();
    for (const auto &[adapter, version] : adapters.resident)
        residentDigests.push_back(digestOf(entry.id, adapter));
}

bool endpoint_table::apply(const endpoint_entry &inEntry, core::time_point inNow)
{
    const auto [found, isNew] = mEndpoints.try_emplace(inEntry.id);
    endpoint &target = found->second;
    const bool restarted = isNew || target.entry.startedMs != inEntry.startedMs
        || target.entry.address != inEntry.address;
    const bool returned = target.removed;
    if (restarted) {
        endpoint next;
        next.holder = target.holder;
        next.holderGrants = target.holderGrants;
        next.permitNotBefore = target.permitNotBefore;
        next.coldReported = target.coldReported;
        target = std::move(next);
    }
    if (restarted || returned)
        target.appearedAt = inNow;
    target.entry = inEntry;
    target.entryAt = inNow;
    applyColdEntry(target, restarted || returned, inNow);
    target.digest = digestOf(inEntry.id);
    target.startDigest = startDigest(inEntry.id, inEntry.startedMs);
    mByDigest[target.digest] = &target;
    target.removed = false;
    if (restarted || inNow - target.holderReportAt > sMaxHolderReportAge)
        adoptEntry(target);
    return restarted;
}

bool endpoint_table::applyNotice(std::string_view inId, std::uint64_t inStartedMs,
                                 const endpoint_notice &inNotice, core::time_point inNow)
{
    endpoint *target = find(inId);
    return target != nullptr && target->entry.startedMs == inStartedMs
        && target->condition.apply(inNotice, inNow);
}

std::vector<std::string> endpoint_table::applyPeerLeaving(const std::set<std::uint64_t> &inStarts,
                                                          core::time_point inNow)
{
    std::vector<std::string> changed;
    if (inStarts.empty())
        return changed;
    for (auto &[id, target] : mEndpoints) {
        if (inStarts.contains(target.startDigest)
            && target.condition.apply({.leaving = true}, inNow))
            changed.push_back(id);
    }
    return changed;
}

std::optional<std::pair<core::time_point, core::time_point>>
endpoint_table::pauseEnds(std::string_view inService, core::time_point inNow,
                          const routing::allowed_domains &inDomains) const
{
    std::optional<std::pair<core::time_point, core::time_point>> ends;
    for (const auto &[id, target] : mEndpoints) {
        if (target.entry.service != inService || target.removed || target.entry.leaving
            || target.condition.isLeaving() || isEvacuated(target)
            || !inDomains.contains(target.entry.failureDomain))
            continue;
        if (!target.condition.isPaused(inNow))
            return std::nullopt;
        const core::time_point until = target.condition.pausedUntil();
        ends = ends ? std::pair(std::min(ends->first, until), std::max(ends->second, until))
                    : std::pair(until, until);
    }
    return ends;
}

std::vector<std::pair<std::string, core::duration>>
endpoint_table::takeEndedPauses(core::time_point inNow)
{
    std::vector<std::pair<std::string, core::duration>> ended;
    for (auto &[id, target] : mEndpoints) {
        if (const auto length = target.condition.takeEndedPause(inNow))
            ended.emplace_back(id, *length);
    }
    return ended;
}

void endpoint_table::remove(std::string_view inId, bool inMayReturn, core::time_point inNow)
{
    endpoint *target = find(inId);
    if (target == nullptr || target->removed)
        return;
    target->removed = true;
    target->removedAt = inNow;
    // An endpoint that can't return is unusable at once.
    if (!inMayReturn || target->entry.leaving)
        target->removedAt -= sReturnTimeout;
}

void endpoint_table::keepOnly(const std::vector<std::string> &inIds, bool inMayReturn,
                              core::time_point inNow)
{
    for (const auto &[id, target] : mEndpoints) {
        if (std::ranges::find(inIds, id) == inIds.end())
            remove(id, inMayReturn, inNow);
    }
}

void endpoint_table::applyHolderReport(std::string_view inId, std::uint64_t inStartedMs,
                                       const std::string &inHolder, bool inReady,
                                       residency inAdapters, std::vector<std::string> inModels,
                                       int inQueued, core::time_point inNow)
{
    endpoint *target = find(inId);
    if (target == nullptr || target->entry.startedMs != inStartedMs)
        return;
    target->holder = inHolder;
    target->holderReady = inReady;
    target->holderGrants = inReady;
    target->holderReportAt = inNow;
    recordUnloaded(*target, inAdapters);
    target->setAdapters(std::move(inAdapters));
    target->queued = inQueued;
    target->models = std::move(inModels);
}

void endpoint_table::applyPeerLoads(const std::string &inInstance,
                                    std::map<endpoint_digest, endpoint_load> inLoads,
                                    std::set<adapter_digest> inRunning, core::time_point inNow)
{
    peer_loads &peer = mPeers[inInstance];
    subtractPeer(peer);
    peer = {std::move(inLoads), std::move(inRunning), inNow};
    for (const auto &[digest, load] : peer.loads)
        peer.promptTokens += load.promptTokens;
    addPeer(peer);
}

void endpoint_table::addPeer(const peer_loads &inPeer)
{
    for (const auto &[digest, load] : inPeer.loads) {
        endpoint_load &total = mPeerLoads[digest];
        total.requests += load.requests;
        total.promptTokens += load.promptTokens;
        total.memoryTokens += load.memoryTokens;
    }
    for (const adapter_digest digest : inPeer.running)
        ++mPeerRunning[digest];
}

void endpoint_table::subtractPeer(const peer_loads &inPeer)
{
    for (const auto &[digest, load] : inPeer.loads) {
        const auto found = mPeerLoads.find(digest);
        endpoint_load &total = found->second;
        total.requests -= load.requests;
        total.promptTokens -= load.promptTokens;
        total.memoryTokens -= load.memoryTokens;
        // Also removes the rounding errors of the sums.
        if (total.requests <= 0)
            mPeerLoads.erase(found);
    }
    for (const adapter_digest digest : inPeer.running) {
        const auto found = mPeerRunning.find(digest);
        if (--found->second == 0)
            mPeerRunning.erase(found);
    }
}

void endpoint_table::expirePeerLoads(core::time_point inNow)
{
    if (inNow < mNextExpiry)
        return;
    mNextExpiry = inNow + sMaxLoadAge;
    std::erase_if(mPeers, [&](const auto &inEntry) {
        const peer_loads &peer = inEntry.second;
        const bool isExpired = inNow - peer.at > sMaxLoadAge;
        if (isExpired)
            subtractPeer(peer);
        else
            mNextExpiry = std::min(mNextExpiry, peer.at + sMaxLoadAge);
        return isExpired;
    });
}

int endpoint_table::openSlots(const endpoint &inEndpoint, int inSlots) const
{
    // A resident adapter occupies a slot only while a request runs on it.
    int open = inSlots - static_cast<int>(inEndpoint.adapters.arriving.size());
    for (const adapter_digest digest : inEndpoint.residentDigests)
        open -= mPeerRunning.contains(digest) ? 1 : 0;
    for (const auto &[adapter, count] : inEndpoint.ownRunning) {
        const bool isCounted = mPeerRunning.contains(digestOf(inEndpoint.entry.id, adapter));
        open -= inEndpoint.adapters.resident.contains(adapter) && !isCounted ? 1 : 0;
    }
    return open - std::max(inEndpoint.queued, static_cast<int>(inEndpoint.ownWaiting.size()));
}

void endpoint_table::setLiveHolders(const std::set<std::string> &inLive)
{
    for (auto &[id, target] : mEndpoints) {
        const bool isLive = inLive.contains(target.holder);
        target.holderReady = target.holderReady && isLive;
        target.holderGrants = target.holderGrants && isLive;
    }
}

void endpoint_table::forgetReports()
{
    mPeers.clear();
    mPeerLoads.clear();
    mPeerRunning.clear();
    for (auto &[id, target] : mEndpoints) {
        target.holderReady = false;
        target.holderGrants = false;
        target.holderReportAt = {};
    }
}

void endpoint_table::setEvacuated(const std::string &inFailureDomain, bool inEvacuated)
{
    if (inEvacuated)
        mEvacuated.insert(inFailureDomain);
    else
        mEvacuated.erase(inFailureDomain);
}

bool endpoint_table::hasEvacuated(std::string_view inService) const
{
    return !mEvacuated.empty() && std::ranges::any_of(mEndpoints, [&](const auto &inEntry) {
        return inEntry.second.entry.service == inService && isEvacuated(inEntry.second);
    });
}

endpoint *endpoint_table::find(std::string_view inId)
{
    const auto found = mEndpoints.find(inId);
    return found == mEndpoints.end() ? nullptr : &found->second;
}

const endpoint *endpoint_table::find(std::string_view inId) const
{
    const auto found = mEndpoints.find(inId);
    return found == mEndpoints.end() ? nullptr : &found->second;
}

void endpoint_table::recordPause(endpoint_digest inEndpoint, core::duration inPause)
{
    if (inPause < sMinPrefillPause || inPause > sMaxPrefillPause)
        return;
    const auto found = mByDigest.find(inEndpoint);
    if (found == mByDigest.end())
        return;
    core::duration &known = found->second->prefillPause;
    if (known == core::duration::zero())
        known = inPause;
    else
        known += std::chrono::duration_cast<core::duration>((inPause - known) * sPauseWeight);
}

double endpoint_table::slowness(const endpoint &inEndpoint) const
{
    const auto typical = mTypicalPauses.find(inEndpoint.entry.service);
    if (inEndpoint.prefillPause == core::duration::zero() || typical == mTypicalPauses.end())
        return 1;
    return std::chrono::duration<double>(inEndpoint.prefillPause)
        / std::chrono::duration<double>(typical->second);
}

void endpoint_table::updateTypicalPauses()
{
    std::map<std::string, std::vector<core::duration>, std::less<>> pauses;
    for (const auto &[id, target] : mEndpoints) {
        if (target.prefillPause > core::duration::zero())
            pauses[target.entry.service].push_back(target.prefillPause);
    }
    mTypicalPauses.clear();
    for (auto &[service, list] : pauses) {
        const auto middle = list.begin() + static_cast<std::ptrdiff_t>(list.size() / 2);
        std::ranges::nth_element(list, middle);
        mTypicalPauses[service] = *middle;
    }
}

void endpoint_table::recordInterval(endpoint_digest inEndpoint, core::duration inInterval,
                                    core::time_point inNow)
{
    const auto found = mByDigest.find(inEndpoint);
    if (found != mByDigest.end())
        found->second->pace.observe(inInterval, inNow);
}

double endpoint_table::relativeTime(const endpoint &inEndpoint, core::time_point inNow) const
{
    const auto typical = mTypicalIntervals.find(inEndpoint.entry.service);
    return typical == mTypicalIntervals.end()
        ? 1
        : inEndpoint.pace.relativeTime(typical->second, inNow);
}

void endpoint_table::updateTypicalIntervals(core::time_point inNow)
{
    std::map<std::string, std::vector<core::duration>, std::less<>> intervals;
    for (const auto &[id, target] : mEndpoints) {
        if (const auto interval = target.pace.interval(inNow))
            intervals[target.entry.service].push_back(*interval);
    }
    mTypicalIntervals.clear();
    for (auto &[service, list] : intervals)
        mTypicalIntervals[service] = typicalInterval(std::move(list));
}

endpoint_load endpoint_table::totalLoad(const endpoint &inEndpoint) const
{
    endpoint_load total = inEndpoint.own;
    const auto found = mPeerLoads.find(inEndpoint.digest);
    if (found != mPeerLoads.end()) {
        total.requests += found->second.requests;
        total.promptTokens += found->second.promptTokens;
        total.memoryTokens += found->second.memoryTokens;
    }
    return total;
}

scheduling::service_backlog endpoint_table::backlogOf(std::string_view inService,
                                                      core::time_point inNow) const
{
    scheduling::service_backlog sums;
    for (const auto &[id, target] : mEndpoints) {
        if (target.entry.service != inService || !usable(target, inNow))
            continue;
        const endpoint_load load = totalLoad(target);
        ++sums.endpoints;
        sums.requests += load.requests;
        sums.promptTokens += load.promptTokens;
    }
    // Reports of other services are included: a report's age is that of the connection.
    double tokens = 0;
    double age = 0;
    for (const auto &[instance, peer] : mPeers) {
        tokens += peer.promptTokens;
        age += peer.promptTokens * std::chrono::duration<double>(inNow - peer.at).count();
    }
    if (tokens > 0)
        sums.age = std::chrono::duration_cast<core::duration>(
            std::chrono::duration<double>(age / tokens));
    return sums;
}

bool endpoint_table::usable(const endpoint &inEndpoint, core::time_point inNow) const
{
    if (inEndpoint.entry.leaving || isEvacuated(inEndpoint)
        || !inEndpoint.condition.takesRequests(inNow) || inNow < inEndpoint.notBefore)
        return false;
    return !inEndpoint.removed || inNow - inEndpoint.removedAt < sReturnTimeout;
}

std::vector<endpoint *> endpoint_table::ofService(std::string_view inService)
{
    std::vector<endpoint *> found;
    for (auto &[id, target] : mEndpoints) {
        if (target.entry.service == inService && !isEvacuated(target))
            found.push_back(&target);
    }
    return found;
}

void endpoint_table::prune(core::time_point inNow)
{
    std::erase_if(mEndpoints, [&](const auto &inEntry) {
        const endpoint &target = inEntry.second;
        const core::duration retention
            = target.condition.isLeaving() ? sLeavingRetention : sRemovedRetention;
        const bool isOld
            = target.removed && target.own.requests == 0 && inNow - target.removedAt > retention;
        if (isOld)
            mByDigest.erase(target.digest);
        return isOld;
    });
    mRecentParts.prune(inNow);
    updateTypicalPauses();
    updateTypicalIntervals(inNow);
    expirePeerLoads(inNow);
}

} // namespace corneltally::engines
