// Tests whether endpoints take requests after what their answers said, on a virtual clock.

#include "corneltally/engines/endpoint_condition.h"
#include "corneltally/engines/endpoint_table.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

const core::time_point cStart{1h};

engines::endpoint_entry entryOf(const std::string &inId, std::uint64_t inStartedMs = 1)
{
    return {.id = inId,
            .service = "models",
            .address = {"10.0.0.1", 80},
            .failureDomain = "north",
            .startedMs = inStartedMs};
}

} // namespace

TEST_CASE("a pause holds until its end, and a shorter one does not cut it")
{
    engines::endpoint_condition condition;
    CHECK(condition.apply({.pause = 2s}, cStart));
    CHECK_FALSE(condition.takesRequests(cStart));
    CHECK_FALSE(condition.apply({.pause = 400ms}, cStart + 1s));
    CHECK_FALSE(condition.takesRequests(cStart + 1999ms));
    CHECK_FALSE(condition.takeEndedPause(cStart + 1999ms));
    CHECK(condition.takesRequests(cStart + 2s));
    CHECK(condition.takeEndedPause(cStart + 2s) == 2s);
    CHECK_FALSE(condition.takeEndedPause(cStart + 3s));
}

TEST_CASE("a pause is extended by a later answer")
{
    engines::endpoint_condition condition;
    condition.apply({.pause = 2s}, cStart);
    CHECK(condition.apply({.pause = 2s}, cStart + 1s));
    CHECK_FALSE(condition.takesRequests(cStart + 2500ms));
    CHECK(condition.takesRequests(cStart + 3s));
}

// Failure: a faulty endpoint takes itself out of service for hours with one answer.
TEST_CASE("a long pause is tested by one request at a time, and none is none")
{
    constexpr core::duration cBound = engines::endpoint_condition::sMaxPause;
    engines::endpoint_condition condition;
    CHECK_FALSE(condition.apply({.pause = 0s}, cStart));
    CHECK(condition.takesRequests(cStart));
    condition.apply({.pause = 24h}, cStart);
    CHECK_FALSE(condition.takesRequests(cStart + cBound - 1ms));
    core::time_point now = cStart + cBound;
    REQUIRE(condition.takesRequests(now));
    condition.requestSent(now);
    CHECK_FALSE(condition.takesRequests(now));
    // The endpoint still wants the pause.
    condition.apply({.pause = 24h}, now);
    CHECK_FALSE(condition.takesRequests(now + cBound - 1ms));
    now += cBound;
    REQUIRE(condition.takesRequests(now));
    condition.requestSent(now);
    // It does not want it any more.
    CHECK(condition.apply({}, now + 1s));
    CHECK(condition.takesRequests(now + 1s));
}

TEST_CASE("answers to requests from before a pause do not end it")
{
    engines::endpoint_condition condition;
    condition.apply({.pause = 10s}, cStart);
    CHECK_FALSE(condition.apply({}, cStart + 1s));
    CHECK_FALSE(condition.takesRequests(cStart + 1s));
}

// Failure: an older entry, a lapse or a rebuilt table undoes what an endpoint said.
TEST_CASE("only a new start of an endpoint ends its leaving and its pause")
{
    engines::endpoint_table table;
    table.apply(entryOf("e1"), cStart);
    table.apply(entryOf("e2"), cStart);
    CHECK(table.applyNotice("e1", 1, {.leaving = true, .pause = 10s}, cStart));
    CHECK_FALSE(table.applyNotice("e1", 1, {.leaving = true}, cStart));
    CHECK_FALSE(table.applyNotice("e2", 7, {.leaving = true}, cStart));
    const auto usable = [&](const char *inId, core::time_point inNow) {
        return table.usable(*table.find(inId), inNow);
    };
    CHECK_FALSE(usable("e1", cStart));
    CHECK(usable("e2", cStart));
    table.apply(entryOf("e1"), cStart + 1s);
    CHECK_FALSE(usable("e1", cStart + 1s));
    // The entry lapses and comes back.
    table.keepOnly({"e2"}, true, cStart + 2s);
    table.prune(cStart + 60s);
    table.apply(entryOf("e1"), cStart + 61s);
    CHECK_FALSE(usable("e1", cStart + 61s));
    table.apply(entryOf("e1", 2), cStart + 62s);
    CHECK(usable("e1", cStart + 62s));
}

TEST_CASE("another instance's notice concerns the same start only")
{
    engines::endpoint_table table;
    table.apply(entryOf("e1", 2), cStart);
    CHECK(table.applyPeerLeaving({engines::startDigest("e1", 1)}, cStart).empty());
    CHECK(table.usable(*table.find("e1"), cStart));
    CHECK(table.applyPeerLeaving({engines::startDigest("e1", 2)}, cStart)
          == std::vector<std::string>{"e1"});
    CHECK_FALSE(table.usable(*table.find("e1"), cStart));
}

TEST_CASE("the ends of pauses are known if all endpoints that stay are paused")
{
    engines::endpoint_table table;
    for (const char *id : {"e1", "e2", "e3"})
        table.apply(entryOf(id), cStart);
    table.applyNotice("e1", 1, {.pause = 2s}, cStart);
    table.applyNotice("e2", 1, {.pause = 4s}, cStart);
    CHECK_FALSE(table.pauseEnds("models", cStart));
    table.applyNotice("e3", 1, {.leaving = true}, cStart);
    CHECK(table.pauseEnds("models", cStart) == std::pair(cStart + 2s, cStart + 4s));
    CHECK_FALSE(table.pauseEnds("models", cStart + 2s));
    CHECK_FALSE(table.pauseEnds("other", cStart));
}
