#include "corneltally/entry/endpoint_directory.h"

#include "corneltally/core/json_log.h"
#include "corneltally/entry/dispatch_rules.h"
#include "corneltally/settings/settings_index.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace corneltally::entry {

endpoint_directory::endpoint_directory(std::string inInstance)
    : mInstance(std::move(inInstance))
{ }

void endpoint_directory::setSettingsIndex(
    std::shared_ptr<const settings::settings_index> inSettingsIndex)
{
    mSettingsIndex = std::move(inSettingsIndex);
    // Entries with outstanding requests are kept until these end.
    std::erase_if(mEntries, [&](const auto &inEntry) {
        return inEntry.second.outstanding == 0
            && mSettingsIndex->findEndpoint(inEntry.first) == nullptr;
    });
}

void endpoint_directory::setInstances(name_set inLive, name_set inDraining)
{
    mLive = std::move(inLive);
    mDraining = std::move(inDraining);
}

void endpoint_directory::updateStatus(const endpoint_status &inStatus, core::time_point /*inNow*/)
{
    entry &known = mEntries[inStatus.endpoint];
    if (known.status && known.status->owner != inStatus.owner
        && !replacesStatus(known.status->fence, isPresent(known.status->owner), inStatus.fence))
        return;
    known.status = inStatus;
    known.dispatchedSinceReport = 0;
}

bool endpoint_directory::isPresent(std::string_view inInstance) const
{
    return inInstance == mInstance || mLive.contains(inInstance) || mDraining.contains(inInstance);
}

bool endpoint_directory::isConnected(std::string_view inInstance) const
{
    return inInstance == mInstance || !mDisconnected.contains(inInstance);
}

void endpoint_directory::setConnected(const std::string &inInstance, bool inConnected)
{
    if (inConnected)
        mDisconnected.erase(inInstance);
    else
        mDisconnected.insert(inInstance);
}

std::optional<std::string> endpoint_directory::ownerOf(std::string_view inEndpoint) const
{
    const auto known = mEntries.find(inEndpoint);
    if (known == mEntries.end() || !known->second.status || !isPresent(known->second.status->owner)
        || !isConnected(known->second.status->owner))
        return std::nullopt;
    return known->second.status->owner;
}

const settings::endpoint_view *endpoint_directory::find(std::string_view inEndpoint) const
{
    return mSettingsIndex ? mSettingsIndex->findEndpoint(inEndpoint) : nullptr;
}

std::string endpoint_directory::failureDomain() const
{
    const settings::instance_view *self = mSettingsIndex->findInstance(mInstance);
    return self == nullptr ? std::string() : self->failureDomain;
}

std::optional<std::string> endpoint_directory::chooseModelEndpoint(const run &inRun,
                                                                   const name_set &inExcluded,
                                                                   core::time_point inNow,
                                                                   std::uint64_t inRandom)
{
    if (!mSettingsIndex)
        return std::nullopt;
    const std::string domain = failureDomain();
    const resident_adapter wanted{inRun.adapter, inRun.version};
    std::vector<scheduling::route_option> options;
    for (const auto &[name, view] : mSettingsIndex->endpoints()) {
        const auto known = mEntries.find(name);
        if (view.kind != settings::endpoint_kind::model || view.baseModel != inRun.baseModel
            || view.leaving || inExcluded.contains(name) || known == mEntries.end()
            || !known->second.status)
            continue;
        const endpoint_status &status = *known->second.status;
        const bool loading = std::ranges::find(status.loading, wanted) != status.loading.end();
        const bool resident = std::ranges::find(status.resident, wanted) != status.resident.end();
        options.push_back(
            {.name = name,
             .ownerReachable = status.owner == mInstance || mLive.contains(status.owner),
             .accepting = status.accepting,
             .sameDomain = view.failureDomain == domain,
             .resident = resident,
             .loading = loading,
             .running = status.running,
             .queued = status.queued,
             .queuedTokens = status.queuedTokens,
             .estimatedWait = status.estimatedWait,
             .dispatchedSinceReport = known->second.dispatchedSinceReport,
             .healthWeight = known->second.health.weight(inNow)});
    }
    const double share = 1.0 / static_cast<double>(std::max<std::size_t>(1, mLive.size()));
    const int copies = mPlacement.copies(inRun.adapter, share, inNow);
    const std::optional<std::size_t> chosen
        = mChoice.choose(inRun.adapter, copies, options, inRandom);
    if (!chosen)
        return std::nullopt;
    return std::string(options[*chosen].name);
}

