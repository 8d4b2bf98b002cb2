#include "corneltally/ownership/lease_table.h"

#include <algorithm>

namespace corneltally::ownership {

void lease_table::startAt(std::uint64_t inFirstOffset)
{
    mFirstOffset = std::max<std::uint64_t>(1, inFirstOffset);
    mNextOffset = std::max(mNextOffset, mFirstOffset);
}

bool lease_table::apply(std::uint64_t inOffset, const lease_record &inRecord,
                        core::time_point inNow)
{
    if (inOffset < mNextOffset)
        return false;
    mNextOffset = inOffset + 1;
    const auto found = mLeases.find(inRecord.endpoint);
    const std::uint64_t current = found == mLeases.end() ? 0 : found->second.offset;
    const bool replacesCurrent = inRecord.replaces == current;
    // The replaced record expired from the log before this instance read it. Of several such
    // records, the one that replaces the latest offset is valid, because its author had read
    // furthest.
    const bool replacesUnread = inRecord.replaces != 0 && inRecord.replaces < mFirstOffset
        && (found == mLeases.end() || found->second.offset < mFirstOffset
            || (found->second.unverified && inRecord.replaces > found->second.record.replaces));
    if (!replacesCurrent && !replacesUnread)
        return false;
    mLeases.insert_or_assign(inRecord.endpoint,
                             current_lease{inOffset, inRecord, inNow, !replacesCurrent});
    return true;
}

void lease_table::skip(std::uint64_t inOffset)
{
    mNextOffset = std::max(mNextOffset, inOffset + 1);
}

const lease_table::current_lease *lease_table::find(std::string_view inEndpoint) const
{
    const auto found = mLeases.find(inEndpoint);
    return found == mLeases.end() ? nullptr : &found->second;
}

bool lease_table::isExpired(std::string_view inEndpoint, core::time_point inNow) const
{
    const current_lease *lease = find(inEndpoint);
    if (lease == nullptr)
        return true;
    const core::duration margin = lease->record.length / 5;
    return inNow >= lease->readAt + lease->record.length + margin;
}

} // namespace corneltally::ownership
