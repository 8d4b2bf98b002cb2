#include "corneltally/fleet/domain_links.h"

#include "corneltally/core/digest.h"

#include <algorithm>
#include <utility>

namespace corneltally::fleet {

domain_links::domain_links(std::string inDomain, std::string inInstance, core::time_point inNow,
                           domain_link_options inOptions)
    : mOptions(inOptions)
    , mDomain(std::move(inDomain))
    , mInstance(std::move(inInstance))
    , mStartedAt(inNow)
{ }

/// Name of the link between two domains, the same for both.
std::string domain_links::pairWith(const std::string &inDomain) const
{
    return std::min(mDomain, inDomain) + "|" + std::max(mDomain, inDomain);
}

void domain_links::setMembers(const std::map<std::string, std::string> &inDomains)
{
    for (auto &[domain, other] : mOthers)
        other.members.clear();
    for (const auto &[instance, domain] : inDomains) {
        if (domain != mDomain && !domain.empty())
            mOthers[domain].members.push_back(instance);
    }
    for (auto &[domain, other] : mOthers) {
        const std::string pair = pairWith(domain);
        std::ranges::sort(other.members, std::ranges::greater{},
                          [&](const std::string &inInstance) {
                              return core::rendezvousWeight(pair, inInstance);
                          });
    }
    std::erase_if(mOthers, [](const auto &inEntry) { return inEntry.second.members.empty(); });
}

void domain_links::summaryReceived(const heard_domain &inHeard, std::set<std::string> inInstances,
                                   const std::vector<heard_domain> &inHeardDomains,
                                   core::time_point inNow)
{
    if (inHeard.domain == mDomain)
        return;
    other_domain &other = mOthers[inHeard.domain];
    other.listed = std::move(inInstances);
    other.heard = inHeard;
    other.heardAt = inNow;
    other.isHeard = true;
    const auto mutual = std::ranges::find(inHeardDomains, mDomain, &heard_domain::domain);
    if (mutual == inHeardDomains.end())
        return;
    other.mutualAt = inNow;
    other.lastSender = mutual->sender;
    other.lastReceiver = mutual->receiver;
}

bool domain_links::isHeardWithin(const other_domain &inOther, core::time_point inNow) const
{
    return inOther.isHeard && inNow - inOther.heardAt <= mOptions.summaryTimeout;
}

std::vector<heard_domain> domain_links::heardDomains(core::time_point inNow) const
{
    std::vector<heard_domain> domains;
    for (const auto &[domain, other] : mOthers) {
        if (isHeardWithin(other, inNow))
            domains.push_back(other.heard);
    }
    return domains;
}

/// Whether this instance sends to another domain: it is the first in rank or the one that is heard
/// there, or the link fails for as long as its rank requires.
bool domain_links::isSender(const std::string &inDomain, const other_domain &inOther,
                            core::time_point inNow) const
{
    if (inOther.lastSender == mInstance)
        return true;
    const bool keepsLast = inNow < inOther.keepLastUntil && mLivePeers.contains(inOther.lastSender);
    const std::string pair = pairWith(inDomain);
    const std::uint64_t own = core::rendezvousWeight(pair, mInstance);
    const auto rank = std::ranges::count_if(mLivePeers, [&](const std::string &inPeer) {
        return core::rendezvousWeight(pair, inPeer) > own;
    });
    const core::duration quiet = inNow - std::max(inOther.mutualAt, mStartedAt);
    if (quiet <= mOptions.summaryTimeout)
        return rank == 0 && !keepsLast;
    return rank <= mOptions.maxTakeoverRank
        && quiet > mOptions.summaryTimeout + mOptions.takeoverStep * rank;
}

bool domain_links::isFailing(const std::string &inDomain, core::time_point inNow) const
{
    const auto found = mOthers.find(inDomain);
    return found != mOthers.end()
        && inNow - std::max(found->second.mutualAt, mStartedAt) > mOptions.summaryTimeout;
}

std::vector<std::string> domain_links::targets(core::time_point inNow)
{
    std::vector<std::string> chosen;
    for (auto &entry : mOthers) {
        const std::string &domain = entry.first;
        other_domain &other = entry.second;
        if (!isSender(domain, other, inNow))
            continue;
        const bool failing = isFailing(domain, inNow);
        if (failing && !other.lastSender.empty())
            other.keepLastUntil = inNow + mOptions.keepTime;
        std::vector<std::string> candidates;
        if (isHeardWithin(other, inNow))
            std::ranges::copy_if(
                other.members, std::back_inserter(candidates),
                [&](const std::string &inMember) { return other.listed.contains(inMember); });
        if (candidates.empty())
            candidates = other.members;
        if (candidates.empty())
            continue;
        const auto last = std::ranges::find(candidates, other.lastReceiver);
        if (last != candidates.end() && inNow < other.keepLastUntil)
            std::rotate(candidates.begin(), last, last + 1);
        chosen.push_back(candidates.front());
        // One further instance a period, until the two domains hear each other.
        if (failing && candidates.size() > 1)
            chosen.push_back(candidates[1 + other.searchStep++ % (candidates.size() - 1)]);
    }
    return chosen;
}

} // namespace corneltally::fleet
