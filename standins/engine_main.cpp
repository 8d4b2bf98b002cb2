#include "standins/engine_service.h"
#include "standins/flag_parser.h"

namespace standins {

void engine_options::addFlags(flag_parser &ioFlags)
{
    process.addFlags(ioFlags);
    ioFlags.add("platform", "ip:port of the weight store; empty loads after --load-ms", platform);
    ioFlags.add("base-model", "base model", baseModel);
    ioFlags.add("adapter-slots", "adapters that can be resident", adapterSlots);
    ioFlags.add("run-slots", "runs in the batch", runSlots);
    ioFlags.add("token-ms", "time per token; 0 is as fast as possible", tokenMs);
    ioFlags.add("prefill-us", "time per prompt token", prefillUsPerToken);
    ioFlags.add("report-lag-ms", "lag of the state report; 0 reports at once", reportLagMs);
    ioFlags.add("load-ms", "time of a load without a platform", loadMs);
    ioFlags.add("keep-streams-s", "time for which ended streams can be resumed",
                keepStreamsSeconds);
    ioFlags.add("ignore-fence", "accept commands with any fencing number", ignoreFence);
    ioFlags.add("resident", "adapter@version that is resident at the start (several)", resident);
}

} // namespace standins

int main(int inCount, char **inArguments)
{
    standins::engine_options options;
    standins::flag_parser flags("engine stand-in: completions with adapters");
    options.addFlags(flags);
    if (!flags.parse(inCount, inArguments))
        return 2;
    standins::host process(options.process);
    standins::engine_service service(process, options);
    if (!process.listen([&service](const auto &inExchange) { service.handle(inExchange); }))
        return 1;
    process.run();
    return 0;
}
