#include "corneltally/engines/endpoint_choice.h"

#include "corneltally/core/digest.h"
#include "corneltally/engines/cold_preference.h"

#include <algorithm>
#include <limits>

namespace corneltally::engines {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

/// Estimated duration of a plain request; only its ratio to the domain penalty matters.
constexpr double cPlainRequestMs = 30;
/// Estimated wait for each request beyond the batch size of an engine.
constexpr double cBeyondBatchMs = 20;
/// Time until the KV cache of an engine is free, for a request that needs all of it.
constexpr double cMemoryWaitMs = 1500;

double inMs(core::duration inDuration)
{
    return milliseconds(inDuration).count();
}

core::duration fromMs(double inMilliseconds)
{
    return std::chrono::duration_cast<core::duration>(milliseconds(inMilliseconds));
}

/// Prompt tokens whose prefill the engine has cached for this adapter.
double cachedTokens(const endpoint_table &inTable, const endpoint &inEndpoint,
                    const work_request &inRequest, const std::vector<std::uint64_t> &inPrefixes,
                    core::time_point inNow)
{
    double tokens = 0;
    for (std::size_t index = 0; index < inPrefixes.size(); ++index) {
        if (!inTable.recentParts().isRecent(prefixOn(inEndpoint, inPrefixes[index]), inNow))
            break;
        tokens += inRequest.parts[index].tokens;
    }
    return std::min(tokens, inRequest.promptTokens);
}

/// Time that an engine takes for a prefill, relative to the typical one of its service.
double relativeTime(const endpoint_table &inTable, const endpoint &inEndpoint,
                    const choice_options &inOptions, core::time_point inNow)
{
    return inOptions.learnsSpeed
        ? inTable.relativeTime(inEndpoint, inNow)
        : std::clamp(inTable.slowness(inEndpoint), 1.0, inOptions.maxSlowness);
}

/// Estimated time of the prefill, with that of the prompts ahead.
double prefillMs(const endpoint_load &inLoad, const work_request &inRequest, double inCachedTokens,
                 double inRelativeTime, const choice_options &inOptions)
{
    const double uncached = inRequest.promptTokens - inCachedTokens;
    const double pairs = uncached * (inRequest.promptTokens - uncached / 2);
    return ((inLoad.promptTokens + uncached) / inOptions.promptTokensPerMs
                * (1 + inOptions.stepOverhead)
            + pairs / 1e6 * inOptions.prefillMsPerMillionPairs)
        * inRelativeTime;
}

/// Estimated wait for a place in the engine's batch and for memory.
double placeWaitMs(const endpoint_load &inLoad, const work_request &inRequest)
{
    double cost = 0;
    if (inRequest.engineBatch > 0 && inLoad.requests >= inRequest.engineBatch)
        cost += cBeyondBatchMs * (1 + inLoad.requests - inRequest.engineBatch);
    if (inRequest.engineMemory > 0) {
        const double needed = inLoad.memoryTokens + inRequest.promptTokens + inRequest.answerTokens;
        if (needed > inRequest.engineMemory)
            cost += cMemoryWaitMs * std::min(1.0, needed / inRequest.engineMemory - 1) + 50;
    }
    return cost;
}

/// Cost of an engine's pauses beyond the request's own wait: an answer is late if an event comes
/// later than the route allows, and the prefill of this prompt delays the answers in progress.
double pauseCost(const endpoint &inEndpoint, const endpoint_load &inLoad,
                 const work_request &inRequest, const choice_options &inOptions)
{
    if (inRequest.targetPause <= core::duration::zero()
        || inEndpoint.prefillPause <= inRequest.targetPause)
        return 0;
    const double tokens
        = inRequest.expectedTokens > 0 ? inRequest.expectedTokens : inRequest.answerTokens;
    const double exposure
        = std::min(1.0, tokens * inMs(inOptions.answerToken) / inMs(inOptions.pauseExposure));
    const double delaying = std::min(1.0, inRequest.promptTokens / inOptions.pausingPromptTokens);
    const double overlap = inOptions.learnsSpeed
        ? std::clamp(inLoad.promptTokens / inOptions.overlappingPromptTokens, inOptions.minOverlap,
                     1.0)
        : 1;
    return inMs(inOptions.pausePenalty) * exposure * overlap
        + inMs(inOptions.concurrentPenalty) * delaying * inLoad.requests;
}

double plainCost(const endpoint &inEndpoint, const endpoint_load &inLoad)
{
    const int capacity = std::max(1, inEndpoint.entry.capacity);
    const double occupied = static_cast<double>(inLoad.requests) / capacity;
    return occupied < 1 ? cPlainRequestMs * (1 + 0.5 * occupied) : cPlainRequestMs * (1 + occupied);
}

struct candidate
{
    endpoint *target = nullptr;
    /// Time of the prefill before its correction.
    double prefill = 0;
    /// Time to the first event, and the same with the cost to other requests.
    double estimate = 0;
    double cost = 0;
    endpoint_choice::readiness state = endpoint_choice::readiness::ready;
    core::time_point readyAt;
    std::uint64_t preference = 0;
    bool cold = false;
};

endpoint_option optionOf(const candidate &inCandidate)
{
    return {.estimate = fromMs(inCandidate.estimate),
            .cost = inCandidate.cost,
            .needsLoad = inCandidate.state == endpoint_choice::readiness::to_load};
}

/// The best of the warm and the best of the cold candidates are compared by rules of their own.
const candidate &bestOf(const std::vector<candidate> &inCandidates, core::duration inTarget)
{
    const candidate *warm = nullptr;
    const candidate *cold = nullptr;
    for (const candidate &entry : inCandidates) {
        const candidate *&best = entry.cold ? cold : warm;
        if (best == nullptr || entry.cost < best->cost)
            best = &entry;
    }
    if (warm == nullptr || cold == nullptr)
        return warm == nullptr ? *cold : *warm;
    return prefersCold(optionOf(*warm), optionOf(*cold), inTarget) ? *cold : *warm;
}

/// Adds the wait for the adapter. Returns false if the endpoint can't load it.
bool addAdapterWait(candidate &ioCandidate, const endpoint_table &inTable, const std::string &inKey,
                    const work_request &inRequest, const choice_options &inOptions,
                    core::time_point inNow)
{
    const endpoint &target = *ioCandidate.target;
    const auto resident = target.adapters.resident.find(inKey);
    if (resident != target.adapters.resident.end() && resident->second >= inRequest.version)
        return true;
    const auto arriving = target.adapters.arriving.find(inKey);
    if (arriving != target.adapters.arriving.end()
        && arriving->second.version >= inRequest.version) {
        ioCandidate.state = endpoint_choice::readiness::arriving;
        ioCandidate.readyAt = arriving->second.readyAt;
        ioCandidate.cost += std::max(0.0, inMs(arriving->second.readyAt - inNow));
        return true;
    }
    if (!target.holderReady)
        return false;
    ioCandidate.state = endpoint_choice::readiness::to_load;
    const bool isWarm = std::ranges::find(target.warm, inKey) != target.warm.end();
    ioCandidate.cost += inMs(inOptions.adapterLoad) * (isWarm ? inOptions.warmLoad : 1);
    if (!isWarm)
        ioCandidate.cost += inMs(inOptions.coldPenalty);
    // An adapter that this instance has already requested is part of the wait: don't count it
    // twice.
    const int open = inTable.openSlots(target, inRequest.adapterSlots)
        + (target.ownWaiting.contains(inKey) ? 1 : 0);
    if (open <= 0)
        ioCandidate.cost += inMs(inOptions.slotWait) * (1 - open);
    return true;
}

} // namespace

