// Guards against needless loads of further copies, needless routes to other failure domains, and
// sending all runs to one endpoint between two reports.

#include "corneltally/scheduling/placement.h"
#include "corneltally/scheduling/route_choice.h"

#include <algorithm>
#include <array>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using scheduling::route_option;

namespace {

const std::array<std::string, 6> cNames = {"e0", "e1", "e2", "e3", "e4", "e5"};

std::vector<route_option> fleet(std::size_t inCount)
{
    std::vector<route_option> options;
    for (std::size_t index = 0; index < inCount; ++index) {
        options.push_back({.name = cNames.at(index),
                           .ownerReachable = true,
                           .accepting = true,
                           .sameDomain = true});
    }
    return options;
}

std::vector<int> chooseOften(const std::vector<route_option> &inOptions, int inCopies,
                             std::string_view inAdapter = "a", int inRounds = 1000)
{
    const scheduling::route_choice choice;
    std::mt19937_64 random(7);
    std::vector<int> counts(inOptions.size());
    for (int round = 0; round < inRounds; ++round) {
        const auto chosen = choice.choose(inAdapter, inCopies, inOptions, random());
        if (chosen)
            ++counts[*chosen];
    }
    return counts;
}

int usedCount(const std::vector<int> &inCounts)
{
    return static_cast<int>(std::ranges::count_if(inCounts, [](int count) { return count > 0; }));
}

} // namespace

TEST_CASE("no option is chosen if none can take a run")
{
    std::vector<route_option> options = fleet(3);
    options[0].ownerReachable = false;
    options[1].accepting = false;
    options[2].healthWeight = 0;
    const scheduling::route_choice choice;
    CHECK_FALSE(choice.choose("a", 1, options, 1).has_value());
    CHECK_FALSE(choice.choose("a", 1, {}, 1).has_value());
}

TEST_CASE("a resident copy is preferred over the rendezvous home")
{
    for (std::size_t resident = 0; resident < 6; ++resident) {
        std::vector<route_option> options = fleet(6);
        options[resident].resident = true;
        options[resident].estimatedWait = 400ms;
        CHECK(chooseOften(options, 1)[resident] == 1000);
    }
}

TEST_CASE("an absent adapter has the same home on all instances; homes differ between adapters")
{
    const std::vector<route_option> options = fleet(6);
    std::vector<int> homes(6);
    for (int adapter = 0; adapter < 600; ++adapter) {
        const std::vector<int> counts
            = chooseOften(options, 1, "adapter-" + std::to_string(adapter), 20);
        REQUIRE(usedCount(counts) == 1);
        ++homes[std::ranges::max_element(counts) - counts.begin()];
    }
    CHECK(*std::ranges::min_element(homes) > 60);
    CHECK(*std::ranges::max_element(homes) < 140);
}

TEST_CASE("the home of an adapter changes only if it becomes unusable")
{
    std::vector<route_option> options = fleet(6);
    const std::vector<int> before = chooseOften(options, 1);
    const auto home = std::ranges::max_element(before) - before.begin();
    for (std::size_t index = 0; index < options.size(); ++index) {
        std::vector<route_option> fewer = options;
        fewer[index].accepting = false;
        const std::vector<int> after = chooseOften(fewer, 1);
        if (static_cast<std::ptrdiff_t>(index) == home)
            CHECK(after[index] == 0);
        else
            CHECK(after == before);
    }
}

TEST_CASE("a second copy is used only if inCopies allows it and the first one has a long wait")
{
    std::vector<route_option> options = fleet(6);
    options[0].resident = true;
    CHECK(chooseOften(options, 2)[0] == 1000);
    options[0].estimatedWait = 3s;
    options[0].queued = 10;
    CHECK(chooseOften(options, 1)[0] == 1000);
    CHECK(chooseOften(options, 2)[0] < 600);
}

