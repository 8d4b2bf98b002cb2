// Guards against avoidable waits of requests: behind a backlog, for a load while another engine has
// the adapter, or at an endpoint that is leaving or was replaced.

#include "corneltally/engines/endpoint_choice.h"
#include "corneltally/engines/endpoint_table.h"

#include <set>
#include <string>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using engines::endpoint_choice;

namespace {

const core::time_point cStart{1h};

engines::endpoint_entry engineEntry(const std::string &inId, std::uint64_t inStartedMs = 1)
{
    return {.id = inId,
            .service = "models",
            .address = {"10.0.0.1", 80},
            .failureDomain = "north",
            .capacity = 64,
            .startedMs = inStartedMs,
            .models = {{.name = "base"}}};
}

struct three_engines
{
    engines::endpoint_table endpoints;

    three_engines()
    {
        for (const std::string id : {"e1", "e2", "e3"}) {
            endpoints.apply(engineEntry(id), cStart);
            report(id, {});
        }
    }

    void report(const std::string &inId, engines::residency inAdapters)
    {
        endpoints.applyHolderReport(inId, 1, "holder", true, std::move(inAdapters), {"base"}, 0,
                                    cStart);
    }

    std::optional<endpoint_choice> choose(const engines::work_request &inRequest)
    {
        return engines::chooseEndpoint(endpoints, inRequest, "north", {}, cStart);
    }
};

engines::work_request adapterRequest(double inPromptTokens = 4000)
{
    return {.service = "models",
            .engineMemory = 250'000,
            .engineBatch = 64,
            .adapterSlots = 2,
            .model = "base",
            .adapter = "a1",
            .promptTokens = inPromptTokens};
}

} // namespace

TEST_CASE("an engine with the resident adapter is preferred to one that has to load it")
{
    three_engines fleet;
    fleet.report("e2", {.resident = {{"base/a1", 1}}});
    const auto choice = fleet.choose(adapterRequest());
    REQUIRE(choice);
    CHECK(choice->endpoint == "e2");
    CHECK(choice->state == endpoint_choice::readiness::ready);
}

TEST_CASE("a long backlog costs more than a load elsewhere")
{
    three_engines fleet;
    fleet.report("e2", {.resident = {{"base/a1", 1}}});
    fleet.endpoints.find("e2")->own.promptTokens = 100'000;
    const auto choice = fleet.choose(adapterRequest());
    REQUIRE(choice);
    CHECK(choice->endpoint != "e2");
    CHECK(choice->state == endpoint_choice::readiness::to_load);
}

