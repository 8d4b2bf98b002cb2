// Guards against unloading an adapter that has runs or queued requests, against thrashing, against
// repeated loads without back-off after failures, and against reports that are older than commands.

#include "corneltally/scheduling/adapter_slots.h"

#include <set>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using scheduling::adapter_demand;
using scheduling::adapter_slots;
using scheduling::slot_decision;

namespace {

struct slots_fixture
{
    adapter_slots slots{{.slots = 2}};
    core::time_point now{1000s};
    std::set<std::string> inUse;
    std::vector<adapter_demand> demand;
    double nextTag = 0;

    void addDemand(const std::string &inAdapter)
    {
        demand.push_back({.adapter = inAdapter,
                          .requests = 1,
                          .tokens = 100,
                          .oldest = now,
                          .prompt = true,
                          .startTag = nextTag,
                          .urgency = 100});
        nextTag += 100;
    }

    void load(const std::string &inAdapter)
    {
        slots.loadStarted(inAdapter, now);
        slots.loadEnded(inAdapter, true, now);
    }

    slot_decision decide()
    {
        return slots.decide(
            demand, [this](const std::string &inName) { return inUse.contains(inName); }, now);
    }
};

const slot_decision cNone;

slot_decision load(const std::string &inName)
{
    return {slot_decision::action::load, inName, inName};
}

slot_decision unload(const std::string &inName)
{
    return {slot_decision::action::unload, inName, "z"};
}

} // namespace

TEST_CASE("the most urgent missing adapter is loaded into a free slot")
{
    slots_fixture fixture;
    CHECK(fixture.decide() == cNone);
    fixture.addDemand("x");
    fixture.addDemand("y");
    CHECK(fixture.decide() == load("x"));
    fixture.slots.loadStarted("x", fixture.now);
    CHECK(fixture.decide() == load("y"));
    fixture.slots.loadStarted("y", fixture.now);
    CHECK(fixture.decide() == cNone);
}

TEST_CASE("an adapter with a run, with queued demand or loaded recently is not unloaded")
{
    slots_fixture fixture;
    fixture.load("x");
    fixture.load("y");
    fixture.addDemand("z");
    CHECK(fixture.decide() == cNone);
    fixture.now += 2s;
    fixture.inUse = {"x", "y"};
    CHECK(fixture.decide() == cNone);
    fixture.inUse = {"x"};
    CHECK(fixture.decide() == unload("y"));
    // The queue would start this request before the one that waits for a slot.
    fixture.addDemand("y");
    fixture.demand.back().startTag = -1;
    CHECK(fixture.decide() == cNone);
    fixture.demand.pop_back();
    CHECK(fixture.decide() == unload("y"));
    fixture.slots.unloadStarted("y");
    CHECK(fixture.decide() == cNone);
    fixture.slots.unloadEnded("y", true, fixture.now);
    CHECK(fixture.decide() == load("z"));
}

TEST_CASE("the victim is the adapter with the lowest decayed popularity")
{
    slots_fixture fixture;
    fixture.slots.adapterRequested("x", 5000, fixture.now);
    fixture.load("x");
    fixture.load("y");
    fixture.now += 300s;
    fixture.slots.adapterRequested("y", 1000, fixture.now);
    fixture.addDemand("z");
    CHECK(fixture.slots.popularity("x", fixture.now) == Approx(5000.0 / 32));
    CHECK(fixture.decide() == unload("x"));
}

TEST_CASE("a failed load is repeated after a back-off and does not hold up other adapters")
{
    slots_fixture fixture;
    fixture.addDemand("bad");
    core::duration previous{};
    for (int failure = 0; failure < 10; ++failure) {
        REQUIRE(fixture.decide() == load("bad"));
        fixture.slots.loadStarted("bad", fixture.now);
        fixture.slots.loadEnded("bad", false, fixture.now);
        CHECK(fixture.decide() == cNone);
        const core::time_point failed = fixture.now;
        while (fixture.decide() == cNone)
            fixture.now += 100ms;
        CHECK(fixture.now - failed >= previous);
        CHECK(fixture.now - failed <= 30s);
        previous = fixture.now - failed;
    }
    CHECK(previous == 30s);
    fixture.slots.loadStarted("bad", fixture.now);
    fixture.slots.loadEnded("bad", false, fixture.now);
    fixture.addDemand("good");
    CHECK(fixture.decide() == load("good"));
}

