// Guards against two instances that give orders to one engine at the same time, and against engines
// that no instance may give orders to.

#include "corneltally/fleet/fleet_records.h"
#include "corneltally/fleet/holder_claims.h"

#include <map>
#include <set>
#include <string>
#include <vector>

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

TEST_CASE("only the claimant of a free engine may give it orders, and without a wait")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.confirmRead(cStart);
    // Free engines are not claimed before the instances know each other.
    CHECK(claims.enginesToClaim(cEngine, {}, cStart).empty());
    CHECK(claims.enginesToClaim(cEngine, {}, cStart + 1s) == std::vector<std::string>{"e1"});
    CHECK_FALSE(claims.mayOrder("e1", cStart));
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 5), cStart);
    CHECK(claims.mayOrder("e1", cStart));
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 6), cStart);
    CHECK_FALSE(claims.mayOrder("e1", cStart));
}

TEST_CASE("a holder whose last read of the claims is too old may not give orders")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.confirmRead(cStart);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 5), cStart);
    claims.setMembers({"b"});
    const core::duration limit = fleet::claim_options().maxReadAge;
    CHECK(claims.mayOrder("e1", cStart + limit - 100ms));
    CHECK_FALSE(claims.mayOrder("e1", cStart + limit));
    claims.confirmRead(cStart + 5s);
    CHECK(claims.mayOrder("e1", cStart + 5s));
    claims.invalidateRead();
    CHECK_FALSE(claims.mayOrder("e1", cStart + 5s));
}

TEST_CASE("a successor waits until its predecessor has stopped, plus the operator's pause")
{
    const fleet::claim_options options;
    fleet::holder_claims claims(options, cSelf, "north");
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 5), cStart);
    claims.confirmRead(cStart);
    const core::time_point taken = cStart + 10s;
    claims.confirmRead(taken);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 9), taken);
    const core::duration wait = options.maxReadAge + options.handoverPause;
    for (core::duration later = 0s; later < wait; later += 500ms) {
        claims.confirmRead(taken + later);
        CHECK_FALSE(claims.mayOrder("e1", taken + later));
    }
    claims.confirmRead(taken + wait + options.handoverMargin);
    CHECK(claims.mayOrder("e1", taken + wait + options.handoverMargin));
}

TEST_CASE("a holder that all others report live may continue for a limited time without the store")
{
    const fleet::claim_options options;
    fleet::holder_claims claims(options, cSelf, "north");
    claims.confirmRead(cStart);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 5), cStart);
    claims.setMembers({"b", "c"});
    const core::time_point later = cStart + 5s;
    claims.reportedLiveBy("b", later);
    CHECK_FALSE(claims.mayOrder("e1", later));
    claims.reportedLiveBy("c", later);
    CHECK(claims.mayOrder("e1", later));
    // An instance that restarts meanwhile does not stop the holder at once.
    claims.reportedLiveBy("b", cStart + 10s);
    CHECK(claims.mayOrder("e1", cStart + 10s));
    CHECK_FALSE(claims.mayOrder("e1", later + options.maxLiveReportAge));
    CHECK(options.maxLiveReportAge + 1200ms < options.silenceTimeout + options.maxReadAge);
    claims.reportedLiveBy("b", cStart + options.maxReadAgeWhenLive);
    claims.reportedLiveBy("c", cStart + options.maxReadAgeWhenLive);
    CHECK_FALSE(claims.mayOrder("e1", cStart + options.maxReadAgeWhenLive));
    // An instance unknown to the holder can't give orders before the holder has stopped.
    CHECK(options.silenceTimeout + options.maxReadAge + options.handoverPause
          > options.maxReadAgeWhenLive);
}

TEST_CASE("the wait persists across a restart on the same machine")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 5), cStart);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 6, 6), cStart);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 7), cStart + 1s);
    claims.confirmRead(cStart + 1s);
    CHECK_FALSE(claims.mayOrder("e1", cStart + 1s));
}

TEST_CASE("a machine takes back its engines without a wait after a restart")
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

TEST_CASE("engines of a silent instance are claimed after the timeout, by one instance only")
{
    const fleet::claim_options options;
    fleet::holder_claims claims(options, cSelf, "north");
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 5), cStart);
    claims.confirmRead(cStart);
    claims.setRecorded(cStart);
    claims.messageReceived("b", cStart);
    claims.confirmRead(cStart + 6s);
    CHECK(claims.enginesToClaim(cEngine, {}, cStart + 6s).empty());
    claims.confirmRead(cStart + 7s);
    CHECK(claims.enginesToClaim(cEngine, {}, cStart + 7s) == std::vector<std::string>{"e1"});
    // Exactly one of two live instances is preferred for each engine.
    fleet::holder_claims other(options, {"c", "10.0.0.3", 1, 0}, "north");
    other.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 5), cStart);
    other.confirmRead(cStart);
    other.setRecorded(cStart);
    other.messageReceived("b", cStart);
    other.confirmRead(cStart + 7s);
    const auto mine = claims.enginesToClaim(cEngine, {{"c", "north"}}, cStart + 7s);
    const auto theirs = other.enginesToClaim(cEngine, {{"a", "north"}}, cStart + 7s);
    CHECK(mine.size() + theirs.size() == 1);
    // An instance in the engine's failure domain is preferred to all others.
    CHECK(claims.enginesToClaim(cEngine, {{"c", "south"}, {"d", "south"}}, cStart + 7s).size()
          == 1);
    CHECK(other.enginesToClaim({{"e1", "south"}}, {{"d", "south"}}, cStart + 7s).empty());
}