std::vector<std::uint64_t> sharedPrefixes(const work_request &inRequest)
{
    std::vector<std::uint64_t> prefixes;
    std::uint64_t prefix = core::stableHash(adapterKey(inRequest.model, inRequest.adapter));
    for (std::size_t index = 0; index + 1 < inRequest.parts.size(); ++index) {
        prefix = core::stableHash(inRequest.parts[index].id, prefix);
        prefixes.push_back(prefix);
    }
    return prefixes;
}

prefix_digest prefixOn(const endpoint &inEndpoint, std::uint64_t inSharedPrefix)
{
    return inEndpoint.startDigest ^ inSharedPrefix;
}

std::string sharedPartIds(const work_request &inRequest)
{
    std::string ids;
    for (std::size_t index = 0; index + 1 < inRequest.parts.size(); ++index)
        ids.append(ids.empty() ? "" : ",").append(inRequest.parts[index].id);
    return ids;
}

std::optional<endpoint_choice> chooseEndpoint(endpoint_table &ioTable,
                                              const work_request &inRequest,
                                              const std::string &inFailureDomain,
                                              const choice_options &inOptions,
                                              core::time_point inNow)
{
    const bool needsModel = !inRequest.model.empty();
    const std::string key = adapterKey(inRequest.model, inRequest.adapter);
    const std::vector<std::uint64_t> prefixes = sharedPrefixes(inRequest);
    ioTable.expirePeerLoads(inNow);
    const estimate_correction &correction = ioTable.correctionFor(inRequest.service);
    std::vector<candidate> candidates;
    std::vector<endpoint *> all = ioTable.ofService(inRequest.service);
    std::erase_if(all, [&](const endpoint *inEndpoint) {
        return !inRequest.domains.contains(inEndpoint->entry.failureDomain);
    });
    // If most endpoints fail, excluding them would only overload the others.
    const bool respectHealth
        = 2
            * std::ranges::count_if(
                all, [](const endpoint *inEndpoint) { return inEndpoint->health.isProbing(); })
        < std::ssize(all);
    for (endpoint *target : all) {
        if (!ioTable.usable(*target, inNow) || inRequest.excluded.contains(target->entry.id)
            || (respectHealth && !target->health.mayStart(inNow)))
            continue;
        if (needsModel && !target->holdsModel(inRequest.model))
            continue;
        const bool cold = ioTable.isCold(*target, inNow);
        if (cold && (inRequest.avoidsCold || !endpoint_table::mayAskPermit(*target, inNow)))
            continue;
        const endpoint_load load = ioTable.totalLoad(*target);
        candidate entry{.target = target,
                        .preference = core::rendezvousWeight(key, target->entry.id),
                        .cold = cold};
        if (needsModel) {
            entry.prefill = prefillMs(load, inRequest,
                                      cachedTokens(ioTable, *target, inRequest, prefixes, inNow),
                                      relativeTime(ioTable, *target, inOptions, inNow), inOptions);
            entry.cost = entry.prefill + placeWaitMs(load, inRequest);
        } else {
            entry.cost = plainCost(*target, load);
        }
        if (cold) {
            entry.prefill *= inOptions.coldSlowness;
            entry.cost *= inOptions.coldSlowness;
        }
        if (needsModel && !inRequest.adapter.empty()
            && !addAdapterWait(entry, ioTable, key, inRequest, inOptions, inNow))
            continue;
        const double health = target->health.weight(inNow);
        entry.cost /= std::max(health, inOptions.minHealth);
        if (target->entry.failureDomain != inFailureDomain)
            entry.cost += inMs(inOptions.domainPenalty);
        // The correction is the same for all engines of the service. In the cost it would only
        // weigh backlogs higher against loads from the weight store.
        entry.estimate
            = entry.cost + inMs(correction.corrected(fromMs(entry.prefill))) - entry.prefill;
        if (needsModel)
            entry.cost += pauseCost(*target, load, inRequest, inOptions);
        candidates.push_back(entry);
    }
    if (candidates.empty())
        return std::nullopt;
    // Instances that see the same load choose the same engine for an adapter.
    std::ranges::sort(candidates, std::ranges::greater{}, &candidate::preference);
    double rank = 0;
    for (candidate &entry : candidates) {
        if (entry.state == endpoint_choice::readiness::to_load)
            entry.cost += inMs(inOptions.rankPenalty) * rank++;
    }
    const candidate &best = bestOf(candidates, inRequest.targetTime);
    return endpoint_choice{best.target->entry.id, best.state, best.readyAt, fromMs(best.estimate),
                           fromMs(best.prefill)};
}

} // namespace corneltally::engines
