// Guards against two instances that give orders to one engine at the same time, and against engines
// that nobody may give orders to.

#include "corneltally/fleet/holder_claims.h"

#include <set>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using fleet::claim;

namespace {

const core::time_point cStart{1h};
const claim cSelf{"a", "10.0.0.1", 7, 0};
const std::vector<fleet::fleet_node> cEngine{{"e1", "north"}};

claim claimOf(const std::string &inInstance, const std::string &inMachine,
              std::uint64_t inIncarnation, std::uint64_t inFence)
{
    return {inInstance, inMachine, inIncarnation, inFence};
}

} // namespace

TEST_CASE("a free engine may be ordered at once, and only by its claimant")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.confirmRead(cStart);
    // The instances have to know each other first.
    CHECK(claims.enginesToClaim(cEngine, {}, cStart).empty());
    CHECK(claims.enginesToClaim(cEngine, {}, cStart + 1s) == std::vector<std::string>{"e1"});
    CHECK_FALSE(claims.mayOrder("e1", cStart));
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 5), cStart);
    CHECK(claims.mayOrder("e1", cStart));
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 6), cStart);
    CHECK_FALSE(claims.mayOrder("e1", cStart));
}

TEST_CASE("a holder whose last look at the claims is old may not order")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.confirmRead(cStart);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 5), cStart);
    claims.setMembers({"b"});
    const core::duration limit = fleet::claim_settings().maxReadAge;
    CHECK(claims.mayOrder("e1", cStart + limit - 100ms));
    CHECK_FALSE(claims.mayOrder("e1", cStart + limit));
    claims.confirmRead(cStart + 5s);
    CHECK(claims.mayOrder("e1", cStart + 5s));
    claims.invalidateRead();
    CHECK_FALSE(claims.mayOrder("e1", cStart + 5s));
}

TEST_CASE("a successor waits until its predecessor can't order any more, and the operator's pause")
{
    const fleet::claim_settings settings;
    fleet::holder_claims claims(settings, cSelf, "north");
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 5), cStart);
    claims.confirmRead(cStart);
    const core::time_point taken = cStart + 10s;
    claims.confirmRead(taken);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 9), taken);
    const core::duration wait = settings.maxReadAge + settings.handoverPause;
    for (core::duration later = 0s; later < wait; later += 500ms) {
        claims.confirmRead(taken + later);
        CHECK_FALSE(claims.mayOrder("e1", taken + later));
    }
    claims.confirmRead(taken + wait + settings.handoverMargin);
    CHECK(claims.mayOrder("e1", taken + wait + settings.handoverMargin));
}

TEST_CASE("a holder that all others hear goes on without the store for a while")
{
    const fleet::claim_settings settings;
    fleet::holder_claims claims(settings, cSelf, "north");
    claims.confirmRead(cStart);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 5), cStart);
    claims.setMembers({"b", "c"});
    const core::time_point later = cStart + 5s;
    claims.heardBy("b", later);
    CHECK_FALSE(claims.mayOrder("e1", later));
    claims.heardBy("c", later);
    CHECK(claims.mayOrder("e1", later));
    // One that is restarted meanwhile does not stop the holder at once.
    claims.heardBy("b", cStart + 10s);
    CHECK(claims.mayOrder("e1", cStart + 10s));
    CHECK_FALSE(claims.mayOrder("e1", later + settings.maxHeardAge));
    CHECK(settings.maxHeardAge + 1200ms < settings.silenceTimeout + settings.maxReadAge);
    claims.heardBy("b", cStart + settings.maxReadAgeWhenHeard);
    claims.heardBy("c", cStart + settings.maxReadAgeWhenHeard);
    CHECK_FALSE(claims.mayOrder("e1", cStart + settings.maxReadAgeWhenHeard));
    // An instance that the holder does not know of can't order before the holder has stopped.
    CHECK(settings.silenceTimeout + settings.maxReadAge + settings.handoverPause
          > settings.maxReadAgeWhenHeard);
}

