#include "review/harness-2/engine_stand_in.h"
#include "standins/flag_parser.h"

int main(int inCount, char **inArguments)
{
    review::engine_options options;
    standins::flag_parser flags("engine of a platform, by the published protocol");
    options.process.addFlags(flags);
    flags.add("store", "address of the store", options.store);
    flags.add("domain", "failure domain", options.zone);
    flags.add("adapters", "places for adapters", options.adapterSlots);
    flags.add("event-ms", "time between events", options.eventMs);
    flags.add("late-share", "share of the orders without answer", options.lateShare);
    flags.add("late-min-ms", "shortest delay of such an order", options.lateMinMs);
    flags.add("late-max-ms", "longest delay of such an order", options.lateMaxMs);
    flags.add("late-window-ms", "time in which orders get no answer", options.lateWindowMs);
    flags.add("late-period-ms", "period of these times", options.latePeriodMs);
    flags.add("repeated-unload", "answer to an unload under way", options.repeatedUnload);
    flags.add("seed", "seed of the random choices", options.seed);
    if (!flags.parse(inCount, inArguments))
        return 2;
    standins::host process(options.process);
    review::engine_stand_in engine(process, options);
    if (!process.listen([&engine](const auto &inExchange) { engine.handle(inExchange); }))
        return 1;
    engine.start(process.port("http"));
    process.run();
    return 0;
}
