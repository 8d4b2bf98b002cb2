#include "corneltally/forwarding/overload_control.h"

#include "corneltally/core/json_log.h"

namespace corneltally::forwarding {

namespace {

long long inMs(core::duration inDuration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(inDuration).count();
}

} // namespace

scheduling::overload_decision
overload_control::decide(const std::string &inService,
                         const scheduling::overload_request &inRequest,
                         const engines::endpoint_table &inEndpoints, core::time_point inNow)
{
    service_state &service = mServices.try_emplace(inService, mOptions).first->second;
    if (inNow - service.backlogAt >= sSumsAge) {
        service.backlog = inEndpoints.backlogOf(inService, inNow);
        service.backlogAt = inNow;
    }
    const bool wasOverloaded = service.policy.isOverloaded();
    const scheduling::overload_decision decision
        = service.policy.decide(inRequest, service.backlog, inNow);
    if (service.policy.isOverloaded() != wasOverloaded) {
        if (!wasOverloaded)
            service.overloadedSince = inNow;
        core::logEvent(core::log_level::info, wasOverloaded ? "overload_ended" : "overload_began",
                       {{"service", inService},
                        {"source", "load_reports"},
                        {"report_age_ms", inMs(service.backlog.age)},
                        {"backlog_ms", inMs(decision.backlog)},
                        {"endpoints", service.backlog.endpoints},
                        {"requests", service.backlog.requests},
                        {"lasted_ms", inMs(inNow - service.overloadedSince)}});
    }
    return decision;
}

} // namespace corneltally::forwarding
