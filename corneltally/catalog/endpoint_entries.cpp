#include "corneltally/catalog/endpoint_entries.h"

#include "corneltally/catalog/catalog_messages.h"
#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/store/topic_follower.h"
#include "platform/document_codec.h"

#include <algorithm>
#include <utility>

namespace corneltally::catalog {

namespace {

/// Entries that expired while the store was unavailable are renewed within this time after its
/// return.
constexpr core::duration cReturnWindow = std::chrono::seconds(1);
/// Endpoints whose entries a restored store lacks write them again within this time, and the
/// entries of those that are gone lapse.
constexpr core::duration cRewriteTime = std::chrono::seconds(2);

} // namespace

std::vector<store::record> endpoint_entries::apply(const store::topic_update &inUpdate,
                                                   core::time_point inNow)
{
    if (inUpdate.afterOutage || inUpdate.afterRestore)
        mStoreReturnedAt = inNow;
    const bool mayReturn = inNow - mStoreReturnedAt < cReturnWindow;
    std::vector<std::string> ids;
    std::vector<store::record> changed;
    if (inUpdate.complete)
        mOutdated.clear();
    for (const store::record &record : inUpdate.records) {
        mOutdated.erase(record.key);
        if (isChanged(record))
            changed.push_back(record);
        if (!record.value) {
            remove(record.key, mayReturn, inNow);
            continue;
        }
        ids.push_back(record.key);
        if (inUpdate.afterRestore && isOutdated(record))
            mOutdated.insert_or_assign(record.key, record);
        else
            applyEntry(record, inNow);
    }
    if (!inUpdate.complete)
        return changed;
    std::erase_if(mValues, [&](const auto &inEntry) {
        return std::ranges::find(ids, inEntry.first) == ids.end();
    });
    mRegistry.broadcast(endpoints_listed{std::move(ids), mayReturn});
    return changed;
}

void endpoint_entries::update(core::time_point inNow)
{
    mDepartures.dropOld(inNow);
    if (inNow - mStoreReturnedAt < cRewriteTime)
        return;
    for (const auto &[id, record] : std::exchange(mOutdated, {}))
        applyEntry(record, inNow);
}

/// Whether an entry of a restored store is from before its endpoint said that it leaves, or was
/// gone.
bool endpoint_entries::isOutdated(const store::record &inRecord) const
{
    const auto decoded = platform::decodeEndpoint(inRecord.key, *inRecord.value);
    return decoded && mDepartures.isOutdated(*decoded);
}

bool endpoint_entries::isChanged(const store::record &inRecord) const
{
    const auto known = mValues.find(inRecord.key);
    return known == mValues.end() ? inRecord.value.has_value() : inRecord.value != known->second;
}

void endpoint_entries::applyEntry(const store::record &inRecord, core::time_point inNow)
{
    std::string &value = mValues[inRecord.key];
    if (value == *inRecord.value)
        return;
    value = *inRecord.value;
    auto decoded = platform::decodeEndpoint(inRecord.key, value);
    if (decoded) {
        mDepartures.entryApplied(*decoded, inNow);
        if (decoded->leaving && mLeaving.insert(inRecord.key).second)
            core::logEvent(
                core::log_level::info, "endpoint_leaving",
                {{"endpoint", inRecord.key}, {"position", inRecord.position.toString()}});
        mRegistry.broadcast(endpoint_changed{std::move(decoded).value()});
        return;
    }
    // An entry that can't be decoded, for example from another writer, describes no usable
    // endpoint.
    mMetrics.count("endpoint_entries_invalid_total");
    core::logEvent(core::log_level::warning, "endpoint_entry_invalid",
                   {{"endpoint", inRecord.key}, {"reason", decoded.reason().message}});
    mRegistry.broadcast(endpoint_removed{inRecord.key, false});
}

void endpoint_entries::remove(const std::string &inEndpoint, bool inMayReturn,
                              core::time_point inNow)
{
    mValues.erase(inEndpoint);
    if (!inMayReturn)
        mDepartures.entryRemoved(inEndpoint, inNow);
    core::logEvent(core::log_level::info, "endpoint_removed",
                   {{"endpoint", inEndpoint}, {"may_return", inMayReturn}});
    mRegistry.broadcast(endpoint_removed{inEndpoint, inMayReturn});
}

} // namespace corneltally::catalog