TEST_CASE("the wait survives a new start of the same machine")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 5), cStart);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 6, 6), cStart);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 7), cStart + 1s);
    claims.confirmRead(cStart + 1s);
    CHECK_FALSE(claims.mayOrder("e1", cStart + 1s));
}

TEST_CASE("a machine takes its own engines back at once after a new start")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 6, 5), cStart);
    claims.confirmRead(cStart);
    CHECK_FALSE(claims.mayOrder("e1", cStart));
    CHECK(claims.enginesToClaim(cEngine, {{"b", "north"}}, cStart)
          == std::vector<std::string>{"e1"});
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 6), cStart);
    CHECK(claims.mayOrder("e1", cStart));
}

TEST_CASE("engines of another instance are claimed only after it was silent, by one instance")
{
    const fleet::claim_settings settings;
    fleet::holder_claims claims(settings, cSelf, "north");
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 5), cStart);
    claims.confirmRead(cStart);
    claims.setRecorded(cStart);
    claims.heard("b", cStart);
    claims.confirmRead(cStart + 6s);
    CHECK(claims.enginesToClaim(cEngine, {}, cStart + 6s).empty());
    claims.confirmRead(cStart + 7s);
    CHECK(claims.enginesToClaim(cEngine, {}, cStart + 7s) == std::vector<std::string>{"e1"});
    // Of two live instances one is preferred for each engine.
    fleet::holder_claims other(settings, {"c", "10.0.0.3", 1, 0}, "north");
    other.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 5), cStart);
    other.confirmRead(cStart);
    other.setRecorded(cStart);
    other.heard("b", cStart);
    other.confirmRead(cStart + 7s);
    const auto mine = claims.enginesToClaim(cEngine, {{"c", "north"}}, cStart + 7s);
    const auto theirs = other.enginesToClaim(cEngine, {{"a", "north"}}, cStart + 7s);
    CHECK(mine.size() + theirs.size() == 1);
    // One of the engine's failure domain goes before all others.
    CHECK(claims.enginesToClaim(cEngine, {{"c", "south"}, {"d", "south"}}, cStart + 7s).size()
          == 1);
    CHECK(other.enginesToClaim({{"e1", "south"}}, {{"d", "south"}}, cStart + 7s).empty());
}

TEST_CASE(
    "an instance whose record was removed claims nothing before the others can know of it again")
{
    const fleet::claim_settings settings;
    fleet::holder_claims claims(settings, cSelf, "north");
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 5), cStart);
    claims.confirmRead(cStart);
    const core::time_point later = cStart + 20s;
    claims.confirmRead(later);
    CHECK(claims.enginesToClaim(cEngine, {}, later).empty());
    claims.setRecorded(later);
    CHECK(claims.enginesToClaim(cEngine, {}, later).empty());
    claims.confirmRead(later + settings.silenceTimeout);
    CHECK(claims.enginesToClaim(cEngine, {}, later + settings.silenceTimeout).size() == 1);
}

TEST_CASE("an older record never replaces a newer claim")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 9), cStart);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 5), cStart);
    CHECK(claims.find("e1")->instance == "b");
}

TEST_CASE("a claim needs a fresh look, and looks may be rare only while all others hear this one")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.confirmRead(cStart);
    CHECK(claims.hasFreshRead(cStart + 900ms));
    CHECK_FALSE(claims.hasFreshRead(cStart + 1100ms));
    claims.setMembers({"b", "c"});
    claims.heardBy("b", cStart);
    CHECK_FALSE(claims.isHeardByAll(1500ms, cStart));
    claims.heardBy("c", cStart);
    CHECK(claims.isHeardByAll(1500ms, cStart + 1400ms));
    CHECK_FALSE(claims.isHeardByAll(1500ms, cStart + 1600ms));
}
