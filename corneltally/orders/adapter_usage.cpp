#include "corneltally/orders/adapter_usage.h"

#include <algorithm>

namespace corneltally::orders {

void adapter_usage::set(const std::string &inInstance, const std::string &inKey, bool inRunning,
                        core::time_point inNow)
{
    if (inRunning) {
        mInstances[inInstance][inKey] = inNow;
        return;
    }
    mInstances[inInstance].erase(inKey);
    mEnded[inKey] = inNow;
    for (auto &[domain, uses] : mDomains)
        uses.erase(inKey);
}

void adapter_usage::replace(const std::string &inInstance,
                            const std::set<std::string, std::less<>> &inKeys,
                            core::time_point inNow)
{
    use_times &uses = mInstances[inInstance];
    uses.clear();
    for (const std::string &key : inKeys)
        uses[key] = inNow;
}

void adapter_usage::replaceDomain(const std::string &inDomain,
                                  const std::set<std::string> &inInstances,
                                  const std::set<std::string, std::less<>> &inKeys,
                                  core::time_point inNow)
{
    // Uses that an instance has announced itself stay until it says that they ended.
    for (const std::string &instance : inInstances) {
        const auto found = mInstances.find(instance);
        if (found == mInstances.end())
            continue;
        for (auto &[key, at] : found->second) {
            if (inKeys.contains(key))
                at = inNow;
        }
    }
    use_times &uses = mDomains[inDomain];
    uses.clear();
    for (const std::string &key : inKeys) {
        const auto ended = mEnded.find(key);
        if (ended == mEnded.end() || inNow - ended->second > sSummaryLag)
            uses[key] = inNow;
    }
}

bool adapter_usage::isRunning(std::string_view inKey, core::time_point inNow) const
{
    const auto isIn = [&](const auto &inEntry) {
        const auto found = inEntry.second.find(inKey);
        return found != inEntry.second.end() && inNow - found->second < sMaxAge;
    };
    return std::ranges::any_of(mInstances, isIn) || std::ranges::any_of(mDomains, isIn);
}

void adapter_usage::prune(core::time_point inNow)
{
    const auto isOld = [&](const auto &inUse) { return inNow - inUse.second >= sMaxAge; };
    for (auto *group : {&mInstances, &mDomains}) {
        for (auto &[name, uses] : *group)
            std::erase_if(uses, isOld);
        std::erase_if(*group, [](const auto &inEntry) { return inEntry.second.empty(); });
    }
    std::erase_if(mEnded, isOld);
}

} // namespace corneltally::orders
