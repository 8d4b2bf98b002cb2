// Guards against two instances that command one endpoint at the same time, and against unloading
// adapters that runs of an earlier owner still use.

#include "corneltally/ownership/endpoint_ownership.h"
#include "corneltally/ownership/fence.h"
#include "corneltally/ownership/lease.h"
#include "corneltally/ownership/lease_table.h"
#include "corneltally/ownership/owner_choice.h"

#include <map>
#include <random>
#include <set>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using namespace corneltally::ownership;

namespace {

const core::time_point cStart(1000s);

std::string endpointName(int inIndex)
{
    std::string name("engine-");
    return name.append(std::to_string(inIndex));
}

} // namespace

TEST_CASE("all instances choose the same owner, in the endpoint's failure domain if one is live")
{
    std::vector<owner_candidate> live{
        {"a", "north"}, {"b", "north"}, {"c", "south"}, {"d", "west"}};
    std::map<std::string, int> owned;
    for (int index = 0; index < 400; ++index) {
        const auto owner = chooseOwner(endpointName(index), "north", live);
        REQUIRE(owner.has_value());
        ++owned[*owner];
        std::vector<owner_candidate> reversed(live.rbegin(), live.rend());
        CHECK(chooseOwner(endpointName(index), "north", reversed) == owner);
    }
    CHECK(owned.size() == 2);
    CHECK(owned["a"] > 150);
    CHECK(owned["b"] > 150);
    CHECK(chooseOwner("engine-1", "south", live) == "c");
    CHECK(chooseOwner("engine-1", "east", live).has_value());
    CHECK_FALSE(chooseOwner("engine-1", "east", {}).has_value());
}

TEST_CASE("only the endpoints of a lost instance change owner")
{
    const std::vector<owner_candidate> live{{"a", "n"}, {"b", "n"}, {"c", "n"}};
    const std::vector<owner_candidate> fewer{{"a", "n"}, {"c", "n"}};
    for (int index = 0; index < 100; ++index) {
        const auto before = chooseOwner(endpointName(index), "n", live);
        const auto after = chooseOwner(endpointName(index), "n", fewer);
        CHECK((before == "b" || before == after));
    }
}

TEST_CASE("fencing numbers grow and differ between instances that read the same highest number")
{
    std::uint64_t highest = 0;
    for (int round = 0; round < 10; ++round) {
        std::set<std::uint64_t> numbers;
        for (std::uint64_t slot = 0; slot < cFenceSlots; ++slot) {
            const std::uint64_t number = nextFence(highest, slot);
            REQUIRE(number > highest);
            numbers.insert(number);
        }
        CHECK(numbers.size() == cFenceSlots);
        highest = *std::next(numbers.begin(), round * 100);
    }
}

TEST_CASE("an adapter is quarantined until a report describes a time after the fencing number")
{
    endpoint_ownership state;
    CHECK(state.isQuarantined("x@1"));
    state.acquire();
    state.acquired(1025, cStart);
    const std::vector<adapter_use> idle{{"x@1", 0}, {"y@1", 1}};
    // Received after the registration, but describes a time before it.
    state.reported(idle, cStart - 100ms);
    CHECK(state.isQuarantined("x@1"));
    state.reported(idle, cStart);
    CHECK(state.isQuarantined("x@1"));
    state.reported(idle, cStart + 1ms);
    CHECK_FALSE(state.isQuarantined("x@1"));
    CHECK(state.isQuarantined("y@1"));
    CHECK(state.isQuarantined("never seen@1"));
}

TEST_CASE("a new fencing number quarantines all adapters again")
{
    endpoint_ownership state;
    state.acquire();
    state.acquired(1025, cStart);
    state.reported(std::vector<adapter_use>{{"x@1", 0}}, cStart + 1s);
    state.lost();
    CHECK(state.current() == endpoint_ownership::phase::not_owner);
    CHECK(state.isQuarantined("x@1"));
    state.acquire();
    state.acquired(2049, cStart + 5s);
    state.reported(std::vector<adapter_use>{{"x@1", 0}}, cStart + 4s);
    CHECK(state.isQuarantined("x@1"));
}

TEST_CASE("without fencing, reports count only after the longest request has timed out")
{
    endpoint_ownership state;
    state.acquire();
    state.acquiredUnfenced(cStart, cStart + 60s);
    const std::vector<adapter_use> idle{{"x@1", 0}};
    state.reported(idle, cStart + 59s);
    CHECK(state.isQuarantined("x@1"));
    state.reported(idle, cStart + 61s);
    CHECK_FALSE(state.isQuarantined("x@1"));
}

