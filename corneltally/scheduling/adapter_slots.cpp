#include "corneltally/scheduling/adapter_slots.h"

#include <algorithm>
#include <cmath>

namespace corneltally::scheduling {

namespace {

/// History entries with a lower popularity, in tokens, are dropped by prune().
constexpr double cMinimumPopularity = 1;

} // namespace

adapter_slots::adapter_slots(slot_options inOptions)
    : mOptions(inOptions)
{ }

void adapter_slots::adapterRequested(std::string_view inAdapter, double inTokens,
                                     core::time_point inNow)
{
    const double previous = popularity(inAdapter, inNow);
    history &entry = mHistory[std::string(inAdapter)];
    entry.popularity = previous + inTokens;
    entry.updated = inNow;
}

void adapter_slots::loadStarted(std::string_view inAdapter, core::time_point inNow)
{
    mResident.insert_or_assign(std::string(inAdapter),
                               resident_state{state::loading, inNow, true, false});
}

void adapter_slots::loadEnded(std::string_view inAdapter, bool inLoaded, core::time_point inNow)
{
    history &entry = mHistory[std::string(inAdapter)];
    if (inLoaded) {
        entry.failures = 0;
        mResident.insert_or_assign(std::string(inAdapter),
                                   resident_state{state::resident, inNow, false, false});
        mRemoved.erase(std::string(inAdapter));
        return;
    }
    const int doublings = std::min(entry.failures, 16);
    entry.retryAt = inNow + std::min(mOptions.maxBackoff, mOptions.firstBackoff * (1 << doublings));
    ++entry.failures;
    const auto found = mResident.find(inAdapter);
    if (found != mResident.end() && found->second.current == state::loading)
        mResident.erase(found);
}

void adapter_slots::unloadStarted(std::string_view inAdapter)
{
    const auto found = mResident.find(inAdapter);
    if (found == mResident.end())
        return;
    found->second.current = state::unloading;
    found->second.commandPending = true;
}

void adapter_slots::unloadEnded(std::string_view inAdapter, bool inUnloaded, core::time_point inNow)
{
    const auto found = mResident.find(inAdapter);
    if (found == mResident.end())
        return;
    if (inUnloaded) {
        mRemoved.insert_or_assign(found->first, inNow);
        mResident.erase(found);
        return;
    }
    found->second.current = state::resident;
    found->second.commandPending = false;
}

void adapter_slots::adaptersReported(std::span<const std::string> inResident,
                                     std::span<const std::string> inLoading,
                                     core::time_point inDescribed, core::time_point inNow)
{
    const auto isIn = [](std::span<const std::string> inNames, const std::string &inName) {
        return std::ranges::find(inNames, inName) != inNames.end();
    };
    std::erase_if(mRemoved, [&](const auto &inEntry) { return inEntry.second < inDescribed; });
    std::erase_if(mResident, [&](const auto &inEntry) {
        return !inEntry.second.commandPending && inEntry.second.since < inDescribed
            && !isIn(inResident, inEntry.first) && !isIn(inLoading, inEntry.first);
    });
    const auto addReported = [&](const std::string &inName, state inState) {
        if (mRemoved.contains(inName))
            return;
        const auto [entry, isNew]
            = mResident.try_emplace(inName, resident_state{inState, inNow, false, false});
        resident_state &current = entry->second;
        // A load that an earlier owner started has completed.
        if (!isNew && !current.commandPending && current.current == state::loading
            && inState == state::resident)
            current = resident_state{inState, inNow, false, false};
    };
    for (const std::string &adapter : inResident)
        addReported(adapter, state::resident);
    for (const std::string &adapter : inLoading)
        addReported(adapter, state::loading);
}

void adapter_slots::adapterMissing(std::string_view inAdapter, core::time_point inNow)
{
    const auto found = mResident.find(inAdapter);
    if (found == mResident.end() || found->second.commandPending)
        return;
    mRemoved.insert_or_assign(found->first, inNow);
    mResident.erase(found);
}

void adapter_slots::clear()
{
    mResident.clear();
    mRemoved.clear();
}

adapter_slots::state adapter_slots::stateOf(std::string_view inAdapter) const
{
    const auto found = mResident.find(inAdapter);
    return found == mResident.end() ? state::absent : found->second.current;
}

std::vector<std::string> adapter_slots::adaptersIn(state inState) const
{
    std::vector<std::string> names;
    for (const auto &[name, entry] : mResident) {
        if (entry.current == inState)
            names.push_back(name);
    }
    return names;
}

bool adapter_slots::mayStart(std::string_view inAdapter) const
{
    const auto found = mResident.find(inAdapter);
    return found != mResident.end() && found->second.current == state::resident
        && !found->second.retiring;
}

bool adapter_slots::isRetiring(std::string_view inAdapter) const
{
    const auto found = mResident.find(inAdapter);
    return found != mResident.end() && found->second.retiring;
}

slot_decision adapter_slots::decide(std::span<const adapter_demand> inDemand,
                                    const std::function<bool(const std::string &)> &inInUse,
                                    core::time_point inNow)
{
    const adapter_demand *waiting = mostUrgentMissing(inDemand, inNow);
    if (waiting == nullptr) {
        endRetirement();
        return {};
    }
    if (mResident.size() < static_cast<std::size_t>(mOptions.slots))
        return {slot_decision::action::load, waiting->adapter, waiting->adapter};
    const bool mayRetire = inNow - waiting->oldest >= mOptions.retireAfter;
    const std::string *victim = nullptr;
    double least = 0;
    for (const auto &[name, entry] : mResident) {
        // Only one unload at a time: the next load uses the slot that it frees.
        if (entry.current == state::unloading)
            return {};
        if (entry.current != state::resident || inNow - entry.since < mOptions.minimumStay
            || inInUse(name))
            continue;
        const auto demand = std::ranges::find(inDemand, name, &adapter_demand::adapter);
        const bool isProtected = demand != inDemand.end() && !entry.retiring
            && !(mayRetire && waiting->precedes(*demand));
        if (isProtected)
            continue;
        const double value = entry.retiring ? -1 : popularity(name, inNow);
        if (victim == nullptr || value < least) {
            victim = &name;
            least = value;
        }
    }
    if (victim != nullptr)
        return {slot_decision::action::unload, *victim, waiting->adapter};
    if (mayRetire)
        retireOne(inDemand, *waiting, inNow);
    return {};
}

double adapter_slots::popularity(std::string_view inAdapter, core::time_point inNow) const
{
    const auto found = mHistory.find(std::string(inAdapter));
    if (found == mHistory.end())
        return 0;
    const double elapsed = static_cast<double>((inNow - found->second.updated).count());
    return found->second.popularity
        * std::exp2(-std::max(0.0, elapsed)
                    / static_cast<double>(mOptions.popularityHalfLife.count()));
}

void adapter_slots::prune(core::time_point inNow)
{
    std::erase_if(mHistory, [&](const auto &inEntry) {
        return popularity(inEntry.first, inNow) < cMinimumPopularity
            && inEntry.second.retryAt <= inNow;
    });
}

const adapter_demand *adapter_slots::mostUrgentMissing(std::span<const adapter_demand> inDemand,
                                                       core::time_point inNow) const
{
    for (const adapter_demand &demand : inDemand) {
        if (stateOf(demand.adapter) != state::absent)
            continue;
        const auto found = mHistory.find(demand.adapter);
        if (found == mHistory.end() || found->second.retryAt <= inNow)
            return &demand;
    }
    return nullptr;
}

void adapter_slots::retireOne(std::span<const adapter_demand> inDemand,
                              const adapter_demand &inWaiting, core::time_point inNow)
{
    resident_state *chosen = nullptr;
    const adapter_demand *chosenDemand = nullptr;
    double lowest = 0;
    for (auto &[name, entry] : mResident) {
        // Only one adapter at a time: the next is retired only if requests still wait after that.
        if (entry.retiring)
            return;
        if (entry.current != state::resident || inNow - entry.since < mOptions.minimumStay)
            continue;
        const auto found = std::ranges::find(inDemand, name, &adapter_demand::adapter);
        const adapter_demand *demand = found == inDemand.end() ? nullptr : &*found;
        if (demand != nullptr && !inWaiting.precedes(*demand))
            continue;
        const double value = popularity(name, inNow);
        // Prefers the least popular adapter without demand, then the one that the queue would
        // serve last.
        const bool isBetter = chosen == nullptr
            || (demand == nullptr && (chosenDemand != nullptr || value < lowest))
            || (demand != nullptr && chosenDemand != nullptr && chosenDemand->precedes(*demand));
        if (isBetter) {
            chosen = &entry;
            chosenDemand = demand;
            lowest = value;
        }
    }
    if (chosen != nullptr)
        chosen->retiring = true;
}

void adapter_slots::endRetirement()
{
    for (auto &[name, entry] : mResident)
        entry.retiring = false;
}

} // namespace corneltally::scheduling
