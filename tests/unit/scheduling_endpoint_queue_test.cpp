// Guards against an account that gets more than its share of an endpoint, prompt requests that wait
// behind patient ones, patient requests that never start, and requests that block others while
// their adapter is not resident.

#include "corneltally/scheduling/endpoint_queue.h"

#include <map>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using scheduling::endpoint_queue;
using scheduling::queued_request;

namespace {

const core::time_point cStart(1000s);

struct queue_fixture
{
    endpoint_queue queue;
    core::time_point now = cStart;
    int nextId = 0;

    explicit queue_fixture(scheduling::queue_options inOptions = {})
        : queue(inOptions)
    { }

    std::string add(const std::string &inAccount, double inTokens = 100, bool inPrompt = true,
                    const std::string &inAdapter = "a@1", double inWeight = 1)
    {
        std::string id("r");
        id.append(std::to_string(nextId++));
        REQUIRE(queue.push({.requestId = id,
                            .account = inAccount,
                            .weight = inWeight,
                            .adapter = inAdapter,
                            .tokens = inTokens,
                            .prompt = inPrompt,
                            .deadline = now + 60s},
                           now));
        return id;
    }

    std::optional<queued_request> pop()
    {
        return queue.pop([](const queued_request &) { return true; }, now);
    }
};

} // namespace

TEST_CASE("accounts get tokens in proportion to their weights, regardless of what they send")
{
    queue_fixture fixture({.runSlots = 1, .quantumTokens = 0});
    for (int round = 0; round < 150; ++round)
        fixture.add("greedy", 300);
    for (int round = 0; round < 60; ++round)
        fixture.add("small", 100, true, "a@1", 1);
    for (int round = 0; round < 40; ++round)
        fixture.add("large", 200, true, "a@1", 2);
    std::map<std::string, double> served;
    for (int round = 0; round < 60; ++round) {
        const auto request = fixture.pop();
        REQUIRE(request.has_value());
        served[request->account] += request->tokens;
        fixture.queue.ended(request->requestId, request->tokens);
    }
    CHECK(served["large"] / served["small"] == Approx(2).margin(0.2));
    CHECK(served["greedy"] / served["small"] == Approx(1).margin(0.25));
}

TEST_CASE("an account gets no credit for idle time")
{
    queue_fixture fixture({.runSlots = 1, .quantumTokens = 0});
    for (int round = 0; round < 100; ++round) {
        fixture.add("busy", 100);
        fixture.queue.ended(fixture.pop()->requestId, 100);
    }
    for (int round = 0; round < 4; ++round) {
        fixture.add("busy", 100);
        fixture.add("idle", 100);
    }
    int idle = 0;
    for (int round = 0; round < 4; ++round) {
        const auto request = fixture.pop();
        idle += request->account == "idle" ? 1 : 0;
        fixture.queue.ended(request->requestId, 100);
    }
    CHECK(idle <= 3);
}

TEST_CASE("reserved tokens that were not generated are credited to the account")
{
    queue_fixture fixture({.runSlots = 1, .quantumTokens = 0});
    for (int round = 0; round < 20; ++round) {
        fixture.add("reserves", 1000);
        fixture.add("exact", 100);
    }
    int reserves = 0;
    for (int round = 0; round < 20; ++round) {
        const auto request = fixture.pop();
        reserves += request->account == "reserves" ? 1 : 0;
        fixture.queue.ended(request->requestId, 100);
    }
    CHECK(reserves == Approx(10).margin(1));
}

TEST_CASE("prompt requests start first, but a quarter of the slots goes to patient ones")
{
    queue_fixture fixture({.runSlots = 8});
    for (int round = 0; round < 20; ++round)
        fixture.add("a", 100, false);
    for (int round = 0; round < 20; ++round)
        fixture.add("a", 100, true);
    int patient = 0;
    for (int slot = 0; slot < 8; ++slot)
        patient += fixture.pop()->prompt ? 0 : 1;
    CHECK(patient == 2);
    CHECK_FALSE(fixture.pop().has_value());
}

TEST_CASE("with fewer than four slots a patient request waits for prompt ones up to a limit")
{
    queue_fixture fixture({.runSlots = 2, .patientMaxWait = 20s});
    const std::string patient = fixture.add("a", 100, false);
    for (int second = 0; second < 19; ++second) {
        fixture.add("a");
        const auto request = fixture.pop();
        REQUIRE(request.has_value());
        CHECK(request->prompt);
        fixture.queue.ended(request->requestId, 100);
        fixture.now += 1s;
    }
    fixture.now += 2s;
    fixture.add("a");
    CHECK(fixture.pop()->requestId == patient);
}

TEST_CASE("patient requests leave a slot free until no prompt request arrives for promptReserve")
{
    queue_fixture fixture({.runSlots = 4, .promptReserve = 5s});
    fixture.add("a");
    fixture.queue.ended(fixture.pop()->requestId, 100);
    for (int round = 0; round < 10; ++round)
        fixture.add("a", 100, false);
    for (int slot = 0; slot < 3; ++slot)
        REQUIRE(fixture.pop().has_value());
    CHECK_FALSE(fixture.pop().has_value());
    const std::string prompt = fixture.add("a");
    CHECK(fixture.pop()->requestId == prompt);
    fixture.queue.ended(prompt, 100);
    fixture.now += 6s;
    CHECK(fixture.pop().has_value());
}