TEST_CASE("an absent adapter is loaded at the next home if the first one is overloaded")
{
    std::vector<route_option> options = fleet(6);
    const std::vector<int> before = chooseOften(options, 1);
    const auto home = std::ranges::max_element(before) - before.begin();
    options[home].estimatedWait = 5s;
    const std::vector<int> after = chooseOften(options, 1);
    CHECK(after[home] == 0);
    CHECK(usedCount(after) == 1);
}

TEST_CASE("the own failure domain is preferred until its wait is 5 ms longer")
{
    std::vector<route_option> options = fleet(2);
    options[0].resident = options[1].resident = true;
    options[1].sameDomain = false;
    options[0].estimatedWait = 4ms;
    CHECK(chooseOften(options, 2)[0] == 1000);
    options[0].estimatedWait = 6ms;
    CHECK(chooseOften(options, 2)[1] == 1000);
}

TEST_CASE("runs spread over equal copies between two reports")
{
    std::vector<route_option> options = fleet(4);
    for (route_option &option : options)
        option.resident = true;
    // A stale report shows the first endpoint as idle; the others have a wait of 10 ms.
    for (std::size_t index = 1; index < options.size(); ++index)
        options[index].estimatedWait = 10ms;
    const scheduling::route_choice choice;
    std::mt19937_64 random(7);
    std::vector<int> counts(options.size());
    for (int run = 0; run < 100; ++run) {
        const auto chosen = choice.choose("a", 4, options, random());
        REQUIRE(chosen.has_value());
        ++counts[*chosen];
        ++options[*chosen].dispatchedSinceReport;
    }
    INFO(counts[0] << " " << counts[1] << " " << counts[2] << " " << counts[3]);
    CHECK(*std::ranges::max_element(counts) <= 60);
    CHECK(*std::ranges::min_element(counts) >= 5);
}

TEST_CASE("instances that share a stale report do not all choose the same endpoint")
{
    std::vector<route_option> options = fleet(6);
    for (route_option &option : options) {
        option.resident = true;
        option.estimatedWait = 10ms;
    }
    options[2].estimatedWait = 0ms;
    // Power of two choices: the idle endpoint is among the two drawn in a third of the rounds.
    CHECK(chooseOften(options, 6)[2] < 400);
}

TEST_CASE("an endpoint with a low health weight gets few runs")
{
    std::vector<route_option> options = fleet(2);
    options[0].resident = options[1].resident = true;
    options[0].healthWeight = 0.1;
    options[0].estimatedWait = options[1].estimatedWait = 1ms;
    CHECK(chooseOften(options, 2)[0] < 150);
}

TEST_CASE("the number of copies grows at once with demand and shrinks with a delay")
{
    scheduling::placement placement({.copyDemand = 4, .halfLife = 10s});
    core::time_point now(1000s);
    CHECK(placement.copies("a", 1, now) == 1);
    for (int run = 0; run < 9; ++run)
        placement.started("a", now);
    CHECK(placement.copies("a", 1, now) == 3);
    now += 60s;
    for (int run = 0; run < 4; ++run)
        placement.ended("a", now);
    // Five runs need two copies. Three are kept until the average is below four.
    CHECK(placement.copies("a", 1, now) == 3);
    for (int run = 0; run < 5; ++run)
        placement.ended("a", now);
    now += 11s;
    CHECK(placement.copies("a", 1, now) == 3);
    now += 10s;
    CHECK(placement.copies("a", 1, now) == 2);
    now += 60s;
    CHECK(placement.copies("a", 1, now) == 1);
    placement.prune(now);
    CHECK(placement.adapterCount() == 0);
}

TEST_CASE("an instance that handles a quarter of the requests computes the same number of copies")
{
    scheduling::placement placement({.copyDemand = 4});
    const core::time_point now(1000s);
    for (int run = 0; run < 3; ++run)
        placement.started("a", now);
    CHECK(placement.copies("a", 0.25, now) == 3);
}
