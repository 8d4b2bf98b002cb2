// Guards against an account that spends more than rate x time + burst over all instances while
// instances lend shares, die, pause and are cut off.

#include "tests/promise/promise_fleet.h"

#include <cstdio>
#include <thread>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace promise;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr double cRate = 300;
constexpr double cBurst = 3'000;
const std::string cAccount = "ferry";

std::size_t refusedCalls(const promise_fleet &inFleet)
{
    std::size_t count = 0;
    for (const json &fact : inFleet.facts("load.ledger", "call")) {
        if (fact.value("account", std::string()) == cAccount && fact.value("status", 0) == 429)
            ++count;
    }
    return count;
}

std::size_t servedCalls(const promise_fleet &inFleet)
{
    std::size_t count = 0;
    for (const json &fact : inFleet.facts("load.ledger", "call")) {
        if (fact.value("account", std::string()) == cAccount
            && fact.value("outcome", std::string()) == "completed")
            ++count;
    }
    return count;
}

} // namespace

TEST_CASE("P06_rate_of_an_account_at_four_times_its_rate_during_faults")
{
    promise_fleet fleet("P06_rate",
                        {.engines = 6,
                         .applications = 1,
                         .enginesWithoutFencing = 0,
                         .adapters = 10,
                         .platformArguments = {"--loads-per-second", "20", "--load-burst", "20"}});
    REQUIRE(fleet.publish({"--set", "/accounts/" + cAccount, "rate_tokens_per_second=300", "--set",
                           "/accounts/" + cAccount, "burst_tokens=3000"})
            == 0);
    const auto version = fleet.dump("entry-1", "settings_sync").value("version", 0LL);
    REQUIRE(waitFor([&] {
        for (const std::string &name : fleet.processes().names("entry-")) {
            if (fleet.dump(name, "settings_sync").value("in_force", 0LL) < version)
                return false;
        }
        return true;
    }));
    // About 230 tokens a call: six calls a second are more than four times the rate.
    const load_plan plan{.callsPerSecond = 12,
                         .seconds = 20,
                         .drainSeconds = 15,
                         .heavyAccount = cAccount,
                         .heavyFactor = 5};
    standins::child_process load = fleet.startLoad(plan);
    inject(cAccount + " sends more than four times its rate to four instances");
    std::this_thread::sleep_for(4s);
    fleet.process("entry-1").kill();
    inject("entry-1 killed");
    std::this_thread::sleep_for(1s);
    REQUIRE(fleet.processes().restart("entry-1"));
    inject("entry-1 restarted");
    std::this_thread::sleep_for(3s);
    fleet.process("entry-3").pause();
    inject("entry-3 paused");
    std::this_thread::sleep_for(3s);
    fleet.process("entry-3").resume();
    inject("entry-3 resumed");
    std::this_thread::sleep_for(2s);
    REQUIRE(fleet.processes().cutDomain(fleet.processes().domainOf("entry-2")));
    inject("failure domain of entry-2 cut off");
    std::this_thread::sleep_for(4s);
    REQUIRE(fleet.processes().healAll());
    inject("cut healed");
    fleet.finishLoad(load, plan);

    standins::ledger_checker checker;
    for (const std::string &file : fleet.processes().ledgerFiles())
        checker.addFile(file);
    checker.addFile(fleet.processes().fileIn("load.ledger"));
    checker.addLine(
        json{{"kind", "account_limit"}, {"account", cAccount}, {"rate", cRate}, {"burst", cBurst}}
            .dump());
    const auto exceeded = messagesOf(checker.check(), "P6");
    for (const std::string &message : exceeded)
        std::printf("violation of P6: %s\n", message.c_str());
    CHECK(exceeded.empty());
    const std::size_t refused = refusedCalls(fleet);
    const std::size_t served = servedCalls(fleet);
    std::printf("%s: %zu calls served, %zu refused with 429\n", cAccount.c_str(), served, refused);
    // The account was limited, and it was served.
    CHECK(refused > 10);
    CHECK(served > 5);
}