std::optional<std::string> endpoint_directory::chooseServiceEndpoint(const run &inRun,
                                                                     const name_set &inExcluded,
                                                                     core::time_point inNow,
                                                                     std::uint64_t inRandom)
{
    if (!mSettingsIndex)
        return std::nullopt;
    const std::string domain = failureDomain();
    const settings::route_view *route = mSettingsIndex->findRoute(inRun.path);
    std::vector<service_option> options;
    for (const auto &[name, view] : mSettingsIndex->endpoints()) {
        if (view.kind != settings::endpoint_kind::service || view.leaving)
            continue;
        if (route != nullptr && !route->endpoints.empty()
            && std::ranges::find(route->endpoints, name) == route->endpoints.end())
            continue;
        const entry &known = mEntries[name];
        options.push_back({.name = name,
                           .sameDomain = view.failureDomain == domain,
                           .mayStart = known.health.mayStart(inNow),
                           .excluded = inExcluded.contains(name),
                           .outstanding = known.outstanding,
                           .healthWeight = known.health.weight(inNow)});
    }
    const std::optional<std::size_t> chosen = corneltally::entry::chooseService(options, inRandom);
    if (!chosen)
        return std::nullopt;
    return std::string(options[*chosen].name);
}

void endpoint_directory::started(const run &inRun, std::string_view inEndpoint,
                                 core::time_point inNow)
{
    entry &known = mEntries[std::string(inEndpoint)];
    ++known.outstanding;
    ++known.dispatchedSinceReport;
    known.health.started();
    if (!inRun.adapter.empty())
        mPlacement.started(inRun.adapter, inNow);
}

void endpoint_directory::ended(const run &inRun, entry &ioEntry, core::time_point inNow)
{
    --ioEntry.outstanding;
    if (!inRun.adapter.empty())
        mPlacement.ended(inRun.adapter, inNow);
}

void endpoint_directory::succeeded(const run &inRun, std::string_view inEndpoint,
                                   core::duration inLatency, core::time_point inNow)
{
    entry &known = mEntries[std::string(inEndpoint)];
    known.health.succeeded(inLatency, inNow);
    ended(inRun, known, inNow);
}

void endpoint_directory::failed(const run &inRun, std::string_view inEndpoint,
                                core::time_point inNow)
{
    entry &known = mEntries[std::string(inEndpoint)];
    known.health.failed(inNow);
    ended(inRun, known, inNow);
}

void endpoint_directory::abandoned(const run &inRun, std::string_view inEndpoint,
                                   core::time_point inNow)
{
    entry &known = mEntries[std::string(inEndpoint)];
    known.health.abandoned();
    ended(inRun, known, inNow);
}

std::string endpoint_directory::toJson() const
{
    std::string text = "[";
    for (const auto &[name, known] : mEntries) {
        text.append(text.size() > 1 ? ",{" : "{");
        text.append("\"endpoint\":\"").append(core::jsonEscape(name));
        if (known.status) {
            text.append("\",\"owner\":\"").append(core::jsonEscape(known.status->owner));
            text.append("\",\"fence\":").append(std::to_string(known.status->fence));
            text.append(",\"accepting\":").append(known.status->accepting ? "true" : "false");
            text.append(",\"queued\":").append(std::to_string(known.status->queued));
            text.append(",\"running\":").append(std::to_string(known.status->running));
        } else {
            text.append("\",\"owner\":null");
        }
        text.append(",\"outstanding\":").append(std::to_string(known.outstanding)).append("}");
    }
    return text.append("]");
}

} // namespace corneltally::entry
