// Guards against orders that load more adapters than an engine has slots, which makes it crash, and
// against orders that block the engine for other orders.

#include "corneltally/orders/engine_controller.h"

#include <optional>
#include <string>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using engines::engine_order;
using engines::order_outcome;

namespace {

const core::time_point cStart{1h};
const routing::engine_profile cProfile{.batch = 64,
                                       .memoryTokens = 250'000,
                                       .weightsMb = 66'000,
                                       .adapterSlots = 2,
                                       .models = {{"base", 65'000, 3000, 12}}};

struct controlled_engine
{
    orders::engine_controller controller{"e1", {}};
    core::time_point now = cStart;
    std::uint64_t accepted = 3;

    controlled_engine()
    {
        controller.configure({.id = "e1", .address = {"10.0.0.1", 80}, .startedMs = 1}, cProfile,
                             now);
        now += 1s;
        report({}, {});
    }

    void report(std::vector<engines::held_adapter> inResident,
                std::vector<engines::held_adapter> inArriving)
    {
        controller.reportStarted(now);
        controller.reportEnded(
            engines::engine_report{.startedMs = 1,
                                   .orders = accepted,
                                   .models = {{"base", 1, std::move(inResident)}},
                                   .arriving = {{"base", 1, std::move(inArriving)}}},
            now);
    }

    std::optional<engine_order> next()
    {
        controller.advance(now);
        return controller.nextOrder(now);
    }

    void end(const engine_order &inOrder, order_outcome inOutcome)
    {
        if (inOutcome == order_outcome::accepted || inOutcome == order_outcome::holds)
            ++accepted;
        controller.orderEnded(inOrder, inOutcome, now);
    }

    /// Lets all loads end and the minimum residence time of the adapters pass.
    void settle()
    {
        for (int step = 0; step < 2; ++step) {
            now += 300ms;
            controller.advance(now);
        }
    }

    void ask(const std::string &inAdapter)
    {
        controller.adapterRequested("base", inAdapter, 0, 1000, now);
    }

    void load(const std::string &inAdapter)
    {
        ask(inAdapter);
        const auto order = next();
        REQUIRE(order);
        CHECK(order->kind == engine_order::operation::load);
        CHECK(order->adapter == inAdapter);
        CHECK(order->expectedOrders == accepted);
        end(*order, order_outcome::accepted);
    }
};

} // namespace

TEST_CASE("an adapter is resident after its load time, and an arriving one takes a slot")
{
    controlled_engine engine;
    engine.load("a1");
    CHECK(engine.controller.adapters().resident.empty());
    CHECK(engine.controller.adapters().arriving.contains("base/a1"));
    engine.load("a2");
    engine.ask("a3");
    // Both slots are taken by arriving adapters.
    CHECK_FALSE(engine.next());
    engine.settle();
    const auto order = engine.next();
    REQUIRE(order);
    CHECK(order->kind == engine_order::operation::unload);
}

TEST_CASE("a refused request does not free the slot of an adapter whose load is late")
{
    controlled_engine engine;
    engine.load("a1");
    engine.load("a2");
    engine.now += 300ms;
    engine.next();
    REQUIRE(engine.controller.adapters().resident.size() == 2);
    engine.controller.adapterMissing("base/a1", engine.now);
    CHECK_FALSE(engine.controller.adapters().resident.contains("base/a1"));
    CHECK(engine.controller.adapters().arriving.contains("base/a1"));
    engine.ask("a3");
    const auto order = engine.next();
    CHECK((!order || order->kind == engine_order::operation::unload));
}

// Failure: a lagging report lists a resident adapter as arriving. It is unloaded, and counts as
// resident again when the load of the report would have ended. A new version of it is then loaded
// without a slot, and the engine crashes.
TEST_CASE("an adapter that a lagging report lists as arriving does not come back once unloaded")
{
    controlled_engine engine;
    engine.load("a1");
    engine.load("a2");
    engine.now += 300ms;
    engine.next();
    REQUIRE(engine.controller.adapters().resident.size() == 2);
    engine.now += 150ms;
    engine.report({}, {{"a1", 1}, {"a2", 1}});
    engine.ask("a3");
    std::optional<engine_order> order;
    for (int step = 0; step < 10 && !order; ++step) {
        engine.now += 10ms;
        order = engine.next();
    }
    REQUIRE(order);
    REQUIRE(order->kind == engine_order::operation::unload);
    const std::string unloaded = order->adapter;
    engine.end(*order, order_outcome::holds);
    order = engine.next();
    REQUIRE(order);
    REQUIRE(order->adapter == "a3");
    engine.end(*order, order_outcome::accepted);
    engine.now += 200ms;
    engine.controller.advance(engine.now);
    CHECK_FALSE(engine.controller.adapters().resident.contains("base/" + unloaded));
    engine.controller.versionNamed("base/" + unloaded, 2, engine.now);
    engine.ask(unloaded);
    order = engine.next();
    CHECK((!order || order->kind == engine_order::operation::unload));
}

TEST_CASE("an adapter in use is not unloaded")
{
    controlled_engine engine;
    engine.load("a1");
    engine.load("a2");
    engine.settle();
    engine.controller.usage().set("x", "base/a1", true, engine.now);
    engine.controller.usage().set("y", "base/a1", true, engine.now);
    engine.controller.usage().set("y", "base/a2", true, engine.now);
    engine.ask("a3");
    CHECK_FALSE(engine.next());
    engine.controller.usage().set("x", "base/a1", false, engine.now);
    CHECK_FALSE(engine.next());
    engine.controller.usage().set("y", "base/a2", false, engine.now);
    const auto order = engine.next();
    REQUIRE(order);
    CHECK(order->adapter == "a2");
    CHECK(order->kind == engine_order::operation::unload);
}

TEST_CASE("an outdated report of an instance does not keep an adapter resident")
{
    controlled_engine engine;
    engine.load("a1");
    engine.load("a2");
    engine.settle();
    engine.controller.usage().replace("x", {"base/a1", "base/a2"}, engine.now);
    engine.now += 2s;
    engine.ask("a3");
    CHECK(engine.next());
}

TEST_CASE("an order without answer is repeated with the same number before any other order")
{
    controlled_engine engine;
    engine.ask("a1");
    const auto first = engine.next();
    REQUIRE(first);
    engine.end(*first, order_outcome::unknown);
    engine.ask("a2");
    CHECK_FALSE(engine.next());
    engine.now += 200ms;
    const auto again = engine.next();
    REQUIRE(again);
    CHECK(*again == *first);
}

TEST_CASE("a repeated order that ends in a conflict is resolved only by a newer report")
{
    controlled_engine engine;
    engine.ask("a1");
    const auto order = engine.next();
    REQUIRE(order);
    engine.end(*order, order_outcome::unknown);
    engine.now += 200ms;
    REQUIRE(engine.next());
    engine.end(*order, order_outcome::conflict);
    CHECK_FALSE(engine.controller.inSync());
    // Nothing shows that the adapter is resident.
    engine.now += 300ms;
    engine.next();
    CHECK(engine.controller.adapters().resident.empty());
    CHECK(engine.controller.adapters().arriving.empty());
    ++engine.accepted;
    engine.now += 1s;
    engine.report({{"a1", 1}}, {});
    CHECK(engine.controller.inSync());
    CHECK(engine.controller.adapters().resident.contains("base/a1"));
}

TEST_CASE("a conflict means that another order is in progress, not that the load has begun")
{
    controlled_engine engine;
    engine.load("a1");
    engine.now += 300ms;
    engine.next();
    engine.controller.versionNamed("base/a1", 2, engine.now);
    engine.ask("a1");
    engine.now += 3s;
    const auto order = engine.next();
    REQUIRE(order);
    CHECK(order->version == 2);
    engine.end(*order, order_outcome::conflict);
    engine.now += 300ms;
    engine.next();
    const auto adapters = engine.controller.adapters();
    const auto found = adapters.resident.find("base/a1");
    CHECK((found == adapters.resident.end() || found->second < 2));
}

TEST_CASE("a wrong count of accepted orders is corrected by a report while orders are refused")
{
    controlled_engine engine;
    engine.load("a1");
    // The engine answered "accepted", but was already in the requested state: the count did not
    // advance.
    --engine.accepted;
    bool inStep = false;
    for (int step = 0; step < 20 && !inStep; ++step) {
        engine.now += 100ms;
        engine.ask("a2");
        if (const auto order = engine.next()) {
            inStep = order->expectedOrders == engine.accepted;
            engine.end(*order, inStep ? order_outcome::accepted : order_outcome::conflict);
        }
        if (engine.controller.reportDue(engine.now))
            engine.report({{"a1", 1}}, {});
    }
    CHECK(inStep);
}

TEST_CASE("a named version replaces an adapter in use only after the replacement delay")
{
    controlled_engine engine;
    engine.load("a1");
    engine.now += 300ms;
    engine.next();
    engine.controller.versionNamed("base/a1", 2, engine.now);
    const core::time_point named = engine.now;
    std::optional<engine_order> order;
    while (!order && engine.now < named + 5s) {
        engine.now += 100ms;
        engine.controller.usage().replace("x", {"base/a1"}, engine.now);
        engine.controller.adapterRequested("base", "a1", 2, 100, engine.now);
        order = engine.next();
    }
    REQUIRE(order);
    CHECK(order->version == 2);
    CHECK(engine.now - named >= 2500ms);
    CHECK(engine.now - named < 4s);
}

TEST_CASE("a recently unloaded adapter reloads faster")
{
    controlled_engine engine;
    engine.load("a1");
    engine.load("a2");
    engine.settle();
    engine.ask("a3");
    const auto unload = engine.next();
    REQUIRE(unload);
    engine.end(*unload, order_outcome::holds);
    const auto load = engine.next();
    REQUIRE(load);
    engine.end(*load, order_outcome::accepted);
    engine.now += 2s;
    engine.ask(unload->adapter);
    const auto room = engine.next();
    REQUIRE(room);
    engine.end(*room, order_outcome::holds);
    const auto back = engine.next();
    REQUIRE(back);
    CHECK(back->adapter == unload->adapter);
    engine.end(*back, order_outcome::accepted);
    const auto adapters = engine.controller.adapters();
    REQUIRE(adapters.arriving.contains("base/" + back->adapter));
    CHECK(adapters.arriving.at("base/" + back->adapter).readyAt - engine.now <= 25ms);
}

TEST_CASE("many loads in a large fleet do not count as an overload of the weight store")
{
    const auto loadTime = [](int inElsewhere, double inFullSpeedLoads) {
        controlled_engine engine;
        engine.controller.setLoadState({inElsewhere, inFullSpeedLoads, true});
        engine.load("a1");
        return engine.controller.adapters().arriving.at("base/a1").readyAt - engine.now;
    };
    CHECK(loadTime(0, 8) == 250ms);
    CHECK(loadTime(15, 8) == 500ms);
    CHECK(loadTime(25, 31.5) == 250ms);
    // A long estimate must not increase itself.
    CHECK(loadTime(10'000, 31.5) == 750ms);
}

// Load: many engines load at once after a crash, and each load takes 400 ms in place of 250.
// Requests that are sent at the usual time are refused by the engine, and their retries use up the
// budget.
TEST_CASE("requests wait longer for loads once loads turn out to be late")
{
    const auto refusedOf = [](bool inLearns) {
        orders::load_slowness slowness;
        int refused = 0;
        for (int load = 0; load < 40; ++load) {
            controlled_engine engine;
            engine.controller.setLoadState({.slowness = inLearns ? slowness.factor() : 1});
            engine.load("a1");
            const core::time_point resident = engine.now + 400ms;
            while (!engine.controller.adapters().resident.contains("base/a1")) {
                engine.now += 10ms;
                engine.controller.advance(engine.now);
            }
            if (engine.now < resident) {
                ++refused;
                engine.controller.adapterMissing("base/a1", engine.now);
            }
            engine.now += 2s;
            engine.controller.advance(engine.now);
            slowness.record(engine.controller.takeLoadOutcomes());
        }
        return refused;
    };
    CHECK(refusedOf(false) == 40);
    CHECK(refusedOf(true) <= 8);

    // Timely loads shorten the wait again, and an adapter that is missed much later counts as lost.
    orders::load_slowness slowness;
    slowness.record({.late = 10});
    CHECK(slowness.factor() == orders::load_slowness::sMax);
    slowness.record({.timely = 150});
    CHECK(slowness.factor() == 1);
    controlled_engine engine;
    engine.load("a1");
    engine.now += 2s;
    engine.controller.advance(engine.now);
    engine.controller.adapterMissing("base/a1", engine.now);
    CHECK(engine.controller.takeLoadOutcomes() == orders::load_outcomes{.timely = 1});
}

// Pattern: many requests for rare adapters at once. Loads beyond what the weight store serves at
// full speed slow down all loads, so that each request waits for the loads of all others.
TEST_CASE("loads from the weight store wait for earlier ones, loads of warm adapters do not")
{
    controlled_engine engine;
    engine.load("a1");
    engine.load("a2");
    engine.settle();
    engine.now += 2s;
    engine.ask("a3");
    const auto unload = engine.next();
    REQUIRE(unload);
    REQUIRE(unload->kind == engine_order::operation::unload);
    engine.end(*unload, order_outcome::holds);
    engine.controller.setLoadState({40, 31.5, false});
    CHECK_FALSE(engine.next());
    // A warm adapter needs nothing from the weight store and does not wait for one that does.
    engine.ask(unload->adapter);
    const auto back = engine.next();
    REQUIRE(back);
    CHECK(back->kind == engine_order::operation::load);
    CHECK(back->adapter == unload->adapter);
    engine.end(*back, order_outcome::accepted);
    engine.settle();
    engine.now += 1s;
    engine.ask("a3");
    // No slot is freed before the load may begin.
    CHECK_FALSE(engine.next());
    engine.controller.setLoadState({10, 31.5, true});
    CHECK(engine.next());
}

TEST_CASE("a restart of the engine resets adapters and order numbers")
{
    controlled_engine engine;
    engine.load("a1");
    engine.controller.configure({.id = "e1", .address = {"10.0.0.1", 80}, .startedMs = 2}, cProfile,
                                engine.now);
    CHECK_FALSE(engine.controller.inSync());
    CHECK(engine.controller.adapters().arriving.empty());
    engine.ask("a2");
    CHECK_FALSE(engine.next());
}