TEST_CASE("a run whose end was not seen quarantines its adapter until a later report")
{
    endpoint_ownership state;
    state.acquire();
    state.acquired(1025, cStart);
    const std::vector<adapter_use> idle{{"x@1", 0}};
    state.reported(idle, cStart + 1s);
    state.interrupted("x@1", cStart + 2s);
    state.reported(idle, cStart + 1500ms);
    CHECK(state.isQuarantined("x@1"));
    state.reported(std::vector<adapter_use>{{"x@1", 1}}, cStart + 4s);
    CHECK(state.isQuarantined("x@1"));
    state.reported(idle, cStart + 5s);
    CHECK_FALSE(state.isQuarantined("x@1"));
}

TEST_CASE("a run that may be in transit quarantines its adapter until a new fencing number")
{
    endpoint_ownership state;
    state.acquire();
    state.acquired(1025, cStart);
    const std::vector<adapter_use> idle{{"x@1", 0}};
    state.reported(idle, cStart + 1s);
    state.interruptedInTransit("x@1");
    state.interrupted("x@1", cStart + 2s);
    state.reported(idle, cStart + 100s);
    CHECK(state.isQuarantined("x@1"));
    state.acquire();
    state.acquired(2049, cStart + 101s);
    CHECK(state.isQuarantined("x@1"));
    state.reported(idle, cStart + 102s);
    CHECK_FALSE(state.isQuarantined("x@1"));
}

TEST_CASE("an adapter that is unloaded and loaded by another instance is quarantined again")
{
    endpoint_ownership state;
    state.acquire();
    state.acquired(1025, cStart);
    state.reported(std::vector<adapter_use>{{"x@1", 0}}, cStart + 1s);
    state.reported({}, cStart + 2s);
    CHECK(state.isQuarantined("x@1"));
}

TEST_CASE("lease records round-trip through JSON, and invalid JSON is rejected")
{
    const lease_record record{.endpoint = "e",
                              .instance = "i",
                              .incarnation = 1733300000000000,
                              .sequence = 3,
                              .replaces = 17,
                              .length = 10s};
    const auto parsed = lease_record::sFromJson(record.toJson());
    REQUIRE(parsed.hasValue());
    CHECK(*parsed == record);
    CHECK_FALSE(lease_record::sFromJson("{").hasValue());
    CHECK_FALSE(lease_record::sFromJson(R"({"endpoint":1})").hasValue());
}

TEST_CASE("of two leases that replace the same record the first on the log is valid")
{
    lease_table table;
    const lease_record first{.endpoint = "e", .instance = "a", .replaces = 0, .length = 10s};
    const lease_record second{.endpoint = "e", .instance = "b", .replaces = 0, .length = 10s};
    CHECK(table.apply(1, first, cStart));
    CHECK_FALSE(table.apply(2, second, cStart));
    CHECK(table.find("e")->record.instance == "a");
    CHECK_FALSE(table.isExpired("e", cStart + 11s));
    CHECK(table.isExpired("e", cStart + 12s));
    // Reading the record again after a reconnect changes nothing.
    CHECK_FALSE(table.apply(1, first, cStart + 5s));
    CHECK(table.isExpired("e", cStart + 12s));
}

TEST_CASE("a reader that starts in the middle of the log agrees with one that read the whole log")
{
    const std::vector<lease_record> records{
        {.endpoint = "e", .instance = "a", .replaces = 0, .length = 10s},
        {.endpoint = "e", .instance = "a", .replaces = 1, .length = 10s},
        {.endpoint = "e", .instance = "b", .replaces = 1, .length = 10s},
        {.endpoint = "e", .instance = "a", .replaces = 2, .length = 10s},
        {.endpoint = "e", .instance = "c", .replaces = 2, .length = 10s},
        {.endpoint = "e", .instance = "a", .replaces = 4, .length = 10s},
        {.endpoint = "e", .instance = "a", .replaces = 6, .length = 10s}};
    lease_table whole;
    for (std::size_t index = 0; index < records.size(); ++index)
        whole.apply(index + 1, records[index], cStart);
    REQUIRE(whole.find("e")->offset == 7);
    for (std::size_t first = 1; first <= records.size(); ++first) {
        lease_table partial;
        partial.startAt(first);
        for (std::size_t index = first - 1; index < records.size(); ++index)
            partial.apply(index + 1, records[index], cStart);
        INFO("first " << first);
        REQUIRE(partial.find("e") != nullptr);
        CHECK(partial.find("e")->offset == 7);
    }
}

