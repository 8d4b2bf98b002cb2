// Guards against an adapter that is unloaded while it is in use and against runs on another adapter
// than the request names, when the owner of an endpoint dies, is paused past its leases, or loses
// its endpoint's state.

#include "tests/promise/promise_fleet.h"

#include <cstdio>
#include <set>
#include <thread>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace promise;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Few slots, many adapters and slow tokens: adapters change all the time while others run.
standins::fleet_options unloadFleet()
{
    return {.engines = 5,
            .applications = 1,
            .enginesWithoutFencing = 2,
            .adapters = 14,
            .adapterSlots = 2,
            .platformArguments
            = {"--loads-per-second", "20", "--load-burst", "20", "--load-ms", "100"},
            .engineArguments = {"--token-ms", "50"}};
}

load_plan unloadLoad(double inSeconds)
{
    return {.callsPerSecond = 8, .seconds = inSeconds, .drainSeconds = 20, .skew = 0.4};
}

/// Endpoints that an instance owns.
std::set<std::string> ownedBy(promise_fleet &ioFleet, const std::string &inEntry)
{
    std::set<std::string> owned;
    const json state = ioFleet.dump(inEntry, "owner");
    if (!state.contains("endpoints"))
        return owned;
    for (const json &entry : state.at("endpoints")) {
        if (entry.value("phase", std::string()) == "owning")
            owned.insert(entry.value("endpoint", std::string()));
    }
    return owned;
}

/// Which instance owns the most endpoints of a kind; empty if none owns any.
std::string ownerOf(promise_fleet &ioFleet, const std::string &inEndpoint)
{
    for (const std::string &name : ioFleet.processes().names("entry-")) {
        if (ownedBy(ioFleet, name).contains(inEndpoint))
            return name;
    }
    return {};
}

bool allOwned(promise_fleet &ioFleet)
{
    for (const std::string &name : ioFleet.processes().names("engine-")) {
        if (ownerOf(ioFleet, name).empty())
            return false;
    }
    return true;
}

std::size_t unloadCount(promise_fleet &ioFleet)
{
    std::size_t count = 0;
    for (const std::string &name : ioFleet.processes().names("engine-"))
        count += ioFleet.facts(name + ".ledger", "unload").size();
    return count;
}

void checkUnloads(promise_fleet &ioFleet, std::size_t inBefore)
{
    const auto found = ioFleet.violations();
    CHECK(messagesOf(found, "P1").empty());
    CHECK(messagesOf(found, "P2").empty());
    CHECK(messagesOf(found, "P7").empty());
    const std::size_t unloads = unloadCount(ioFleet);
    std::size_t refused = 0;
    for (const std::string &name : ioFleet.processes().names("engine-"))
        refused += ioFleet.facts(name + ".ledger", "stale_fence").size();
    std::printf("%zu unloads, %zu of them after the faults began; %zu commands refused for an old "
                "fencing number\n",
                unloads, unloads - inBefore, refused);
    // Without unloads after the faults the test shows nothing.
    CHECK(unloads > inBefore + 3);
}

} // namespace

TEST_CASE("P02_unload_and_P01_adapter_with_owner_killed_and_engine_restarted")
{
    promise_fleet fleet("P02_killed", unloadFleet());
    REQUIRE(waitFor([&] { return allOwned(fleet); }));
    const load_plan plan = unloadLoad(60);
    standins::child_process load = fleet.startLoad(plan);
    REQUIRE(waitFor([&] { return unloadCount(fleet) > 5; }));
    const std::size_t before = unloadCount(fleet);
    const std::string owner = ownerOf(fleet, "engine-1");
    REQUIRE_FALSE(owner.empty());
    fleet.process(owner).kill();
    inject(owner + " killed, the owner of engine-1");
    std::this_thread::sleep_for(4s);
    REQUIRE(fleet.processes().restart(owner));
    inject(owner + " restarted");
    std::this_thread::sleep_for(2s);
    REQUIRE(fleet.processes().restart("engine-2"));
    inject("engine-2 restarted without adapters");
    fleet.control("engine-3", "engine", R"({"fail_loads":4})");
    std::this_thread::sleep_for(2s);
    const std::string second = ownerOf(fleet, "engine-5");
    if (!second.empty()) {
        fleet.process(second).kill();
        inject(second + " killed, the owner of engine-5, which ignores fencing numbers");
        std::this_thread::sleep_for(3s);
        REQUIRE(fleet.processes().restart(second));
        inject(second + " restarted");
    }
    // The load ends once there were unloads whose adapters the faults made uncertain.
    CHECK(waitFor([&] { return unloadCount(fleet) > before + 3; }, 30s));
    load.kill();
    checkUnloads(fleet, before);
}

TEST_CASE("P02_unload_with_owner_paused_past_its_leases")
{
    promise_fleet fleet("P02_paused", unloadFleet());
    REQUIRE(waitFor([&] { return allOwned(fleet); }));
    const std::string owner = ownerOf(fleet, "engine-5");
    REQUIRE_FALSE(owner.empty());
    load_plan plan = unloadLoad(24);
    standins::child_process load = fleet.startLoad(plan);
    REQUIRE(waitFor([&] { return unloadCount(fleet) > 5; }));
    const std::size_t before = unloadCount(fleet);
    fleet.process(owner).pause();
    inject(owner + " paused, the owner of engine-5, which ignores fencing numbers");
    // A lease is 10 s long, and its successor waits 20% more.
    std::this_thread::sleep_for(13s);
    fleet.process(owner).resume();
    inject(owner + " resumed");
    fleet.finishLoad(load, plan);
    checkUnloads(fleet, before);
}
