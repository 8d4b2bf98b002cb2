// Guards against a cold endpoint that is taken for a warm one, and against warm ones that keep
// counting as cold.

#include "corneltally/engines/endpoint_choice.h"
#include "corneltally/engines/endpoint_table.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using engines::endpoint_table;

namespace {

const core::time_point cStart{1h};

engines::endpoint_entry entryOf(const std::string &inId,
                                std::optional<std::chrono::milliseconds> inColdLeft,
                                std::uint64_t inStartedMs = 1)
{
    return {.id = inId,
            .service = "models",
            .address = {"10.0.0.1", 80},
            .failureDomain = "north",
            .capacity = 64,
            .startedMs = inStartedMs,
            .models = {{.name = "base"}},
            .coldLeft = inColdLeft};
}

/// An endpoint table in which e1 is warm.
struct warm_endpoint
{
    endpoint_table table;

    warm_endpoint()
    {
        table.setColdTimes({{"models", 4s}});
        table.apply(entryOf("e1", 0ms), cStart - 1min);
    }

    core::duration coldAt(core::time_point inNow) const
    {
        const engines::endpoint &target = *table.find("e1");
        return table.isCold(target, inNow) ? target.cold.until() - inNow : core::duration();
    }
};

} // namespace

TEST_CASE("each source makes an endpoint cold, and later ones end that")
{
    struct row
    {
        std::string name;
        std::function<void(endpoint_table &)> change;
        core::duration cold;
        engines::cold_source source;
    };
    using engines::cold_source;
    const std::vector<row> rows{
        {"nothing", [](endpoint_table &) {}, 0s, cold_source::none},
        {"entry with a remaining time",
         [](endpoint_table &ioTable) { ioTable.apply(entryOf("e1", 1500ms), cStart); }, 1500ms,
         cold_source::entry},
        {"answer",
         [](endpoint_table &ioTable) { ioTable.applyColdAnswer("e1", 1, 900ms, cStart, cStart); },
         900ms, cold_source::answer},
        {"answer of another start",
         [](endpoint_table &ioTable) { ioTable.applyColdAnswer("e1", 2, 900ms, cStart, cStart); },
         0s, cold_source::none},
        {"new start",
         [](endpoint_table &ioTable) { ioTable.apply(entryOf("e1", std::nullopt, 2), cStart); }, 4s,
         cold_source::start},
        {"new start whose entry says how long",
         [](endpoint_table &ioTable) { ioTable.apply(entryOf("e1", 500ms, 2), cStart); }, 500ms,
         cold_source::entry},
        {"connection refused",
         [](endpoint_table &ioTable) { ioTable.expectColdAfterLoss("e1", 1, cStart); }, 4s,
         cold_source::silence},
        {"refused, then an entry that may be older",
         [](endpoint_table &ioTable) {
             ioTable.expectColdAfterLoss("e1", 1, cStart);
             ioTable.apply(entryOf("e1", 0ms), cStart);
         },
         4s, cold_source::silence},
        {"refused, then an answer to an earlier request",
         [](endpoint_table &ioTable) {
             ioTable.expectColdAfterLoss("e1", 1, cStart);
             ioTable.applyColdAnswer("e1", 1, 0s, cStart - 1s, cStart);
         },
         4s, cold_source::silence},
        {"refused, then an answer to a later request",
         [](endpoint_table &ioTable) {
             ioTable.expectColdAfterLoss("e1", 1, cStart - 1s);
             ioTable.applyColdAnswer("e1", 1, 0s, cStart - 1s, cStart);
         },
         0s, cold_source::answer},
        {"refused, then a later entry",
         [](endpoint_table &ioTable) {
             ioTable.expectColdAfterLoss("e1", 1, cStart - 3s);
             ioTable.apply(entryOf("e1", 0ms), cStart);
         },
         0s, cold_source::entry},
        {"end of an evacuation",
         [](endpoint_table &ioTable) { ioTable.expectCold("north", cStart); }, 4s,
         cold_source::evacuation},
        {"entry missing for a while",
         [](endpoint_table &ioTable) {
             ioTable.remove("e1", false, cStart - 5s);
             ioTable.apply(entryOf("e1", std::nullopt), cStart);
         },
         4s, cold_source::start},
        {"another instance",
         [](endpoint_table &ioTable) {
             ioTable.applyPeerCold({{engines::startDigest("e1", 1), 3s}}, cStart);
         },
         3s, cold_source::peer},
        {"service without a limit",
         [](endpoint_table &ioTable) {
             ioTable.setColdTimes({});
             ioTable.apply(entryOf("e1", 1500ms), cStart);
             ioTable.expectColdAfterLoss("e1", 1, cStart);
         },
         0s, cold_source::none},
    };
    for (const row &entry : rows) {
        CAPTURE(entry.name);
        warm_endpoint state;
        entry.change(state.table);
        CHECK(state.coldAt(cStart) == entry.cold);
        CHECK(state.table.find("e1")->cold.source() == entry.source);
        CHECK(state.coldAt(cStart + entry.cold) == 0s);
    }
}

