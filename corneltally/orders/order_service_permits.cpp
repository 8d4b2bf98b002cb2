// Part of order_service: permits for requests to cold endpoints.

#include "corneltally/core/metrics.h"
#include "corneltally/engines/endpoint_exchange.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/orders/order_service.h"
#include "corneltally/routing/routing_table.h"
#include "platform/request_codec.h"

#include <utility>

namespace corneltally::orders {

namespace {

/// Period in which the state of a held plain endpoint is repeated for instances that missed it.
constexpr core::duration cRepeatPeriod = std::chrono::seconds(2);

} // namespace

/// The service of an endpoint if its cold endpoints receive requests only with permits, else null.
const routing::service *order_service::coldServiceOf(const std::string &inEndpoint) const
{
    const auto entry = mEntries.find(inEndpoint);
    if (mOptions.coldOver <= 0 || !mTable || entry == mEntries.end())
        return nullptr;
    const routing::service *service = mTable->findService(entry->second.service);
    return service != nullptr && service->coldPerSecond > 0 ? service : nullptr;
}

cold_permits::authority order_service::authorityOver(const std::string &inEndpoint,
                                                     core::time_point inNow) const
{
    if (!mClaims.mayOrder(inEndpoint, inNow))
        return std::nullopt;
    return mClaims.find(inEndpoint)->fence;
}

fleet::permit_reply order_service::permitRequested(const fleet::permit_wanted &inWanted,
                                                   const std::string &inFrom)
{
    const core::time_point now = core::boot_clock::now();
    const routing::service *service = coldServiceOf(inWanted.endpoint);
    limits::permit_decision decision{false, cold_permits::sNoAuthorityPause};
    if (service != nullptr)
        decision = mPermits.request(
            inWanted.endpoint, inFrom, authorityOver(inWanted.endpoint, now),
            service->coldPerSecond * mOptions.coldOver + mOptions.coldSlack, now);
    mMetrics.count(decision.granted ? "permits_total{outcome=\"granted\"}"
                                    : "permits_total{outcome=\"denied\"}");
    return {inWanted.number, decision.granted, decision.retryIn};
}

/// Notes for which endpoints this instance may grant permits, and publishes the state of the plain
/// ones; that of engines is published with their adapters.
void order_service::advancePermits(core::time_point inNow)
{
    if (mHeldCold.empty())
        return;
    std::erase_if(mHeldCold, [this](const std::string &inEndpoint) {
        return !mClaims.holds(inEndpoint) || coldServiceOf(inEndpoint) == nullptr;
    });
    mPermits.keepOnly(
        [this](const std::string &inEndpoint) { return mHeldCold.contains(inEndpoint); });
    std::erase_if(mPlainStates,
                  [this](const auto &inEntry) { return !mHeldCold.contains(inEntry.first); });
    for (const std::string &endpoint : mHeldCold) {
        const auto authority = authorityOver(endpoint, inNow);
        mPermits.confirm(endpoint, authority, inNow);
        if (mHeld.contains(endpoint))
            continue;
        const fleet::engine_state state{.endpoint = endpoint,
                                        .startedMs = mEntries.at(endpoint).startedMs,
                                        .ready = authority.has_value()};
        auto &[published, at] = mPlainStates[endpoint];
        if (published == state && inNow - at < cRepeatPeriod)
            continue;
        published = state;
        at = inNow;
        mRegistry.broadcast(held_engine_changed{state});
        mRegistry.post("mesh", fleet::mesh_send{"", state});
    }
}

/// Tells the front service what an exchange shows about the endpoint's cold time.
void order_service::reportCold(const std::string &inEngine, std::uint64_t inStartedMs,
                               core::time_point inSentAt, const http1::fetch_result &inResult)
{
    if (coldServiceOf(inEngine) == nullptr)
        return;
    const auto coldLeft = platform::decodeColdLeft(inResult.status, inResult.fields);
    const bool isLost = inResult.status == 0 && !inResult.sent;
    if (isLost || coldLeft)
        mRegistry.post("front",
                       engines::endpoint_exchange{inEngine, inStartedMs, inSentAt, coldLeft});
}

} // namespace corneltally::orders