TEST_CASE(
    "an instance whose record was removed claims nothing until the others can know of it again")
{
    const fleet::claim_options options;
    fleet::holder_claims claims(options, cSelf, "north");
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 5), cStart);
    claims.confirmRead(cStart);
    const core::time_point later = cStart + 20s;
    claims.confirmRead(later);
    CHECK(claims.enginesToClaim(cEngine, {}, later).empty());
    claims.setRecorded(later);
    CHECK(claims.enginesToClaim(cEngine, {}, later).empty());
    claims.confirmRead(later + options.silenceTimeout);
    CHECK(claims.enginesToClaim(cEngine, {}, later + options.silenceTimeout).size() == 1);
}

TEST_CASE("an older record never replaces a newer claim")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.applyClaim("e1", claimOf("b", "10.0.0.2", 1, 9), cStart);
    claims.applyClaim("e1", claimOf("a", "10.0.0.1", 7, 5), cStart);
    CHECK(claims.find("e1")->instance == "b");
}

// Failure: a restored store lacks a claim, another instance takes the engine for free and orders
// while the holder still does, or the holder's fence goes back and the engine refuses its orders.
TEST_CASE("a claim that the store has lost is not free, and its holder claims again")
{
    const auto claimAt = [](const std::string &inInstance, store::position inPosition) {
        claim held = claimOf(inInstance, inInstance == "a" ? "10.0.0.1" : "10.0.0.2", 7, 0);
        held.failureDomain = "north";
        store::record record = fleet::claimRecord("e1", held);
        record.position = inPosition;
        return fleet::decodeClaim(record).value();
    };
    fleet::holder_claims holder({}, cSelf, "north");
    fleet::holder_claims other({}, claimOf("b", "10.0.0.2", 7, 0), "north");
    const std::vector<fleet::fleet_node> live{{"a", "north"}, {"b", "north"}};
    for (fleet::holder_claims *claims : {&holder, &other}) {
        claims->setRecorded(cStart);
        claims->confirmRead(cStart);
        claims->applyClaim("e1", claimAt("a", {1, 90}), cStart);
        claims->keepOnly({"e1"}, 1);
        claims->messageReceived(claims == &holder ? "b" : "a", cStart + 1s);
        CHECK(claims->enginesToClaim(cEngine, live, cStart + 1s).empty());
        claims->keepOnly({}, 2);
    }
    CHECK(holder.mayOrder("e1", cStart + 1s));
    CHECK(holder.enginesToClaim(cEngine, live, cStart + 1s) == std::vector<std::string>{"e1"});
    CHECK(other.enginesToClaim(cEngine, live, cStart + 1s).empty());
    // The reader of the failure domain may claim it again for the holder.
    const auto claims = other.claimsForLocalPeers(
        cEngine, {{"a", "north", "10.0.0.1", 7}, {"c", "north", "10.0.0.3", 1}}, cStart + 1s);
    REQUIRE(claims.size() == 1);
    CHECK(claims.front().holder == claimAt("a", {1, 90}));
    const std::uint64_t before = holder.find("e1")->fence;
    for (fleet::holder_claims *claims : {&holder, &other}) {
        claims->applyClaim("e1", claimAt("a", {2, 3}), cStart + 2s);
        CHECK(claims->find("e1")->fence > before);
        CHECK(claims->enginesToClaim(cEngine, live, cStart + 2s).empty());
    }
    CHECK(holder.mayOrder("e1", cStart + 2s));
    // A holder that has ended does not claim again; its claim then lapses as any other.
    other.keepOnly({}, 3);
    CHECK(other.enginesToClaim(cEngine, {{"b", "north"}}, cStart + 3s).empty());
    CHECK(other.enginesToClaim(cEngine, {{"b", "north"}}, cStart + 12s)
          == std::vector<std::string>{"e1"});
}

TEST_CASE("a claim needs a fresh read, and only recent reports of all members count as live")
{
    fleet::holder_claims claims({}, cSelf, "north");
    claims.confirmRead(cStart);
    CHECK(claims.hasFreshRead(cStart + 900ms));
    CHECK_FALSE(claims.hasFreshRead(cStart + 1100ms));
    claims.setMembers({"b", "c"});
    claims.reportedLiveBy("b", cStart);
    CHECK_FALSE(claims.isReportedLiveByAll(1500ms, cStart));
    claims.reportedLiveBy("c", cStart);
    CHECK(claims.isReportedLiveByAll(1500ms, cStart + 1400ms));
    CHECK_FALSE(claims.isReportedLiveByAll(1500ms, cStart + 1600ms));
}

