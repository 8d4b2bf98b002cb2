#pragma once

#include "corneltally/core/boot_clock.h"

#include <string>

namespace corneltally::scheduling {

/// Summary of the requests queued at an endpoint for one adapter version.
struct adapter_demand
{
    std::string adapter;
    int requests = 0;
    double tokens = 0;
    core::time_point oldest;
    /// Class and start tag of the request that the queue would start first if all adapters were
    /// resident. Prompt class goes before patient class, then the lower start tag.
    bool prompt = false;
    double startTag = 0;
    /// Queued tokens weighted by class and age. Adapters are loaded in descending order of it.
    double urgency = 0;

    /// True if the queue would start a request of this demand before any of the other demand.
    bool precedes(const adapter_demand &inOther) const
    {
        return prompt != inOther.prompt ? prompt : startTag < inOther.startTag;
    }
};

} // namespace corneltally::scheduling