TEST_CASE("the load reported by other instances counts until the report is too old")
{
    three_engines fleet;
    fleet.report("e2", {.resident = {{"base/a1", 1}}});
    fleet.endpoints.applyPeerLoads(
        "other", {{engines::digestOf("e2"), {.requests = 20, .promptTokens = 100'000}}}, {},
        cStart);
    CHECK(fleet.choose(adapterRequest())->endpoint != "e2");
    CHECK(engines::chooseEndpoint(fleet.endpoints, adapterRequest(), "north", {}, cStart + 3s)
              ->endpoint
          == "e2");
}

// Guards against loads and running adapters that are counted twice or stay after their reports are
// replaced, since only their sums over the instances are kept.
TEST_CASE("the reports of many instances add up, are replaced, and expire one by one")
{
    three_engines fleet;
    const auto e1 = engines::digestOf("e1");
    const auto a1 = engines::digestOf("e1", "base/a1");
    fleet.report("e1", {.resident = {{"base/a1", 1}, {"base/a2", 1}}});
    const engines::endpoint &target = *fleet.endpoints.find("e1");
    CHECK(fleet.endpoints.openSlots(target, 2) == 2);
    for (int instance = 0; instance < 78; ++instance)
        fleet.endpoints.applyPeerLoads("i" + std::to_string(instance), {{e1, {2, 10.1, 20.2}}},
                                       {a1}, cStart + instance * 10ms);
    CHECK(fleet.endpoints.totalLoad(target).requests == 156);
    CHECK(fleet.endpoints.openSlots(target, 2) == 1);
    // The instance's own request on the same adapter takes no further slot.
    fleet.endpoints.find("e1")->ownRunning["base/a1"] = 1;
    CHECK(fleet.endpoints.openSlots(target, 2) == 1);
    fleet.endpoints.find("e1")->ownRunning.clear();
    fleet.endpoints.applyPeerLoads("i0", {}, {}, cStart + 780ms);
    CHECK(fleet.endpoints.totalLoad(target).requests == 154);
    CHECK(fleet.endpoints.totalLoad(target).promptTokens == Approx(77 * 10.1));
    fleet.endpoints.expirePeerLoads(cStart + engines::endpoint_table::sMaxLoadAge + 395ms);
    CHECK(fleet.endpoints.totalLoad(target).requests == 2 * 38);
    fleet.endpoints.expirePeerLoads(cStart + 10s);
    CHECK(fleet.endpoints.totalLoad(target) == engines::endpoint_load{});
    CHECK(fleet.endpoints.openSlots(target, 2) == 2);
}

TEST_CASE("an older version of the adapter does not serve")
{
    three_engines fleet;
    fleet.report("e2", {.resident = {{"base/a1", 1}}});
    fleet.report("e3", {.resident = {{"base/a1", 2}}});
    engines::work_request request = adapterRequest();
    request.version = 2;
    CHECK(fleet.choose(request)->endpoint == "e3");
}

TEST_CASE("engines whose holder may not order get only requests for resident adapters")
{
    three_engines fleet;
    for (const std::string id : {"e1", "e2", "e3"})
        fleet.endpoints.find(id)->holderReady = false;
    CHECK_FALSE(fleet.choose(adapterRequest()));
    fleet.endpoints.find("e1")->adapters.resident["base/a1"] = 1;
    CHECK(fleet.choose(adapterRequest())->endpoint == "e1");
}

// Pattern: a third of the instances is cut off from the others. Requests that wait for loads at
// engines whose holder is unreachable lose most of their time.
TEST_CASE("engines whose holder is not live get no loads until a holder reports again")
{
    three_engines fleet;
    fleet.endpoints.applyHolderReport("e1", 1, "other", true, {.resident = {{"base/a9", 1}}},
                                      {"base"}, 0, cStart);
    fleet.endpoints.setLiveHolders({"other"});
    const auto choice = fleet.choose(adapterRequest());
    REQUIRE(choice);
    CHECK(choice->endpoint == "e1");
    fleet.endpoints.setLiveHolders({});
    CHECK_FALSE(fleet.choose(adapterRequest()));
    // Resident adapters still serve requests.
    engines::work_request resident = adapterRequest();
    resident.adapter = "a9";
    CHECK(fleet.choose(resident)->endpoint == "e1");
    fleet.report("e2", {});
    CHECK(fleet.choose(adapterRequest())->endpoint == "e2");
}

TEST_CASE("leaving and removed endpoints get no requests, expired ones stay usable for a while")
{
    three_engines fleet;
    engines::endpoint_entry leaving = engineEntry("e1");
    leaving.leaving = true;
    fleet.endpoints.apply(leaving, cStart);
    fleet.endpoints.remove("e2", false, cStart);
    fleet.endpoints.remove("e3", true, cStart);
    const auto usable = [&](const std::string &inId, core::duration inLater) {
        return fleet.endpoints.usable(*fleet.endpoints.find(inId), cStart + inLater);
    };
    CHECK_FALSE(usable("e1", 0s));
    CHECK_FALSE(usable("e2", 0s));
    CHECK(usable("e3", 2s));
    CHECK_FALSE(usable("e3", 3s));
}

TEST_CASE("a restart under the same id drops the former state")
{
    three_engines fleet;
    fleet.report("e1", {.resident = {{"base/a1", 1}}});
    fleet.endpoints.find("e1")->own.requests = 5;
    CHECK(fleet.endpoints.apply(engineEntry("e1", 2), cStart));
    CHECK(fleet.endpoints.find("e1")->adapters.resident.empty());
    CHECK(fleet.endpoints.find("e1")->own.requests == 0);
    // The holder still reports the former start.
    fleet.report("e1", {.resident = {{"base/a1", 1}}});
    CHECK(fleet.endpoints.find("e1")->adapters.resident.empty());
}

TEST_CASE("a failing endpoint is excluded unless most endpoints fail")
{
    three_engines fleet;
    const auto fail = [&](const std::string &inId) {
        for (int failure = 0; failure < 3; ++failure) {
            fleet.endpoints.find(inId)->health.started();
            fleet.endpoints.find(inId)->health.failed(cStart);
        }
    };
    for (const std::string id : {"e1", "e2", "e3"})
        fleet.report(id, {.resident = {{"base/a1", 1}}});
    fleet.endpoints.find("e2")->own.promptTokens = 50'000;
    fleet.endpoints.find("e3")->own.promptTokens = 50'000;
    CHECK(fleet.choose(adapterRequest())->endpoint == "e1");
    fail("e1");
    CHECK(fleet.choose(adapterRequest())->endpoint != "e1");
    // The health of endpoints where the request may not run is of no account.
    engines::work_request restricted = adapterRequest();
    restricted.domains = routing::allowed_domains({"south"});
    fleet.endpoints.find("e1")->entry.failureDomain = "south";
    CHECK(fleet.choose(restricted)->endpoint == "e1");
    fail("e2");
    fail("e3");
    CHECK(fleet.choose(adapterRequest()));
}

TEST_CASE("a plain service's request stays in its failure domain while there is room")
{
    engines::endpoint_table endpoints;
    for (const auto &[id, domain] :
         {std::pair("s1", "north"), std::pair("s2", "south"), std::pair("s3", "west")})
        endpoints.apply({.id = id,
                         .service = "shop",
                         .address = {"10.0.0.1", 80},
                         .failureDomain = domain,
                         .capacity = 4,
                         .startedMs = 1},
                        cStart);
    const engines::work_request request{.service = "shop"};
    CHECK(engines::chooseEndpoint(endpoints, request, "south", {}, cStart)->endpoint == "s2");
    endpoints.find("s2")->own.requests = 6;
    CHECK(engines::chooseEndpoint(endpoints, request, "south", {}, cStart)->endpoint != "s2");
}

namespace {

/// Engines that all have the adapter, so that only their prompt tokens differ.
struct engines_with_adapter
{
    static constexpr int sCount = 12;
    engines::endpoint_table endpoints;

    engines_with_adapter()
    {
        for (int index = 0; index < sCount; ++index) {
            const std::string id = "e" + std::to_string(index);
            endpoints.apply(engineEntry(id), cStart);
            endpoints.applyHolderReport(id, 1, "holder", true, {.resident = {{"base/a1", 1}}},
                                        {"base"}, 0, cStart);
        }
    }

    /// Sends requests one after the other and returns the engines that were chosen.
    std::set<std::string> send(const engines::work_request &inWork, int inRequests)
    {
        std::set<std::string> used;
        for (int request = 0; request < inRequests; ++request) {
            const auto choice = engines::chooseEndpoint(endpoints, inWork, "north", {}, cStart);
            REQUIRE(choice);
            used.insert(choice->endpoint);
            engines::endpoint &target = *endpoints.find(choice->endpoint);
            target.own.promptTokens += inWork.promptTokens;
            ++target.own.requests;
        }
        return used;
    }
};

} // namespace

// Pattern: a third of the engines is 1.3 times slower, as on a deployment whose engines differ in
// speed. While they prefill a prompt, each event of the answers in progress is later than the
// routes allow, so that all long answers there are late.
TEST_CASE("long answers avoid engines whose pauses are longer than their route allows")
{
    engines_with_adapter fleet;
    const std::set<std::string> slow{"e1", "e4", "e7", "e10"};
    for (int answer = 0; answer < 10; ++answer) {
        for (int index = 0; index < engines_with_adapter::sCount; ++index) {
            const std::string id = "e" + std::to_string(index);
            fleet.endpoints.recordPause(engines::digestOf(id), slow.contains(id) ? 455ms : 350ms);
        }
    }
    fleet.endpoints.prune(cStart);
    CHECK(fleet.endpoints.slowness(*fleet.endpoints.find("e1")) == Approx(1.3));
    CHECK(fleet.endpoints.slowness(*fleet.endpoints.find("e2")) == Approx(1.0));
    engines::work_request chat = adapterRequest(800);
    chat.expectedTokens = 290;
    chat.targetPause = 400ms;
    for (const std::string &engine : fleet.send(chat, 60))
        CHECK_FALSE(slow.contains(engine));
    // If the slow engines meet the bound too, all engines serve.
    chat.targetPause = 500ms;
    CHECK(fleet.send(chat, 600).size() == engines_with_adapter::sCount);
}

TEST_CASE("pauses from other causes and of unknown endpoints are ignored")
{
    engines_with_adapter fleet;
    fleet.endpoints.recordPause(engines::digestOf("e1"), 40ms);
    fleet.endpoints.recordPause(engines::digestOf("e1"), 3s);
    fleet.endpoints.recordPause(engines::digestOf("nobody"), 400ms);
    fleet.endpoints.prune(cStart);
    CHECK(fleet.endpoints.find("e1")->prefillPause == 0ms);
    CHECK(fleet.endpoints.slowness(*fleet.endpoints.find("e1")) == 1);
}

TEST_CASE("the cost to other requests is not part of the estimated wait")
{
    engines_with_adapter fleet;
    for (int index = 0; index < engines_with_adapter::sCount; ++index) {
        const std::string id = "e" + std::to_string(index);
        fleet.endpoints.recordPause(engines::digestOf(id), 700ms);
        fleet.endpoints.find(id)->own.requests = 30;
    }
    engines::work_request request = adapterRequest(800);
    request.expectedTokens = 290;
    request.targetPause = 400ms;
    const auto choice = engines::chooseEndpoint(fleet.endpoints, request, "north", {}, cStart);
    REQUIRE(choice);
    CHECK(choice->estimate < 100ms);
}

// Load: prompts at a service whose engines differ in speed by a factor of two. Without the learned
// speed all engines count as equal, and the prompt waits behind the backlog of a slow one.
TEST_CASE("a prompt goes to the engine that will have read it first")
{
    three_engines fleet;
    for (const std::string id : {"e1", "e2", "e3"})
        fleet.report(id, {.resident = {{"base/a1", 1}}});
    for (int answer = 0; answer < 8; ++answer) {
        fleet.endpoints.recordInterval(engines::digestOf("e1"), 50ms, cStart);
        fleet.endpoints.recordInterval(engines::digestOf("e2"), 25ms, cStart);
        fleet.endpoints.recordInterval(engines::digestOf("e3"), 50ms, cStart);
    }
    fleet.endpoints.prune(cStart);
    fleet.endpoints.find("e2")->own.promptTokens = 6000;
    fleet.endpoints.find("e3")->own.promptTokens = 6000;
    fleet.endpoints.find("e1")->own.promptTokens = 4000;
    const engines::choice_options learned{.learnsSpeed = true};
    const auto choose = [&](const engines::choice_options &inOptions) {
        return *engines::chooseEndpoint(fleet.endpoints, adapterRequest(10'000), "north", inOptions,
                                        cStart);
    };
    CHECK(choose({}).endpoint == "e1");
    CHECK(choose(learned).endpoint == "e2");
    CHECK(choose(learned).estimate < choose({}).estimate);

    // Nothing is known of a restarted engine, which counts as typical.
    fleet.endpoints.apply(engineEntry("e2", 2), cStart);
    CHECK(fleet.endpoints.relativeTime(*fleet.endpoints.find("e2"), cStart) == 1);
}

// Load: chats beside long prompts, at a service most of whose engines pause for longer than the
// chats allow while they prefill. Avoiding these engines altogether leaves their room unused.
TEST_CASE("a long answer avoids a pausing engine for the prompts that wait there")
{
    three_engines fleet;
    for (const std::string id : {"e1", "e2"}) {
        fleet.report(id, {.resident = {{"base/a1", 1}}});
        fleet.endpoints.recordPause(engines::digestOf(id), id == "e1" ? 450ms : 210ms);
    }
    engines::work_request chat = adapterRequest(800);
    chat.answerTokens = 300;
    chat.targetPause = 300ms;
    // The engine without long pauses has a backlog of 250 ms.
    fleet.endpoints.find("e2")->own.promptTokens = 9'000;
    const auto choose = [&](const engines::choice_options &inOptions) {
        return engines::chooseEndpoint(fleet.endpoints, chat, "north", inOptions, cStart)->endpoint;
    };
    const engines::choice_options learned{.learnsSpeed = true};
    CHECK(choose({}) == "e2");
    CHECK(choose(learned) == "e1");
    fleet.endpoints.find("e1")->own.promptTokens = 4'000;
    CHECK(choose(learned) == "e2");
}