// Failure: two instances extend each other's cold times with each heartbeat, or each takes the
// other's report for news and no longer tells what it saw itself.
TEST_CASE("cold times that another instance reported are not reported further")
{
    const core::duration delay = GENERATE(150ms, 700ms);
    warm_endpoint first;
    warm_endpoint second;
    first.table.expectColdAfterLoss("e1", 1, cStart);
    second.table.expectColdAfterLoss("e1", 1, cStart - 100ms);
    for (core::time_point now = cStart; now < cStart + 10s; now += 200ms) {
        const auto ofFirst = first.table.ownColdReports(now);
        const auto ofSecond = second.table.ownColdReports(now);
        second.table.applyPeerCold(ofFirst, now + delay);
        first.table.applyPeerCold(ofSecond, now + delay);
        CHECK((now >= cStart + 4s || delay > 500ms || !first.table.ownColdReports(now).empty()));
    }
    CHECK(first.coldAt(cStart + 4s + 2 * delay) == 0s);
    CHECK(second.coldAt(cStart + 1s) > 0s);
    CHECK(second.coldAt(cStart + 4s + 2 * delay) == 0s);
}

TEST_CASE("the begin and the end of a cold time are told once")
{
    warm_endpoint first;
    first.table.expectColdAfterLoss("e1", 1, cStart);
    const auto changes = first.table.takeColdChanges(cStart + 1s);
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].cold);
    CHECK(changes[0].remaining == 3s);
    REQUIRE(first.table.takeColdChanges(cStart + 5s).size() == 1);
    CHECK(first.table.takeColdChanges(cStart + 5s).empty());
}

// Failure: requests that a warm endpoint serves in time use up the permits of the cold one, or the
// cold endpoint gets requests while nobody may grant permits.
TEST_CASE("a cold endpoint is chosen for loads, and for what no warm endpoint serves in time")
{
    struct row
    {
        std::string name;
        engines::residency warm;
        engines::residency cold;
        double backlog = 0;
        bool holderReady = true;
        core::duration deferred{};
        std::string chosen;
    };
    const engines::residency loaded{{{"base/a1", 1}}, {}};
    const std::vector<row> rows{
        {"the warm one has the adapter", loaded, {}, 0, true, 0s, "warm"},
        {"the warm one has the adapter and a backlog", loaded, loaded, 9000, true, 0s, "warm"},
        {"the warm one has the adapter and is late", loaded, loaded, 200'000, true, 0s, "cold"},
        {"the adapter has to be loaded at any endpoint", {}, {}, 0, true, 0s, "cold"},
        {"no holder may grant permits", loaded, loaded, 200'000, false, 0s, "warm"},
        {"the holder has denied a permit", loaded, loaded, 200'000, true, 1s, "warm"},
    };
    for (const row &entry : rows) {
        CAPTURE(entry.name);
        endpoint_table table;
        table.setColdTimes({{"models", 4s}});
        table.apply(entryOf("cold", 3000ms), cStart);
        table.apply(entryOf("warm", 0ms), cStart);
        table.applyHolderReport("cold", 1, "h", entry.holderReady, entry.cold, {"base"}, 0, cStart);
        table.applyHolderReport("warm", 1, "h", true, entry.warm, {"base"}, 0, cStart);
        table.applyPeerLoads("other", {{engines::digestOf("warm"), {1, entry.backlog, 0}}}, {},
                             cStart);
        table.find("cold")->permitNotBefore = cStart + entry.deferred;
        const auto choice = engines::chooseEndpoint(table,
                                                    {.service = "models",
                                                     .engineMemory = 250'000,
                                                     .engineBatch = 64,
                                                     .adapterSlots = 2,
                                                     .model = "base",
                                                     .adapter = "a1",
                                                     .promptTokens = 4000,
                                                     .targetTime = 1s},
                                                    "north", {}, cStart);
        REQUIRE(choice);
        CHECK(choice->endpoint == entry.chosen);
    }
}
