#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/orders/order_service.h"

namespace corneltally::orders {

namespace {

/// Longest wait for a read of the operator records after a process pause; later the store counts as
/// out of reach.
constexpr core::duration cMaxWait = std::chrono::milliseconds(400);

} // namespace

/// Tells the other instances at once whether the engines of the failure domain take orders.
void order_service::evacuationChanged(const catalog::evacuation_changed &inChanged)
{
    if (inChanged.evacuated)
        mEvacuated.insert(inChanged.failureDomain);
    else
        mEvacuated.erase(inChanged.failureDomain);
    for (auto &[engine, state] : mHeld) {
        if (state.controller.entry().failureDomain == inChanged.failureDomain)
            publish(engine, state, core::boot_clock::now());
    }
}

bool order_service::isEvacuated(const held_engine &inHeld) const
{
    return mEvacuated.contains(inHeld.controller.entry().failureDomain);
}

/// The front service asks for the read that ends the wait.
bool order_service::awaitsConfirmation(core::time_point inNow) const
{
    return mUnconfirmedSince && inNow - *mUnconfirmedSince < cMaxWait;
}

/// Declines a load on an engine of an evacuated failure domain. The asking instance does not know
/// of the evacuation; its record makes the requests that wait for the load choose again at once.
void order_service::declineLoad(const fleet::load_wanted &inWanted, const std::string &inFrom)
{
    core::logEvent(core::log_level::info, "load_declined",
                   {{"endpoint", inWanted.endpoint},
                    {"adapter", inWanted.adapter},
                    {"from", inFrom},
                    {"reason", "the failure domain is evacuated"}});
    mMetrics.count("loads_declined_total{reason=\"evacuated\"}");
    if (inFrom != cLocal)
        mRegistry.post("catalog", catalog::evacuation_unknown{inFrom});
}

} // namespace corneltally::orders
