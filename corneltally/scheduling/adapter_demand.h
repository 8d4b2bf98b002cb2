#pragma once

#include "corneltally/core/boot_clock.h"

#include <string>

namespace corneltally::scheduling {

/// Requests that wait at an endpoint for one adapter version.
struct adapter_demand
{
    std::string adapter;
    int requests = 0;
    double tokens = 0;
    core::time_point oldest;
    /// Place of the first of the requests in the order of the queue, as if all adapters were
    /// resident: prompt before patient, then by start tag.
    bool prompt = false;
    double startTag = 0;
    /// Waiting tokens weighted by class and age; the order in which adapters are loaded.
    double urgency = 0;

    /// Whether the queue would start a request of this demand before any of the other one.
    bool precedes(const adapter_demand &inOther) const
    {
        return prompt != inOther.prompt ? prompt : startTag < inOther.startTag;
    }
};

} // namespace corneltally::scheduling
