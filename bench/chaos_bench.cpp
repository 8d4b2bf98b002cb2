// Draws faults from a seed, injects them into a fleet of deployment S under load, and compares the
// ledgers of all processes with the guarantees. Exit code 1 means that a guarantee was violated.

#include "bench/chaos_fleet.h"
#include "standins/flag_parser.h"

#include <algorithm>
#include <cstdio>
#include <map>
#include <random>
#include <thread>

namespace {

using namespace std::chrono_literals;

struct chaos_options
{
    std::string binaries = "build";
    std::string folder = "build/chaos_run";
    long long seed = 1;
    double seconds = 15;
    double callsPerSecond = 10;
    std::string brokenGuard;
};

/// Kinds of faults; every run begins with a permutation of all of them.
const std::vector<std::string> cFaults{"kill",
                                       "pause",
                                       "cut_one_way",
                                       "cut_both_ways",
                                       "log_outage",
                                       "lost_answers",
                                       "slow_store",
                                       "engine_restart",
                                       "failing_loads",
                                       "key_withdrawal",
                                       "leaving",
                                       "silent_connection",
                                       "racing_operators",
                                       "lost_orders"};

/// Injects one fault, waits, and ends it.
void runFault(chaos::chaos_fleet &ioFleet, const std::string &inFault, std::mt19937_64 &ioRandom,
              std::chrono::milliseconds inLength)
{
    const auto number = [&](int inLimit) {
        return std::to_string(std::uniform_int_distribution<int>(1, inLimit)(ioRandom));
    };
    const std::string entry = "entry-" + number(4);
    const std::string engine = "engine-" + number(12);
    const std::string application = "application-" + number(3);
    standins::fleet &fleet = ioFleet.processes();
    const std::string domain = fleet.domainOf(entry);
    const auto hold = [&] { std::this_thread::sleep_for(inLength); };
    if (inFault == "kill") {
        ioFleet.begin(inFault, entry);
        fleet.process(entry).kill();
        hold();
        ioFleet.check(fleet.restart(entry), entry + " did not restart");
    } else if (inFault == "pause") {
        ioFleet.begin(inFault, entry);
        fleet.process(entry).pause();
        hold();
        fleet.process(entry).resume();
    } else if (inFault == "cut_one_way") {
        ioFleet.begin(inFault, domain);
        fleet.fault(fleet.linksAcross(domain), R"({"fault":"freeze","direction":"forward"})");
        hold();
        fleet.healAll();
    } else if (inFault == "cut_both_ways") {
        ioFleet.begin(inFault, domain);
        fleet.cutDomain(domain);
        hold();
        fleet.healAll();
    } else if (inFault == "log_outage") {
        ioFleet.begin(inFault, "platform");
        ioFleet.control("platform", "outage", R"({"part":"log","mode":"hang"})");
        hold();
        ioFleet.control("platform", "outage", R"({"part":"log","mode":"none"})");
    } else if (inFault == "lost_answers") {
        ioFleet.begin(inFault, "platform");
        ioFleet.control("platform", "log", R"({"lose_answers":6})");
        hold();
        ioFleet.control("platform", "log", R"({"lose_answers":0})");
    } else if (inFault == "slow_store") {
        ioFleet.begin(inFault, "platform");
        ioFleet.control("platform", "outage", R"({"part":"weights","mode":"slow","slow_ms":3000})");
        hold();
        ioFleet.control("platform", "outage", R"({"part":"weights","mode":"none"})");
    } else if (inFault == "engine_restart") {
        ioFleet.begin(inFault, engine);
        ioFleet.check(fleet.restart(engine), engine + " did not restart");
        hold();
    } else if (inFault == "failing_loads") {
        ioFleet.begin(inFault, engine);
        ioFleet.control("platform", "weights", R"({"fail_next":5})");
        ioFleet.control(engine, "engine", R"({"fail_loads":3})");
        hold();
    } else if (inFault == "key_withdrawal") {
        ioFleet.begin(inFault, "bakery/k1");
        ioFleet.withdrawKey("bakery");
        hold();
    } else if (inFault == "leaving") {
        ioFleet.begin(inFault, engine + " " + application);
        ioFleet.setLeaving({engine, application}, true);
        std::this_thread::sleep_for(std::max<std::chrono::milliseconds>(inLength, 4500ms));
        ioFleet.setLeaving({engine, application}, false);
    } else if (inFault == "silent_connection") {
        ioFleet.begin(inFault, entry);
        fleet.fault(fleet.linksOf(entry), R"({"fault":"half_open"})");
        hold();
        fleet.healAll();
    } else if (inFault == "racing_operators") {
        ioFleet.begin(inFault, "/accounts/mill");
        ioFleet.raceOperators(4);
    } else if (inFault == "lost_orders") {
        ioFleet.begin(inFault, application);
        ioFleet.control(application, "faults", R"({"close_after_run":3})");
        hold();
    }
    ioFleet.end();
}

int run(const chaos_options &inOptions)
{
    chaos::chaos_fleet fleet(inOptions.binaries,
                             inOptions.folder + "/" + std::to_string(inOptions.seed),
                             inOptions.brokenGuard);
    if (!fleet.start(inOptions.seed, inOptions.seconds, inOptions.callsPerSecond))
        return 2;
    std::mt19937_64 random(static_cast<std::uint64_t>(inOptions.seed));
    std::vector<std::string> order = cFaults;
    std::ranges::shuffle(order, random);
    const auto end = std::chrono::steady_clock::now()
        + std::chrono::milliseconds(static_cast<long long>(inOptions.seconds * 1000));
    std::size_t next = 0;
    while (std::chrono::steady_clock::now() < end) {
        std::uniform_int_distribution<int> length(1'000, 3'500);
        runFault(fleet, order[next++ % order.size()], random,
                 std::chrono::milliseconds(length(random)));
        std::this_thread::sleep_for(std::chrono::milliseconds(length(random) / 4));
    }
    return fleet.finish() ? 0 : 1;
}

} // namespace

int main(int inCount, char **inArguments)
{
    chaos_options options;
    standins::flag_parser flags("injects faults from a seed and checks the guarantees");
    flags.add("binaries", "build folder", options.binaries);
    flags.add("folder", "folder for settings, logs and ledgers", options.folder);
    flags.add("seed", "seed of faults and calls", options.seed);
    flags.add("seconds", "time over which calls arrive and faults begin", options.seconds);
    flags.add("calls-per-second", "arrivals", options.callsPerSecond);
    flags.add("break", "guard to switch off: claim, fence, shares or withdraw",
              options.brokenGuard);
    if (!flags.parse(inCount, inArguments))
        return 2;
    return run(options);
}