TEST_CASE("a request whose adapter is not resident does not block others")
{
    queue_fixture fixture({.runSlots = 4});
    const std::string blocked = fixture.add("a", 100, true, "cold@1");
    const std::string other = fixture.add("a", 100, true, "warm@1");
    bool coldIsResident = false;
    const auto isEligible = [&](const queued_request &inRequest) {
        return inRequest.adapter == "warm@1" || coldIsResident;
    };
    CHECK(fixture.queue.pop(isEligible, fixture.now)->requestId == other);
    CHECK_FALSE(fixture.queue.pop(isEligible, fixture.now).has_value());
    CHECK(fixture.queue.runningCount() == 1);
    coldIsResident = true;
    CHECK(fixture.queue.pop(isEligible, fixture.now)->requestId == blocked);
}

TEST_CASE("a running adapter is preferred only within one quantum")
{
    queue_fixture fixture({.runSlots = 100, .quantumTokens = 500});
    fixture.add("a", 100, true, "running@1");
    REQUIRE(fixture.pop().has_value());
    const std::string other = fixture.add("b", 100, true, "other@1");
    for (int round = 0; round < 20; ++round)
        fixture.add("a", 100, true, "running@1");
    int before = 0;
    while (fixture.pop()->requestId != other)
        ++before;
    CHECK(before >= 3);
    CHECK(before <= 5);
}

TEST_CASE("requests of one account for another adapter are bypassed for at most one quantum")
{
    queue_fixture fixture({.runSlots = 100, .quantumTokens = 500});
    fixture.add("a", 100, true, "running@1");
    REQUIRE(fixture.pop().has_value());
    const std::string other = fixture.add("a", 100, true, "other@1");
    for (int round = 0; round < 20; ++round)
        fixture.add("a", 100, true, "running@1");
    int before = 0;
    while (fixture.pop()->requestId != other)
        ++before;
    CHECK(before == 5);
}

TEST_CASE("an account whose requests could not start catches up by a limited amount")
{
    queue_fixture fixture({.runSlots = 1, .quantumTokens = 100});
    for (int round = 0; round < 100; ++round)
        fixture.add("blocked", 100, true, "cold@1");
    for (int round = 0; round < 100; ++round) {
        fixture.add("other", 100, true, "warm@1");
        const auto request = fixture.queue.pop(
            [](const queued_request &inRequest) { return inRequest.adapter == "warm@1"; },
            fixture.now);
        fixture.queue.ended(request->requestId, 100);
    }
    for (int round = 0; round < 20; ++round)
        fixture.add("other", 100, true, "warm@1");
    int inRow = 0;
    while (true) {
        const auto request = fixture.pop();
        fixture.queue.ended(request->requestId, 100);
        if (request->account == "other")
            break;
        ++inRow;
    }
    CHECK(inRow <= 6);
}

TEST_CASE("the queue is bounded; cancelled and expired requests leave it")
{
    queue_fixture fixture({.runSlots = 1, .maxQueued = 3});
    const std::string first = fixture.add("a");
    fixture.now += 10s;
    fixture.add("a");
    fixture.add("b");
    CHECK_FALSE(fixture.queue.push({.requestId = "x", .account = "a"}, fixture.now));
    CHECK(fixture.queue.queuedTokens() == 300);
    CHECK(fixture.queue.remove("r1").has_value());
    CHECK_FALSE(fixture.queue.remove("r1").has_value());
    fixture.now = cStart + 60s;
    const auto expired = fixture.queue.takeExpired(fixture.now);
    REQUIRE(expired.size() == 1);
    CHECK(expired.front().requestId == first);
    CHECK(fixture.queue.queuedCount() == 1);
    CHECK(fixture.queue.takeAll().size() == 1);
    CHECK(fixture.queue.queuedCount() == 0);
}

TEST_CASE("demand orders adapters by waiting tokens, capped for each account, and by age")
{
    queue_fixture fixture({.runSlots = 1});
    for (int round = 0; round < 100; ++round)
        fixture.add("greedy", 1000, true, "greedy@1");
    for (int round = 0; round < 10; ++round) {
        fixture.add("b", 500, true, "shared@1");
        fixture.add("c", 500, true, "shared@1");
    }
    fixture.add("c", 100, true, "rare@1");
    auto demand = fixture.queue.demand(fixture.now);
    REQUIRE(demand.size() == 3);
    CHECK(demand[0].adapter == "shared@1");
    CHECK(demand[1].adapter == "greedy@1");
    CHECK(demand[1].tokens == 100'000);
    CHECK(demand[2].requests == 1);
}

TEST_CASE("running requests are counted by adapter until they end")
{
    queue_fixture fixture({.runSlots = 1});
    fixture.add("a", 100, true, "x@1");
    const auto request = fixture.pop();
    fixture.queue.startDirectly({.requestId = "resumed", .account = "b", .adapter = "x@1"},
                                fixture.now);
    CHECK(fixture.queue.runningOf("x@1") == 2);
    CHECK_FALSE(fixture.queue.hasFreeSlot());
    fixture.queue.ended(request->requestId, 50);
    fixture.queue.ended(request->requestId, 50);
    CHECK(fixture.queue.runningOf("x@1") == 1);
    fixture.queue.ended("resumed", 0);
    CHECK(fixture.queue.runningOf("x@1") == 0);
}
