// Guards against instances that are sent the same operator records by several others, or that never
// get the records that they lack.

#include "corneltally/catalog/record_catch_up.h"

#include <set>
#include <string>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

const core::time_point cStart{1h};

struct catch_up_fixture
{
    catalog::catch_up_options options;
    catalog::record_catch_up catchUp{"self", options};
    core::time_point now = cStart;

    /// Lets five others report an end, as they do with each heartbeat, and returns who is asked.
    std::optional<std::string> report(std::uint64_t inEnd, bool inStoreFailing = false)
    {
        for (const char *peer : {"a", "b", "c", "d", "e"})
            catchUp.peerReported(peer, {{0, inEnd}}, now);
        return catchUp.peerToAsk(inStoreFailing, now);
    }
};

} // namespace

TEST_CASE("nobody is asked if the store delivers the records in time")
{
    catch_up_fixture fixture;
    CHECK_FALSE(fixture.report(5));
    fixture.now += fixture.options.storeTime - 1ms;
    CHECK_FALSE(fixture.report(5));
    fixture.catchUp.received({0, 5}, fixture.now);
    fixture.now += 1h;
    CHECK_FALSE(fixture.report(5));
    CHECK_FALSE(fixture.report(4));
}

TEST_CASE("one instance at a time is asked, another one if it does not answer")
{
    catch_up_fixture fixture;
    CHECK_FALSE(fixture.report(5));
    fixture.now += fixture.options.storeTime;
    std::set<std::string> asked;
    for (int attempt = 0; attempt < 20; ++attempt) {
        const auto peer = fixture.report(5);
        REQUIRE(peer);
        asked.insert(*peer);
        CHECK_FALSE(fixture.report(5));
        fixture.now += fixture.options.answerTimeout - 1ms;
        CHECK_FALSE(fixture.report(6));
        fixture.now += 1ms;
    }
    CHECK(asked.size() == 5);
}

// Failure: an instance that restarts while the store is away takes a configuration from one that is
// behind the others, and a withdrawn key is in use again.
TEST_CASE("an instance that is behind the others is not asked")
{
    for (int attempt = 0; attempt < 20; ++attempt) {
        catalog::record_catch_up catchUp("self" + std::to_string(attempt));
        for (const char *peer : {"a", "b", "c", "d"})
            catchUp.peerReported(peer, {{0, 5}}, cStart);
        catchUp.peerReported("e", {{0, 9}}, cStart);
        CHECK(catchUp.peerToAsk(true, cStart) == "e");
    }
}

TEST_CASE("another instance is asked at once while reads of the store fail")
{
    catch_up_fixture fixture;
    CHECK(fixture.report(5, true));
    CHECK_FALSE(fixture.report(5, true));
}

TEST_CASE("records that arrive in parts put off the next request")
{
    catch_up_fixture fixture;
    REQUIRE(fixture.report(9, true));
    for (std::uint64_t end = 1; end < 9; ++end) {
        fixture.now += fixture.options.answerTimeout - 1ms;
        fixture.catchUp.received({0, end}, fixture.now);
        CHECK_FALSE(fixture.report(9, true));
    }
    fixture.catchUp.received({0, 9}, fixture.now);
    CHECK(fixture.catchUp.progress().end == store::position(0, 9));
    CHECK(fixture.report(10, true));
}

TEST_CASE("an instance that is no longer heard is not asked")
{
    catch_up_fixture fixture;
    CHECK_FALSE(fixture.report(5));
    fixture.now += fixture.options.reportLifetime + 1ms;
    CHECK_FALSE(fixture.catchUp.peerToAsk(true, fixture.now));
    fixture.catchUp.peerReported("b", {{0, 5}}, fixture.now);
    CHECK(fixture.catchUp.peerToAsk(true, fixture.now) == "b");
}

// Failure: all instances that the store turns away ask the same one, whose link they share.
TEST_CASE("instances that lack the same records ask different others")
{
    std::set<std::string> asked;
    for (int index = 0; index < 8; ++index) {
        catalog::record_catch_up catchUp("lagging" + std::to_string(index));
        for (int peer = 0; peer < 16; ++peer)
            catchUp.peerReported("peer" + std::to_string(peer), {{0, 5}}, cStart);
        asked.insert(catchUp.peerToAsk(true, cStart).value());
    }
    CHECK(asked.size() >= 4);
}
