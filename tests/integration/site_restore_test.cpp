// Guards against configurations that are not in force, or that revert to older ones, after the
// store came back from an older copy. Further plays: CORNELTALLY_RESTORE_SEEDS=1-50, and
// CORNELTALLY_RESTORE_INSTANCES=30.

#include "tests/integration/restore_play.h"

#include <cstdio>
#include <cstdlib>
#include <string>

#include <catch2/catch.hpp>

namespace {

struct seed_range
{
    std::uint64_t first = 1;
    std::uint64_t last = 2;
};

seed_range chosenSeeds()
{
    const char *text = std::getenv("CORNELTALLY_RESTORE_SEEDS");
    if (text == nullptr)
        return {};
    const std::string range(text);
    const auto dash = range.find('-');
    const std::uint64_t first = std::strtoull(range.c_str(), nullptr, 10);
    if (dash == std::string::npos)
        return {first, first};
    return {first, std::strtoull(range.c_str() + dash + 1, nullptr, 10)};
}

void checkPlay(const restore_options &inOptions)
{
    restore_play play(inOptions);
    play.run();
    std::printf("seed %llu: %zu requests checked, %zu restores, %zu disturbances, %zu violations\n",
                static_cast<unsigned long long>(inOptions.seed), play.checked(), play.restores(),
                play.disturbances(), play.violations().size());
    std::fflush(stdout);
    CAPTURE(inOptions.seed);
    if (!play.violations().empty()) {
        CAPTURE(play.violations().size());
        FAIL_CHECK(play.violations().front());
    }
    CHECK(play.checked() > 1000);
}

} // namespace

// Failure: an instance ignores configurations that the store writes at offsets that it gave out
// before, and serves by an older version until the former offsets are reached again.
TEST_CASE("configurations come into force while the store comes back from older copies")
{
    const seed_range seeds = chosenSeeds();
    const char *instances = std::getenv("CORNELTALLY_RESTORE_INSTANCES");
    for (std::uint64_t seed = seeds.first; seed <= seeds.last; ++seed)
        checkPlay({.seed = seed, .instances = instances == nullptr ? 4 : std::atoi(instances)});
}

TEST_CASE("configurations come into force while instances are killed, paused and cut off")
{
    checkPlay({.seed = 100, .time = std::chrono::seconds(12), .maxAge = {}});
}
