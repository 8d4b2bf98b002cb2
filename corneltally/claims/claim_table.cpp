#include "corneltally/claims/claim_table.h"

#include <algorithm>

namespace corneltally::claims {

claim_table::claim_table(std::chrono::milliseconds inWindow)
    : mWindow(inWindow)
{ }

void claim_table::clear()
{
    mKeys.clear();
    mByTime.clear();
    mLatestMs = 0;
}

std::vector<claim_table::effect> claim_table::apply(std::uint64_t inOffset, std::int64_t inTimeMs,
                                                    const claim_batch &inBatch)
{
    // The clock of the log may be set back; an expired window must stay expired.
    mLatestMs = std::max(mLatestMs, inTimeMs);
    removeExpired();
    std::vector<effect> effects;
    effects.reserve(inBatch.records.size());
    for (const claim_record &record : inBatch.records) {
        switch (record.action) {
        case claim_action::claim:
            effects.push_back(applyClaim(record, inOffset));
            break;
        case claim_action::release:
            effects.push_back(applyRelease(record));
            break;
        case claim_action::done:
            effects.push_back(applyDone(record));
            break;
        }
    }
    return effects;
}

const claim_holder *claim_table::find(std::string_view inKey, std::int64_t inTimeMs) const
{
    const auto found = mKeys.find(std::string(inKey));
    if (found == mKeys.end() || !found->second.holder)
        return nullptr;
    if (found->second.claimedMs + mWindow.count() <= std::max(inTimeMs, mLatestMs))
        return nullptr;
    return &*found->second.holder;
}

std::map<std::string, claim_holder> claim_table::holders() const
{
    std::map<std::string, claim_holder> result;
    for (const auto &[key, state] : mKeys) {
        if (state.holder)
            result.emplace(key, *state.holder);
    }
    return result;
}

claim_table::effect claim_table::applyClaim(const claim_record &inRecord, std::uint64_t inOffset)
{
    key_state &state = mKeys[inRecord.key];
    if (std::ranges::find(state.claimIds, inRecord.claimId) != state.claimIds.end())
        return effect::lost;
    state.claimIds.push_back(inRecord.claimId);
    // A claim that lost does not extend the window of the holder.
    if (state.holder)
        return effect::lost;
    state.claimedMs = mLatestMs;
    mByTime.emplace_back(mLatestMs, inRecord.key);
    state.holder = claim_holder{.claimId = inRecord.claimId,
                                .instance = inRecord.instance,
                                .incarnation = inRecord.incarnation,
                                .requestDigest = inRecord.requestDigest,
                                .offset = inOffset};
    return effect::held;
}

claim_table::effect claim_table::applyRelease(const claim_record &inRecord)
{
    const auto found = mKeys.find(inRecord.key);
    if (found == mKeys.end() || !found->second.holder)
        return effect::none;
    const claim_holder &holder = *found->second.holder;
    if (holder.claimId != inRecord.claimId || holder.done)
        return effect::none;
    found->second.holder.reset();
    return effect::released;
}

claim_table::effect claim_table::applyDone(const claim_record &inRecord)
{
    const auto found = mKeys.find(inRecord.key);
    if (found == mKeys.end() || !found->second.holder)
        return effect::none;
    claim_holder &holder = *found->second.holder;
    if (holder.claimId != inRecord.claimId || holder.done)
        return effect::none;
    holder.done = true;
    holder.status = inRecord.status;
    holder.contentType = inRecord.contentType;
    holder.body = inRecord.body;
    return effect::done;
}

void claim_table::removeExpired()
{
    while (!mByTime.empty() && mByTime.front().first + mWindow.count() <= mLatestMs) {
        const auto found = mKeys.find(mByTime.front().second);
        // A key that was released and claimed again has a later entry of its own.
        if (found != mKeys.end() && found->second.claimedMs + mWindow.count() <= mLatestMs)
            mKeys.erase(found);
        mByTime.pop_front();
    }
}

} // namespace corneltally::claims
