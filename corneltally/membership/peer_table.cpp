#include "corneltally/membership/peer_table.h"

#include <algorithm>
#include <utility>

namespace corneltally::membership {

peer_table::peer_table(std::string inOwnName, std::uint64_t inOwnIncarnation)
    : mOwnName(std::move(inOwnName))
    , mOwnIncarnation(inOwnIncarnation)
{ }

void peer_table::setInstances(const std::vector<std::string> &inNames)
{
    std::erase_if(mEntries, [&](const auto &inItem) {
        return std::ranges::find(inNames, inItem.first) == inNames.end();
    });
    for (const std::string &name : inNames) {
        if (name != mOwnName)
            mEntries.try_emplace(name);
    }
}

update_outcome peer_table::recordMessage(std::string_view inName, std::uint64_t inIncarnation,
                                         bool inDraining, core::time_point inNow)
{
    const update_outcome outcome = recordProgress(inName, inIncarnation, inNow);
    if (inDraining && (outcome == update_outcome::current || outcome == update_outcome::replaced))
        mEntries.find(inName)->second.draining = true;
    return outcome;
}

update_outcome peer_table::recordProgress(std::string_view inName, std::uint64_t inIncarnation,
                                          core::time_point inNow)
{
    if (inName == mOwnName) {
        if (inIncarnation > mOwnIncarnation) {
            mSuperseded = true;
            return update_outcome::superseded;
        }
        return inIncarnation < mOwnIncarnation ? update_outcome::outdated : update_outcome::ignored;
    }
    const auto found = mEntries.find(inName);
    if (found == mEntries.end())
        return update_outcome::ignored;
    entry &peer = found->second;
    if (inIncarnation < peer.incarnation)
        return update_outcome::outdated;
    if (inIncarnation > peer.incarnation || !peer.lastProgress) {
        peer = entry{.incarnation = inIncarnation, .lastProgress = inNow};
        return update_outcome::replaced;
    }
    peer.lastProgress = std::max(*peer.lastProgress, inNow);
    return update_outcome::current;
}

peer_state peer_table::sStateOf(const entry &inEntry, core::time_point inNow)
{
    if (!inEntry.lastProgress)
        return peer_state::unknown;
    const core::duration silence = inNow - *inEntry.lastProgress;
    if (silence >= cDownAfter)
        return peer_state::down;
    return silence >= cSuspectAfter ? peer_state::suspect : peer_state::live;
}

peer_state peer_table::stateOf(std::string_view inName, core::time_point inNow) const
{
    const auto found = mEntries.find(inName);
    return found == mEntries.end() ? peer_state::unknown : sStateOf(found->second, inNow);
}

peer_table::view peer_table::viewAt(core::time_point inNow) const
{
    view result;
    for (const auto &[name, peer] : mEntries) {
        const peer_state state = sStateOf(peer, inNow);
        if (state == peer_state::live || state == peer_state::suspect)
            (peer.draining ? result.draining : result.live).push_back(name);
    }
    std::vector<std::string> &own = mDraining ? result.draining : result.live;
    own.insert(std::ranges::lower_bound(own, mOwnName), mOwnName);
    return result;
}

std::vector<std::string> peer_table::peersIn(peer_state inState, core::time_point inNow) const
{
    std::vector<std::string> names;
    for (const auto &[name, peer] : mEntries) {
        if (sStateOf(peer, inNow) == inState)
            names.push_back(name);
    }
    return names;
}

std::optional<core::time_point> peer_table::nextChange(core::time_point inNow) const
{
    std::optional<core::time_point> earliest;
    for (const auto &[name, peer] : mEntries) {
        const peer_state state = sStateOf(peer, inNow);
        if (state != peer_state::live && state != peer_state::suspect)
            continue;
        const core::time_point changeAt
            = *peer.lastProgress + (state == peer_state::live ? cSuspectAfter : cDownAfter);
        if (!earliest || changeAt < *earliest)
            earliest = changeAt;
    }
    return earliest;
}

} // namespace corneltally::membership
