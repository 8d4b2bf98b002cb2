// Guards against requests that a planned stop interrupts and against new work for leaving
// endpoints.

#include "tests/promise/promise_fleet.h"
#include "tests/promise/stream_watch.h"

#include <csignal>
#include <cstdio>
#include <memory>
#include <thread>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace promise;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

double lastSettingsTime(const promise_fleet &inFleet)
{
    double last = 0;
    for (const json &fact : inFleet.facts("platform.ledger", "append")) {
        if (fact.value("stream", std::string()) == "settings")
            last = std::max(last, fact.value("time", 0.0));
    }
    return last;
}

std::size_t runsAfter(const promise_fleet &inFleet, const std::string &inEndpoint,
                      const std::string &inKind, double inTime)
{
    std::size_t count = 0;
    for (const json &fact : inFleet.facts(inEndpoint + ".ledger", inKind))
        count += fact.value("time", 0.0) > inTime ? 1 : 0;
    return count;
}

} // namespace

TEST_CASE("P11_drain_under_load_interrupts_no_request")
{
    promise_fleet fleet(
        "P11_drain", {.engines = 4, .applications = 2, .enginesWithoutFencing = 1, .adapters = 4});
    for (const std::string &name : fleet.processes().names("engine-"))
        fleet.control(name, "engine", R"({"token_ms":40})");
    for (const std::string &name : fleet.processes().names("application-"))
        fleet.control(name, "faults", R"({"delay_ms":1500})");
    const std::string key = fleet.account(0).key;
    // Streams of the instance that stops and of another one, whose runs may be on its endpoints.
    std::vector<std::unique_ptr<stream_watch>> streams;
    for (int index = 0; index < 12; ++index) {
        const std::string entry = index % 2 == 0 ? "entry-1" : "entry-2";
        streams.push_back(std::make_unique<stream_watch>(
            caller_request{.address = fleet.callers(entry),
                           .path = "/v1/chat/completions",
                           .key = key,
                           .body = chatBody(index % 4, "drain-" + std::to_string(index), 100, true),
                           .timeout = 60s}));
    }
    REQUIRE(waitFor([&] {
        return std::ranges::all_of(streams,
                                   [](const auto &inStream) { return inStream->hasBegun(); });
    }));
    // A request that runs at an application when the stop begins.
    caller_answer order;
    const caller_request orderRequest{.address = fleet.callers("entry-1"),
                                      .path = "/orders",
                                      .key = key,
                                      .body = R"({"order":"drained","amount":1})",
                                      .headers = {{"Idempotency-Key", "drained"}},
                                      .timeout = 20s};
    std::thread orderCaller([&] {
        standins::http_probe probe;
        order = callEntry(probe, orderRequest);
    });
    const bool claimed = waitFor([&] {
        return std::ranges::any_of(
            fleet.facts("platform.ledger", "append"),
            [](const json &inFact) { return inFact.value("stream", std::string()) == "claims"; });
    });
    fleet.process("entry-1").signal(SIGTERM);
    inject("SIGTERM to entry-1 with 6 running streams and an order");
    const std::optional<int> code = fleet.process("entry-1").waitExit(40s);
    orderCaller.join();
    CHECK(claimed);
    REQUIRE(code.has_value());
    CHECK(*code == 0);
    CHECK(order.isComplete());
    std::size_t complete = 0;
    for (const auto &stream : streams) {
        const std::string &text = stream->text();
        INFO(text.substr(text.size() > 300 ? text.size() - 300 : 0));
        CHECK(text.ends_with("data: [DONE]\n\n"));
        CHECK(text.find("\"error\"") == std::string::npos);
        complete += text.ends_with("data: [DONE]\n\n") ? 1 : 0;
    }
    std::printf("%zu of %zu streams complete, exit code %d\n", complete, streams.size(), *code);
    // The others have taken over and serve.
    standins::http_probe probe;
    for (int adapter = 0; adapter < 4; ++adapter) {
        CHECK(waitFor([&] {
            return callEntry(probe,
                             {.address = fleet.callers("entry-2"),
                              .path = "/v1/chat/completions",
                              .key = key,
                              .body = chatBody(adapter, "after", 2, false)})
                .isComplete();
        }));
    }
    CHECK(messagesOf(fleet.violations({}), "P2").empty());
}

TEST_CASE("P10_leaving_endpoints_get_no_new_work_after_three_seconds")
{
    promise_fleet fleet("P10_leaving",
                        {.engines = 4,
                         .applications = 3,
                         .enginesWithoutFencing = 1,
                         .adapters = 6,
                         .platformArguments = {"--loads-per-second", "20", "--load-burst", "20"}});
    const load_plan plan{.callsPerSecond = 24, .seconds = 12, .drainSeconds = 15};
    standins::child_process load = fleet.startLoad(plan);
    const std::vector<std::pair<std::string, std::string>> leaving{{"engine-1", "run_start"},
                                                                   {"application-1", "order_run"}};
    REQUIRE(waitFor([&] {
        return std::ranges::all_of(leaving, [&](const auto &inEntry) {
            return !fleet.facts(inEntry.first + ".ledger", inEntry.second).empty();
        });
    }));
    // One failure domain learns of it only from its peers.
    REQUIRE(fleet.processes().fault({"entry-2>platform"}, R"({"fault":"cut"})"));
    inject("entry-2 cut off from the platform");
    REQUIRE(fleet.publish({"--set", "/endpoints/engine-1", "leaving=true", "--set",
                           "/endpoints/application-1", "leaving=true"})
            == 0);
    const double accepted = lastSettingsTime(fleet);
    inject("engine-1 and application-1 leave");
    fleet.finishLoad(load, plan);
    for (const auto &[endpoint, kind] : leaving) {
        INFO(endpoint);
        const std::size_t soon = runsAfter(fleet, endpoint, kind, accepted);
        const std::size_t late = runsAfter(fleet, endpoint, kind, accepted + 3);
        std::printf("%s: %zu runs after the change was accepted, %zu after 3 s\n", endpoint.c_str(),
                    soon, late);
        CHECK(late == 0);
    }
    // The others went on.
    CHECK(runsAfter(fleet, "engine-2", "run_start", accepted + 3) > 0);
}
