#include "corneltally/catalog/evacuation_tracker.h"

#include "corneltally/catalog/evacuation_messages.h"
#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/kernel/service_registry.h"
#include "platform/document_codec.h"

#include <utility>

namespace corneltally::catalog {

namespace {

std::string gaugeOf(std::string_view inName, const std::string &inFailureDomain)
{
    return std::string(inName) + "{failure_domain=\"" + core::jsonEscape(inFailureDomain) + "\"}";
}

long long inMs(core::duration inDuration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(inDuration).count();
}

} // namespace

evacuation_tracker::evacuation_tracker(kernel::service_registry &ioRegistry,
                                       core::metrics &ioMetrics)
    : mRegistry(ioRegistry)
    , mMetrics(ioMetrics)
{ }

bool evacuation_tracker::sIsEvacuation(const store::record &inRecord)
{
    return platform::decodeEvacuationKey(inRecord.key).has_value();
}

void evacuation_tracker::apply(const std::vector<store::record> &inRecords, store::position inFrom,
                               store::position inEnd, std::string_view inSource,
                               core::time_point inNow)
{
    using outcome = evacuation_records::outcome;
    const std::uint64_t eraBefore = mRecords.era();
    for (const store::record &record : inRecords) {
        const auto domain = platform::decodeEvacuationKey(record.key);
        if (!domain)
            continue;
        const outcome result = mRecords.apply(*domain, record);
        if (result == outcome::repeated)
            mMetrics.count("operator_records_repeated_total{source=\"" + std::string(inSource)
                           + "\"}");
        else if (result == outcome::begun)
            begin(*domain, inSource, inNow);
        else if (result == outcome::ended)
            end(*domain, inSource, "deletion", inNow);
    }
    for (const std::string &domain : mRecords.completeRange(inRecords, inFrom, inEnd))
        end(domain, inSource, "absence", inNow);
    if (mRecords.era() != eraBefore)
        mEraBeganAt = inNow;
}

void evacuation_tracker::begin(const std::string &inFailureDomain, std::string_view inSource,
                               core::time_point inNow)
{
    mArrivals[inFailureDomain] = {inNow, std::string(inSource)};
    core::logEvent(core::log_level::warning, "failure_domain_evacuated",
                   {{"failure_domain", inFailureDomain},
                    {"source", inSource},
                    {"position", mRecords.positionOf(inFailureDomain).toString()}});
    mMetrics.count("evacuations_begun_total");
    notify(inFailureDomain);
}

void evacuation_tracker::end(const std::string &inFailureDomain, std::string_view inSource,
                             std::string_view inSeen, core::time_point inNow)
{
    core::logEvent(core::log_level::info, "failure_domain_returned",
                   {{"failure_domain", inFailureDomain},
                    {"source", inSource},
                    {"seen_by", inSeen},
                    {"position", mRecords.positionOf(inFailureDomain).toString()},
                    {"evacuated_ms", inMs(inNow - mArrivals[inFailureDomain].at)}});
    mArrivals.erase(inFailureDomain);
    mMetrics.setGauge(gaugeOf("evacuation_age_seconds", inFailureDomain), 0);
    notify(inFailureDomain);
}

void evacuation_tracker::notify(const std::string &inFailureDomain)
{
    const bool evacuated = mRecords.isEvacuated(inFailureDomain);
    mMetrics.setGauge("evacuated_failure_domains", static_cast<double>(mArrivals.size()));
    mMetrics.setGauge(gaugeOf("failure_domain_evacuated", inFailureDomain), evacuated ? 1 : 0);
    mRegistry.broadcast(
        evacuation_changed{inFailureDomain, evacuated, mRecords.positionOf(inFailureDomain)});
}

void evacuation_tracker::update(core::time_point inNow)
{
    if (inNow - mEraBeganAt > sRewriteTime) {
        for (const std::string &domain : mRecords.endLost())
            end(domain, "store", "restore", inNow);
    }
    for (const auto &[domain, known] : mArrivals)
        mMetrics.setGauge(gaugeOf("evacuation_age_seconds", domain),
                          std::chrono::duration<double>(inNow - known.at).count());
}

std::string evacuation_tracker::dump(core::time_point inNow) const
{
    std::string text = "[";
    for (const auto &[domain, known] : mArrivals) {
        text.append(text.size() > 1 ? "," : "").append("{\"failure_domain\":\"");
        text.append(core::jsonEscape(domain)).append("\",\"source\":\"").append(known.source);
        text.append("\",\"position\":\"").append(mRecords.positionOf(domain).toString());
        text.append("\",\"age_ms\":").append(std::to_string(inMs(inNow - known.at))).append("}");
    }
    return text.append("]");
}

} // namespace corneltally::catalog
