#include "corneltally/fleet/holder_claims.h"

#include "corneltally/core/digest.h"

#include <algorithm>

namespace corneltally::fleet {

void holder_claims::applyClaim(const std::string &inEngine, std::optional<claim> inClaim,
                               core::time_point inNow)
{
    if (!inClaim) {
        mEngines.erase(inEngine);
        return;
    }
    const auto found = mEngines.find(inEngine);
    held_engine next{.holder = *inClaim};
    if (found != mEngines.end()) {
        const held_engine &before = found->second;
        if (before.holder.fence >= inClaim->fence)
            return;
        // Holders on the same machine need no pause between their orders.
        next.notBefore = before.holder.machine == inClaim->machine
            ? before.notBefore
            : inNow + waitAfter(before.holder, *inClaim);
    } else {
        next.notBefore = waitOfRecord(*inClaim, inNow);
    }
    mEngines.insert_or_assign(inEngine, next);
}

/// Time for which a former holder on another machine may continue, with the pause: until its last
/// read of the claims, which precedes the next claim, is too old.
core::duration holder_claims::waitAfter(const claim &inFormer, const claim &inNext) const
{
    const bool isLocal = inFormer.failureDomain == inNext.failureDomain;
    return (isLocal ? mOptions.maxReadAge : mOptions.maxReadAgeWhenLive) + mOptions.handoverPause
        + mOptions.handoverMargin;
}

/// When the holder may order according to its claim alone. The boot time of a machine that was
/// started again is smaller, so that the wait gets longer and never too short.
core::time_point holder_claims::waitOfRecord(const claim &inClaim, core::time_point inNow) const
{
    if (!inClaim.followsOther)
        return {};
    const core::time_point longest
        = inNow + mOptions.maxReadAgeWhenLive + mOptions.handoverPause + mOptions.handoverMargin;
    if (inClaim.machine != mSelf.machine || inClaim.orderFrom == core::time_point())
        return longest;
    return std::min(inClaim.orderFrom, longest);
}

claim holder_claims::claimAfterFormer(std::string_view inEngine, claim inClaim,
                                      core::time_point inNow) const
{
    const auto found = mEngines.find(inEngine);
    if (found == mEngines.end())
        return inClaim;
    const held_engine &before = found->second;
    core::time_point orderFrom = before.notBefore;
    if (before.holder.machine != inClaim.machine)
        orderFrom = inNow + mOptions.maxAppendTime + waitAfter(before.holder, inClaim);
    inClaim.followsOther = inNow < orderFrom;
    if (inClaim.followsOther && inClaim.machine == mSelf.machine)
        inClaim.orderFrom = orderFrom;
    return inClaim;
}

void holder_claims::confirmRead(core::time_point inStartedAt)
{
    mConfirmedAt = std::max(mConfirmedAt, inStartedAt);
    if (!mFirstConfirmed)
        mFirstConfirmed = inStartedAt;
}

void holder_claims::keepOnly(const std::set<std::string> &inEngines, std::uint64_t inEra)
{
    mEra = inEra;
    std::erase_if(mEngines, [&](const auto &inEntry) {
        return !inEngines.contains(inEntry.first) && inEntry.second.holder.era >= inEra;
    });
}

bool holder_claims::holds(std::string_view inEngine) const
{
    const claim *holder = find(inEngine);
    return holder != nullptr && holder->instance == mSelf.instance
        && holder->machine == mSelf.machine && holder->incarnation == mSelf.incarnation;
}

bool holder_claims::mayOrder(std::string_view inEngine, core::time_point inNow) const
{
    return holds(inEngine) && isReadValid(inNow)
        && inNow >= mEngines.find(inEngine)->second.notBefore;
}

bool holder_claims::isReadValid(core::time_point inNow) const
{
    const core::duration age = inNow - mConfirmedAt;
    if (age < mOptions.maxReadAge)
        return true;
    return age < mOptions.maxReadAgeWhenLive
        && isReportedLiveByAll(mOptions.maxLiveReportAge, inNow);
}

bool holder_claims::isReportedLiveByAll(core::duration inAge, core::time_point inNow) const
{
    return std::ranges::all_of(mMembers, [&](const std::string &inMember) {
        const auto found = mLiveReports.find(inMember);
        return found != mLiveReports.end() && inNow - found->second < inAge;
    });
}

void holder_claims::reportedLiveBy(std::string_view inInstance, core::time_point inNow)
{
    mLiveReports.insert_or_assign(std::string(inInstance), inNow);
}

const claim *holder_claims::find(std::string_view inEngine) const
{
    const auto found = mEngines.find(inEngine);
    return found == mEngines.end() ? nullptr : &found->second.holder;
}

void holder_claims::messageReceived(std::string_view inInstance, core::time_point inNow)
{
    mLastReceived.insert_or_assign(std::string(inInstance), inNow);
}

core::time_point holder_claims::lastReceived(const std::string &inInstance) const
{
    const auto found = mLastReceived.find(inInstance);
    // For an instance from which nothing was received, the time counts from this instance's
    // first read.
    return found == mLastReceived.end() ? mFirstConfirmed.value_or(core::time_point())
                                        : found->second;
}

/// The live instance with the greatest preference should hold the engine. Instances in the engine's
/// failure domain come first, since they reach it even if the domain is cut off.
std::pair<bool, std::uint64_t> holder_claims::preference(const fleet_node &inEngine,
                                                         const std::string &inInstance,
                                                         const std::string &inDomain) const
{
    return {inDomain == inEngine.failureDomain, core::rendezvousWeight(inEngine.name, inInstance)};
}

/// Whether this instance is the preferred holder among the live ones.
bool holder_claims::isPreferred(const fleet_node &inEngine,
                                const std::vector<fleet_node> &inLiveInstances) const
{
    const auto own = preference(inEngine, mSelf.instance, mFailureDomain);
    return std::ranges::none_of(inLiveInstances, [&](const fleet_node &inOther) {
        return inOther.name != mSelf.instance
            && preference(inEngine, inOther.name, inOther.failureDomain) > own;
    });
}

std::vector<std::string>
holder_claims::enginesToClaim(const std::vector<fleet_node> &inEngines,
                              const std::vector<fleet_node> &inLiveInstances,
                              core::time_point inNow) const
{
    std::vector<std::string> claims;
    if (!mFirstConfirmed)
        return claims;
    for (const fleet_node &engine : inEngines) {
        const claim *holder = find(engine.name);
        if (holds(engine.name)) {
            if (holder->era < mEra)
                claims.push_back(engine.name);
            continue;
        }
        // After a restart, a machine takes back its engines without waiting.
        if (holder != nullptr && holder->machine == mSelf.machine) {
            claims.push_back(engine.name);
            continue;
        }
        if (isFree(engine, inNow) && isPreferred(engine, inLiveInstances))
            claims.push_back(engine.name);
    }
    return claims;
}

/// Whether an engine has no holder, or one that has been silent for long.
bool holder_claims::isFree(const fleet_node &inEngine, core::time_point inNow) const
{
    const claim *holder = find(inEngine.name);
    if (holder == nullptr)
        return inNow - *mFirstConfirmed >= mOptions.firstClaimDelay;
    const core::duration timeout = holder->failureDomain == mSelf.failureDomain
        ? mOptions.silenceTimeout
        : mOptions.foreignSilenceTimeout;
    return mRecordedAt && inNow - std::max(*mRecordedAt, lastReceived(holder->instance)) >= timeout;
}

std::vector<engine_claim>
holder_claims::claimsForLocalPeers(const std::vector<fleet_node> &inEngines,
                                   const std::vector<live_candidate> &inLiveInstances,
                                   core::time_point inNow) const
{
    std::vector<engine_claim> claims;
    if (!mFirstConfirmed)
        return claims;
    for (const fleet_node &engine : inEngines) {
        const claim *holder = find(engine.name);
        if (holder != nullptr && holder->era < mEra) {
            // The store has lost the claim; one append for all is sooner than one of each holder.
            const bool isLive
                = std::ranges::any_of(inLiveInstances, [holder](const live_candidate &inCandidate) {
                      return inCandidate.name == holder->instance
                          && inCandidate.incarnation == holder->incarnation;
                  });
            if (isLive && holder->failureDomain == mFailureDomain) {
                claims.push_back({engine.name, *holder});
                continue;
            }
        }
        // Engines of a restarted instance stay with it; free ones go to the preferred instance.
        const live_candidate *chosen = nullptr;
        if (holder != nullptr && holder->machine != mSelf.machine) {
            const auto returned
                = std::ranges::find(inLiveInstances, holder->machine, &live_candidate::machine);
            if (returned != inLiveInstances.end() && returned->incarnation > holder->incarnation)
                chosen = &*returned;
        }
        if (chosen == nullptr && isFree(engine, inNow)) {
            auto best = preference(engine, mSelf.instance, mFailureDomain);
            for (const live_candidate &candidate : inLiveInstances) {
                const auto rank = preference(engine, candidate.name, candidate.failureDomain);
                if (rank <= best)
                    continue;
                best = rank;
                chosen = &candidate;
            }
        }
        if (chosen != nullptr && chosen->failureDomain == mFailureDomain)
            claims.push_back({engine.name,
                              {.instance = chosen->name,
                               .machine = chosen->machine,
                               .incarnation = chosen->incarnation,
                               .failureDomain = chosen->failureDomain}});
    }
    return claims;
}

std::vector<std::string>
holder_claims::obsoleteClaims(const std::vector<fleet_node> &inEngines) const
{
    std::vector<std::string> names;
    for (const auto &[engine, held] : mEngines) {
        if (holds(engine)
            && std::ranges::find(inEngines, engine, &fleet_node::name) == inEngines.end())
            names.push_back(engine);
    }
    return names;
}

} // namespace corneltally::fleet
