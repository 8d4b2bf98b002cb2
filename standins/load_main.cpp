#include "standins/flag_parser.h"
#include "standins/load_generator.h"

#include <cstdio>

namespace standins {

void load_options::addFlags(flag_parser &ioFlags)
{
    ioFlags.add("target", "ip:port of an entry instance's caller listener (several)", targets);
    ioFlags.add("workload", "strengvegur (deployment S) or persatuan (deployment P)", workload);
    ioFlags.add("seed", "the same seed gives the same calls", seed);
    ioFlags.add("calls-per-second", "arrivals, whether or not earlier calls were answered",
                callsPerSecond);
    ioFlags.add("seconds", "time over which calls arrive", seconds);
    ioFlags.add("drain-seconds", "longest wait for answers after that", drainSeconds);
    ioFlags.add("adapters", "adapters that are asked for", adapters);
    ioFlags.add("skew", "exponent of the adapters' popularity", skew);
    ioFlags.add("heavy-account", "account that sends a multiple of its share", heavyAccount);
    ioFlags.add("heavy-factor", "multiple that the heavy account sends", heavyFactor);
    ioFlags.add("attempts", "attempts of orders and idempotent calls", attempts);
    ioFlags.add("require-completions", "fail if a kind of request completed no call",
                requireCompletions);
    ioFlags.add("ledger", "file to which calls are appended as JSON lines", ledgerFile);
    ioFlags.add("application-ledger", "ledger from which double runs are counted (several)",
                applicationLedgers);
}

} // namespace standins

int main(int inCount, char **inArguments)
{
    standins::load_options options;
    standins::flag_parser flags(
        "load tool; exit code 1 if an answer was wrong or an order ran twice");
    options.addFlags(flags);
    if (!flags.parse(inCount, inArguments))
        return 2;
    const standins::deployment plan = standins::deployment::sNamed(options.workload);
    if (plan.name().empty() || options.targets.empty()) {
        std::fputs("name a workload and at least one --target\n", stderr);
        return 2;
    }
    standins::load_generator generator(plan, options);
    const standins::load_report report = generator.run();
    std::fputs(report.toText(generator.seconds()).c_str(), stdout);
    const bool served = !options.requireCompletions || report.everyKindCompleted();
    return report.wrongCount() == 0 && served ? 0 : 1;
}