TEST_CASE("an adapter that is always in use is retired for requests ahead in the queue")
{
    slots_fixture fixture;
    fixture.slots.adapterRequested("x", 1000, fixture.now);
    fixture.load("x");
    fixture.load("y");
    fixture.inUse = {"x", "y"};
    fixture.addDemand("x");
    fixture.addDemand("z");
    fixture.addDemand("y");
    fixture.now += 900ms;
    CHECK(fixture.decide() == cNone);
    CHECK_FALSE(fixture.slots.isRetiring("y"));
    fixture.now += 1200ms;
    CHECK(fixture.decide() == cNone);
    CHECK(fixture.slots.isRetiring("y"));
    CHECK_FALSE(fixture.slots.isRetiring("x"));
    CHECK_FALSE(fixture.slots.mayStart("y"));
    // A retiring adapter is unloaded only after its runs have ended.
    CHECK(fixture.decide() == cNone);
    fixture.inUse = {"x"};
    CHECK(fixture.decide() == unload("y"));
}

TEST_CASE("no adapter is retired for later requests; retirement ends with the waiting request")
{
    slots_fixture fixture;
    fixture.load("x");
    fixture.load("y");
    fixture.inUse = {"x", "y"};
    fixture.addDemand("x");
    fixture.addDemand("y");
    fixture.addDemand("z");
    fixture.now += 10s;
    CHECK(fixture.decide() == cNone);
    CHECK(fixture.slots.mayStart("x"));
    CHECK(fixture.slots.mayStart("y"));
    fixture.demand[2].startTag = 50;
    CHECK(fixture.decide() == cNone);
    CHECK(fixture.slots.isRetiring("y"));
    fixture.demand.pop_back();
    CHECK(fixture.decide() == cNone);
    CHECK(fixture.slots.mayStart("y"));
}

TEST_CASE("a report of the state before a command does not undo the command")
{
    slots_fixture fixture;
    const std::vector<std::string> old = {"x"};
    fixture.slots.adaptersReported(old, {}, fixture.now, fixture.now);
    CHECK(fixture.slots.stateOf("x") == adapter_slots::state::resident);
    const core::time_point before = fixture.now;
    fixture.now += 5s;
    fixture.slots.unloadStarted("x");
    fixture.slots.unloadEnded("x", true, fixture.now);
    fixture.load("y");
    fixture.slots.adaptersReported(old, {}, before + 1s, fixture.now);
    CHECK(fixture.slots.stateOf("x") == adapter_slots::state::absent);
    CHECK(fixture.slots.stateOf("y") == adapter_slots::state::resident);
    const std::vector<std::string> current = {"z"};
    fixture.slots.adaptersReported(current, {}, fixture.now + 1s, fixture.now + 1s);
    CHECK(fixture.slots.stateOf("y") == adapter_slots::state::absent);
    CHECK(fixture.slots.stateOf("z") == adapter_slots::state::resident);
}

TEST_CASE("a load that an earlier owner started becomes resident by report")
{
    slots_fixture fixture;
    const std::vector<std::string> names = {"x"};
    fixture.slots.adaptersReported({}, names, fixture.now, fixture.now);
    CHECK(fixture.slots.stateOf("x") == adapter_slots::state::loading);
    CHECK_FALSE(fixture.slots.mayStart("x"));
    fixture.slots.adaptersReported(names, {}, fixture.now + 1s, fixture.now + 1s);
    CHECK(fixture.slots.mayStart("x"));
    fixture.slots.adapterMissing("x", fixture.now + 2s);
    CHECK(fixture.slots.stateOf("x") == adapter_slots::state::absent);
}