TEST_CASE("the duration of a lease counts from before its append")
{
    lease_table table;
    lease own("e", "a", 1, 10s);
    const auto record = own.propose(table, cStart);
    REQUIRE(record.has_value());
    CHECK_FALSE(own.propose(table, cStart + 1s).has_value());
    CHECK_FALSE(own.isHeld(cStart + 1s));
    table.apply(1, *record, cStart + 4s);
    own.observe(table, cStart + 4s);
    CHECK(own.isHeld(cStart + 9s));
    CHECK_FALSE(own.isHeld(cStart + 10s));
    CHECK_FALSE(own.propose(table, cStart + 4s).has_value());
    const auto renewal = own.propose(table, cStart + 5s);
    REQUIRE(renewal.has_value());
    CHECK(renewal->replaces == 1);
    table.apply(2, *renewal, cStart + 6s);
    own.observe(table, cStart + 6s);
    CHECK(own.isHeld(cStart + 14s));
    CHECK_FALSE(own.isHeld(cStart + 15s));
}

TEST_CASE("a lease whose append answer was lost is held once its record is read, not longer")
{
    lease_table table;
    lease own("e", "a", 1, 10s);
    const auto first = own.propose(table, cStart);
    own.appendFailed(cStart + 1s);
    CHECK_FALSE(own.propose(table, cStart + 1s).has_value());
    const auto second = own.propose(table, cStart + 2s);
    REQUIRE(second.has_value());
    // Both records reach the log; the first one is valid.
    CHECK(table.apply(1, *first, cStart + 3s));
    CHECK_FALSE(table.apply(2, *second, cStart + 3s));
    own.observe(table, cStart + 3s);
    CHECK(own.isHeld(cStart + 9s));
    CHECK_FALSE(own.isHeld(cStart + 10s));
}

TEST_CASE("a lease that was dropped after a pause is not restored by an earlier record")
{
    lease_table table;
    lease own("e", "a", 1, 10s);
    const auto record = own.propose(table, cStart);
    own.drop();
    table.apply(1, *record, cStart + 20s);
    own.observe(table, cStart + 20s);
    CHECK_FALSE(own.isHeld(cStart + 20s));
    const auto next = own.propose(table, cStart + 20s);
    REQUIRE(next.has_value());
    CHECK(next->replaces == 1);
}

TEST_CASE("a restarted instance waits until the lease of its earlier incarnation expires")
{
    lease_table table;
    table.apply(1, {.endpoint = "e", .instance = "a", .incarnation = 1, .length = 10s}, cStart);
    lease own("e", "a", 2, 10s);
    CHECK_FALSE(own.propose(table, cStart + 11s).has_value());
    CHECK(own.propose(table, cStart + 12s).has_value());
}

TEST_CASE("no two instances hold a lease at once under delayed appends and lost answers")
{
    for (unsigned seed = 0; seed < 200; ++seed) {
        std::mt19937 random(seed);
        struct instance
        {
            lease_table table;
            lease own;
            std::size_t read = 0;
            core::time_point pausedUntil;
        };
        std::vector<instance> instances;
        for (const char *name : {"a", "b", "c"})
            instances.push_back({{}, lease("e", name, 1, 2s), 0, {}});
        std::vector<lease_record> log;
        std::multimap<core::time_point, lease_record> underWay;
        int heldSteps = 0;
        for (core::time_point now = cStart; now < cStart + 60s; now += 20ms) {
            while (!underWay.empty() && underWay.begin()->first <= now) {
                log.push_back(underWay.begin()->second);
                underWay.erase(underWay.begin());
            }
            int holders = 0;
            for (instance &entry : instances) {
                holders += entry.own.isHeld(now) ? 1 : 0;
                if (now < entry.pausedUntil)
                    continue;
                if (random() % 500 == 0)
                    entry.pausedUntil = now + std::chrono::milliseconds(random() % 5000);
                // Reads are delayed and return parts of the log.
                if (random() % 4 == 0) {
                    for (; entry.read < log.size() && random() % 8 != 0; ++entry.read)
                        entry.table.apply(entry.read + 1, log[entry.read], now);
                    entry.own.observe(entry.table, now);
                }
                if (const auto record = entry.own.propose(entry.table, now)) {
                    underWay.emplace(now + std::chrono::milliseconds(random() % 1500), *record);
                    if (random() % 3 == 0)
                        entry.own.appendFailed(now);
                }
            }
            REQUIRE(holders <= 1);
            heldSteps += holders;
        }
        CHECK(heldSteps > 0);
    }
}
