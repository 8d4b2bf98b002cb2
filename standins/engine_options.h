#pragma once

#include "standins/host.h"

#include <string>
#include <vector>

namespace standins {

/// Flags of the engine stand-in.
struct engine_options
{
    host_options process{.name = "engine"};
    /// Address of the platform for loads from the weight store; empty loads after loadMs.
    std::string platform;
    std::string baseModel = "base";
    long long adapterSlots = 4;
    long long runSlots = 8;
    double tokenMs = 5;
    double prefillUsPerToken = 50;
    double reportLagMs = 200;
    double loadMs = 250;
    double keepStreamsSeconds = 60;
    bool ignoreFence = false;
    std::vector<std::string> resident;

    void addFlags(flag_parser &ioFlags);
};

} // namespace standins
