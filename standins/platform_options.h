#pragma once

#include "standins/host.h"

namespace standins {

/// Flags of the platform stand-in.
struct platform_options
{
    host_options process{.name = "platform"};
    long long retainRecords = 1'000'000;
    double retainSeconds = 172'800;
    double appendsPerSecond = 400;
    double listLagMs = 2'000;
    double loadsPerSecond = 3;
    double loadBurst = 8;
    double loadMs = 250;
    long long loadsInFlight = 8;

    void addFlags(flag_parser &ioFlags);
};

} // namespace standins
