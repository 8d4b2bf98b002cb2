#include "standins/flag_parser.h"
#include "standins/platform_service.h"

namespace standins {

void platform_options::addFlags(flag_parser &ioFlags)
{
    process.addFlags(ioFlags);
    ioFlags.add("retain-records", "records that a stream keeps", retainRecords);
    ioFlags.add("retain-seconds", "age at which a record is dropped", retainSeconds);
    ioFlags.add("appends-per-second", "ceiling of the whole log", appendsPerSecond);
    ioFlags.add("list-lag-ms", "time until the instance list shows a change", listLagMs);
    ioFlags.add("loads-per-second", "rate of the weight store", loadsPerSecond);
    ioFlags.add("load-burst", "burst of the weight store", loadBurst);
    ioFlags.add("load-ms", "time of a load while few are in flight", loadMs);
    ioFlags.add("loads-in-flight", "loads in flight at full speed", loadsInFlight);
}

} // namespace standins

int main(int inCount, char **inArguments)
{
    standins::platform_options options;
    standins::flag_parser flags("platform stand-in: log, instance list, weight store");
    options.addFlags(flags);
    if (!flags.parse(inCount, inArguments))
        return 2;
    standins::host process(options.process);
    standins::platform_service service(process, options);
    if (!process.listen([&service](const auto &inExchange) { service.handle(inExchange); }))
        return 1;
    process.run();
    return 0;
}