// Failure: a holder that its whole domain reports live goes on for 11 s after its last read, while
// an instance of another domain, which it does not hear of, has taken its engine.
TEST_CASE(
    "a successor from another failure domain waits until the holder's longest right has ended")
{
    const fleet::claim_options options;
    const claim self{"a", "10.0.0.1", 7, 0, "north"};
    fleet::holder_claims claims(options, self, "north");
    claims.applyClaim("e1", claim{"b", "10.0.0.2", 1, 5, "south"}, cStart);
    claims.confirmRead(cStart);
    claims.setRecorded(cStart);
    claims.messageReceived("b", cStart);
    CHECK(claims.enginesToClaim(cEngine, {}, cStart + options.silenceTimeout).empty());
    const core::time_point taken = cStart + options.foreignSilenceTimeout;
    CHECK(claims.enginesToClaim(cEngine, {}, taken) == std::vector<std::string>{"e1"});
    claims.applyClaim("e1", claim{"a", "10.0.0.1", 7, 9, "north"}, taken);
    const core::duration wait = options.maxReadAgeWhenLive + options.handoverPause;
    claims.confirmRead(taken + wait);
    CHECK_FALSE(claims.mayOrder("e1", taken + wait));
    claims.confirmRead(taken + wait + options.handoverMargin);
    CHECK(claims.mayOrder("e1", taken + wait + options.handoverMargin));
    // The record of an earlier release names no domain: the longer wait is the safe one.
    fleet::holder_claims after(options, self, "north");
    after.applyClaim("e1", claim{"b", "10.0.0.2", 1, 5}, cStart);
    after.applyClaim("e1", claim{"a", "10.0.0.1", 7, 9, "north"}, cStart);
    after.confirmRead(cStart + 8s);
    CHECK_FALSE(after.mayOrder("e1", cStart + 8s));
}

// Failure: the instances of a domain claim one after the other, which takes 8 s for 79 of them.
TEST_CASE("one instance claims the engines of a failure domain for all its instances")
{
    const fleet::claim_options options;
    const claim self{"i0", "10.0.0.0", 7, 0, "north"};
    fleet::holder_claims claims(options, self, "north");
    claims.confirmRead(cStart);
    std::vector<fleet::fleet_node> engines;
    engines.reserve(159);
    for (int index = 0; index < 158; ++index)
        engines.push_back({"e" + std::to_string(index), "north"});
    engines.push_back({"far", "south"});
    std::vector<fleet::live_candidate> live{{"s", "south", "10.0.1.1", 3}};
    std::vector<fleet::fleet_node> liveNodes{{"s", "south"}};
    for (int index = 1; index < 79; ++index) {
        const std::string name = "i" + std::to_string(index);
        live.push_back({name, "north", "10.0.0." + std::to_string(index), 5});
        liveNodes.push_back({name, "north"});
    }
    CHECK(claims.claimsForLocalPeers(engines, live, cStart).empty());
    const core::time_point later = cStart + options.firstClaimDelay;
    const auto own = claims.enginesToClaim(engines, liveNodes, later);
    const auto others = claims.claimsForLocalPeers(engines, live, later);
    CHECK(own.size() + others.size() == 158);
    std::map<std::string, int> held;
    for (const fleet::engine_claim &made : others) {
        CHECK(made.holder.failureDomain == "north");
        CHECK(made.holder.incarnation == 5);
        ++held[made.holder.instance];
    }
    CHECK_FALSE(held.contains("s"));
    CHECK(held.size() > 50);
}

TEST_CASE("a restarted instance gets its engines back, whoever claims them for it")
{
    const claim self{"a", "10.0.0.1", 7, 0, "north"};
    fleet::holder_claims claims({}, self, "north");
    claims.applyClaim("e1", claim{"b", "10.0.0.2", 4, 5, "north"}, cStart);
    claims.confirmRead(cStart);
    const std::vector<fleet::live_candidate> same{{"b", "north", "10.0.0.2", 4}};
    CHECK(claims.claimsForLocalPeers(cEngine, same, cStart + 1s).empty());
    const std::vector<fleet::live_candidate> restarted{{"b", "north", "10.0.0.2", 6}};
    const auto made = claims.claimsForLocalPeers(cEngine, restarted, cStart + 1s);
    REQUIRE(made.size() == 1);
    CHECK(made.front().holder == claim{"b", "10.0.0.2", 6, 0, "north"});
    // A claim by the restarted instance itself is not replaced by one for its former process.
    claims.applyClaim("e1", claim{"b", "10.0.0.2", 6, 9, "north"}, cStart + 1s);
    CHECK(claims.claimsForLocalPeers(cEngine, same, cStart + 1s).empty());
}
