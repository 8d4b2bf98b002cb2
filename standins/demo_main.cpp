#include "standins/flag_parser.h"
#include "standins/fleet.h"
#include "standins/ledger_checker.h"

#include <cstdio>
#include <filesystem>

namespace {

struct demo_options
{
    std::string binaries = "build";
    std::string folder = "build/demo";
    std::vector<std::string> workloads;
    double seconds = 20;
    double callsPerSecond = 20;
    long long seed = 1;
    double heavyFactor = 1;
};

std::vector<std::string> loadArguments(const standins::fleet &inFleet,
                                       const demo_options &inOptions)
{
    std::vector<std::string> arguments{"--workload",
                                       inFleet.plan().name(),
                                       "--seconds",
                                       std::to_string(inOptions.seconds),
                                       "--calls-per-second",
                                       std::to_string(inOptions.callsPerSecond),
                                       "--seed",
                                       std::to_string(inOptions.seed),
                                       "--heavy-account",
                                       inFleet.plan().accounts().front().name,
                                       "--heavy-factor",
                                       std::to_string(inOptions.heavyFactor),
                                       "--require-completions",
                                       "--ledger",
                                       inFleet.fileIn("load.ledger")};
    for (const std::string &address : inFleet.callerAddresses()) {
        arguments.emplace_back("--target");
        arguments.push_back(address);
    }
    for (const std::string &name : inFleet.names("application-")) {
        arguments.emplace_back("--application-ledger");
        arguments.push_back(inFleet.fileIn(name + ".ledger"));
    }
    return arguments;
}

/// Prints the violations that the ledgers show; returns whether there are none.
bool checkLedgers(const standins::fleet &inFleet, const std::vector<std::string> &inFiles)
{
    standins::ledger_checker checker;
    for (const std::string &file : inFiles)
        checker.addFile(file);
    checker.addFile(inFleet.fileIn("load.ledger"));
    const std::vector<standins::violation> found = checker.check();
    for (const standins::violation &entry : found)
        std::printf("violation of %s: %s\n", entry.guarantee.c_str(), entry.message.c_str());
    std::printf("%zu runs and %zu calls checked, %zu violations\n\n", checker.runCount(),
                checker.callCount(), found.size());
    return found.empty();
}

bool runWorkload(const std::string &inWorkload, const demo_options &inOptions)
{
    const std::string folder = inOptions.folder + "/" + inWorkload;
    // Ledgers of an earlier run would be checked again.
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
    standins::fleet fleet(
        {.binaries = inOptions.binaries, .folder = folder, .workload = inWorkload});
    if (!fleet.start() || !fleet.waitServing()) {
        std::fprintf(stderr, "%s: %s\n", inWorkload.c_str(), fleet.problem().c_str());
        return false;
    }
    std::printf("workload %s: %zu entry instances, %zu engines, %zu applications, %.0f calls/s "
                "for %.0f s, seed %lld\n",
                inWorkload.c_str(), fleet.names("entry-").size(), fleet.names("engine-").size(),
                fleet.names("application-").size(), inOptions.callsPerSecond, inOptions.seconds,
                inOptions.seed);
    std::fflush(stdout);
    standins::child_process load({.program = inOptions.binaries + "/standins/standin_load",
                                  .arguments = loadArguments(fleet, inOptions),
                                  .logFile = fleet.fileIn("load.log")});
    const auto limit
        = std::chrono::milliseconds(static_cast<long long>(inOptions.seconds * 1000) + 180'000);
    std::fputs(load.readOutput(limit).c_str(), stdout);
    const bool loadPassed = load.waitExit(std::chrono::seconds(10)) == 0;
    const std::vector<std::string> ledgers = fleet.ledgerFiles();
    const bool stopped = fleet.stop();
    if (!stopped)
        std::fprintf(stderr, "%s: %s\n", inWorkload.c_str(), fleet.problem().c_str());
    return checkLedgers(fleet, ledgers) && loadPassed && stopped;
}

} // namespace

int main(int inCount, char **inArguments)
{
    demo_options options;
    standins::flag_parser flags("starts a fleet for each workload and prints how it was served");
    flags.add("binaries", "build folder", options.binaries);
    flags.add("folder", "folder for settings, logs and ledgers", options.folder);
    flags.add("workload", "strengvegur or persatuan (several); both by default", options.workloads);
    flags.add("seconds", "time over which calls arrive, per workload", options.seconds);
    flags.add("calls-per-second", "arrivals", options.callsPerSecond);
    flags.add("heavy-factor", "multiple of its share that the largest account sends",
              options.heavyFactor);
    flags.add("seed", "seed of the calls", options.seed);
    if (!flags.parse(inCount, inArguments))
        return 2;
    if (options.workloads.empty())
        options.workloads = {"strengvegur", "persatuan"};
    bool passed = true;
    for (const std::string &workload : options.workloads)
        passed = runWorkload(workload, options) && passed;
    return passed ? 0 : 1;
}
