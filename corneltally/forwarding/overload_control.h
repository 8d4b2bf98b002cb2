#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/engines/endpoint_table.h"
#include "corneltally/scheduling/overload_policy.h"
#include "corneltally/scheduling/service_backlog.h"

#include <map>
#include <string>

namespace corneltally::forwarding {

/// Overload policies of an instance, one for each service.
class overload_control
{
public:
    /// The sums over a service's endpoints are calculated again after this time, since they take as
    /// long as choosing an endpoint. Heartbeats come every 200 ms.
    static constexpr core::duration sSumsAge = std::chrono::milliseconds(50);

    /// With inEnabled false, no request is weighed and policyFor() must not be called.
    explicit overload_control(bool inEnabled = false, scheduling::overload_options inOptions = {})
        : mEnabled(inEnabled)
        , mOptions(inOptions)
    { }

    bool isEnabled() const { return mEnabled; }

    scheduling::overload_policy &policyFor(const std::string &inService)
    {
        return mServices.try_emplace(inService, mOptions).first->second.policy;
    }

    /// Decides on a request of the service and logs the beginning and the end of an overload.
    scheduling::overload_decision decide(const std::string &inService,
                                         const scheduling::overload_request &inRequest,
                                         const engines::endpoint_table &inEndpoints,
                                         core::time_point inNow);

private:
    struct service_state
    {
        explicit service_state(const scheduling::overload_options &inOptions)
            : policy(inOptions)
        { }

        scheduling::overload_policy policy;
        scheduling::service_backlog backlog;
        core::time_point backlogAt;
        core::time_point overloadedSince;
    };

    bool mEnabled = false;
    scheduling::overload_options mOptions;
    std::map<std::string, service_state, std::less<>> mServices;
};

} // namespace corneltally::forwarding
