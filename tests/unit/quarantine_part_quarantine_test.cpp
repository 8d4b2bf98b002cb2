// Tests which prompt parts are quarantined after endpoints were lost, on a virtual clock.

#include "corneltally/quarantine/part_quarantine.h"

#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace corneltally::quarantine;
using namespace std::chrono_literals;

namespace {

using admission = part_quarantine::admission;

std::vector<shared_part> partsOf(const std::vector<std::string> &inIds)
{
    std::vector<shared_part> parts;
    parts.reserve(inIds.size());
    for (const std::string &id : inIds)
        parts.emplace_back(id, parts.empty() ? 0 : parts.back().digest);
    return parts;
}

struct quarantine_fixture
{
    core::time_point now = core::time_point(1h);
    part_quarantine quarantine{"a"};
    start_digest nextStart = 1;

    /// An endpoint is lost with requests of these parts in flight.
    start_digest lose(const std::vector<std::vector<std::string>> &inRequests)
    {
        const start_digest start = nextStart++;
        for (const auto &ids : inRequests)
            quarantine.endpointLost(start, partsOf(ids), now);
        return start;
    }

    void answer(const std::vector<std::string> &inIds, start_digest inStart = 1000)
    {
        quarantine.answered(inStart, partsOf(inIds), now - 100ms, now);
    }

    void advance(core::duration inTime)
    {
        for (const core::time_point end = now + inTime; now < end; now += 100ms)
            quarantine.update(now);
    }

    admission admit(const std::vector<std::string> &inIds)
    {
        return quarantine.admit(partsOf(inIds), now);
    }
};

} // namespace

TEST_CASE("a part is refused after three endpoints were lost and no answer came")
{
    quarantine_fixture fixture;
    fixture.lose({{"common", "dead"}, {"common", "sound"}});
    fixture.advance(1s);
    fixture.answer({"common", "sound"});
    fixture.lose({{"common", "dead"}});
    fixture.advance(1s);
    CHECK(fixture.admit({"common", "dead"}) == admission::allowed);
    fixture.lose({{"common", "dead"}});
    fixture.advance(200ms);
    CHECK(fixture.admit({"common", "dead"}) == admission::refused);
    CHECK(fixture.quarantine.holdLeft(partsOf({"common", "dead"}), fixture.now) > 55s);
    CHECK(fixture.admit({"common", "sound"}) == admission::allowed);
}

// Failure: a sound part that shares prompts with the deadly one is refused along with it.
TEST_CASE("of parts that were lost together only the deepest is refused")
{
    quarantine_fixture fixture;
    for (int loss = 0; loss < 3; ++loss) {
        fixture.lose({{"common", "caller", "dead"}});
        fixture.advance(500ms);
    }
    CHECK(fixture.admit({"common", "caller", "dead"}) == admission::refused);
    CHECK(fixture.admit({"common", "caller"}) == admission::allowed);
    CHECK(fixture.admit({"common"}) == admission::allowed);
}

// Failure: a part is refused instead of the deadly one behind it, since one more endpoint ended
// with it for another reason.
TEST_CASE("one loss more does not make the part before the deadly one the suspect")
{
    quarantine_fixture fixture;
    fixture.lose({{"common", "caller"}});
    for (int loss = 0; loss < 3; ++loss) {
        fixture.advance(500ms);
        fixture.lose({{"common", "caller", "dead"}});
    }
    fixture.advance(1s);
    CHECK(fixture.admit({"common", "caller", "dead"}) == admission::refused);
    CHECK(fixture.admit({"common", "caller"}) == admission::allowed);
}

// Failure: the wrong one of two parts is refused, and the deadly one goes on to end endpoints.
TEST_CASE("losses that the refused part does not explain show the deadly one")
{
    quarantine_fixture fixture;
    for (int loss = 0; loss < 3; ++loss) {
        fixture.lose({{"common", "dead", "child"}});
        fixture.advance(500ms);
    }
    CHECK(fixture.admit({"common", "dead", "child"}) == admission::refused);
    for (int loss = 0; loss < 3; ++loss) {
        fixture.lose({{"common", "dead"}});
        fixture.advance(500ms);
        fixture.answer({"common"});
    }
    CHECK(fixture.admit({"common", "dead"}) == admission::refused);
    CHECK(fixture.admit({"common", "child"}) == admission::allowed);
    CHECK(fixture.admit({"common"}) == admission::allowed);
}

// Failure: a part of which only a few requests come is refused since it was on endpoints that
// another part ended.
TEST_CASE("a part is not refused for losses that another one explains")
{
    quarantine_fixture fixture;
    for (int loss = 0; loss < 5; ++loss) {
        fixture.lose(loss < 3 ? std::vector<std::vector<std::string>>{{"dead"}, {"rare"}}
                              : std::vector<std::vector<std::string>>{{"dead"}});
        if (loss < 2)
            fixture.advance(200ms);
    }
    fixture.advance(2s);
    CHECK(fixture.admit({"dead"}) == admission::refused);
    CHECK(fixture.admit({"rare"}) == admission::allowed);
}

TEST_CASE("two deadly parts are both refused")
{
    quarantine_fixture fixture;
    for (int loss = 0; loss < 6; ++loss) {
        fixture.lose({{"common", loss % 2 == 0 ? "dead1" : "dead2"}});
        fixture.advance(500ms);
        fixture.answer({"common"});
    }
    CHECK(fixture.admit({"common", "dead1"}) == admission::refused);
    CHECK(fixture.admit({"common", "dead2"}) == admission::refused);
    CHECK(fixture.admit({"common"}) == admission::allowed);
}

// Failure: the first part of a kind of request is refused because a failure domain ended with all
// of its endpoints at once.
TEST_CASE("endpoints that are lost together count as one loss")
{
    quarantine_fixture fixture;
    for (int endpoint = 0; endpoint < 20; ++endpoint)
        fixture.lose({{"common", "p" + std::to_string(endpoint)}});
    fixture.advance(5s);
    CHECK(fixture.admit({"common"}) == admission::allowed);
}

// Failure: broken answers of a faulty endpoint that goes on count as its crash.
TEST_CASE("a loss does not count if the same start of the endpoint answers later")
{
    quarantine_fixture fixture;
    for (int loss = 0; loss < 4; ++loss) {
        const start_digest start = fixture.lose({{"part"}});
        fixture.advance(300ms);
        // Sent after the loss.
        fixture.quarantine.answered(start, {}, fixture.now, fixture.now);
    }
    fixture.advance(2s);
    CHECK(fixture.admit({"part"}) == admission::allowed);
    CHECK(fixture.quarantine.candidates() == 0);
}

TEST_CASE("an answer that was sent before the loss does not disprove it")
{
    quarantine_fixture fixture;
    for (int loss = 0; loss < 3; ++loss) {
        const start_digest start = fixture.lose({{"part"}});
        fixture.quarantine.answered(start, {}, fixture.now - 1s, fixture.now);
        fixture.advance(500ms);
    }
    CHECK(fixture.admit({"part"}) == admission::refused);
}

// Failure: a request that one endpoint had begun to answer, and that broke off at a second one,
// counts as an answer of the second one, whose loss then accuses no part.
TEST_CASE("an answer from before a loss does not disprove the loss itself")
{
    quarantine_fixture fixture;
    for (int loss = 0; loss < 3; ++loss) {
        fixture.lose({{"dead"}});
        fixture.quarantine.partsAnswered(partsOf({"sound"}), fixture.now);
        fixture.advance(500ms);
    }
    CHECK(fixture.admit({"dead"}) == admission::refused);
    CHECK(fixture.admit({"sound"}) == admission::allowed);
}

TEST_CASE("one instance at a time probes a part after its hold, and an answer frees it everywhere")
{
    quarantine_fixture first;
    part_quarantine second("b");
    first.quarantine.setLive({"a", "b"});
    second.setLive({"a", "b"});
    for (int loss = 0; loss < 3; ++loss) {
        first.lose({{"part"}});
        first.advance(500ms);
    }
    second.applyPeer(first.quarantine.report(), first.now);
    CHECK(second.admit(partsOf({"part"}), first.now) == admission::refused);
    first.advance(61s);
    const bool isFirst = first.admit({"part"}) == admission::probe;
    part_quarantine &prober = isFirst ? first.quarantine : second;
    part_quarantine &other = isFirst ? second : first.quarantine;
    REQUIRE(prober.admit(partsOf({"part"}), first.now) == admission::probe);
    CHECK(other.admit(partsOf({"part"}), first.now) == admission::refused);
    prober.probeStarted(partsOf({"part"}), first.now);
    CHECK(prober.admit(partsOf({"part"}), first.now) == admission::refused);
    prober.answered(1000, partsOf({"part"}), first.now, first.now);
    prober.update(first.now);
    CHECK(prober.admit(partsOf({"part"}), first.now) == admission::allowed);
    other.applyPeer(prober.report(), first.now);
    CHECK(other.admit(partsOf({"part"}), first.now) == admission::allowed);
    // An older report does not restore the quarantine.
    prober.applyPeer(other.report(), first.now);
    CHECK(prober.admit(partsOf({"part"}), first.now) == admission::allowed);
}

TEST_CASE("a failed probe doubles the hold")
{
    quarantine_fixture fixture;
    for (int loss = 0; loss < 3; ++loss) {
        fixture.lose({{"part"}});
        fixture.advance(500ms);
    }
    fixture.advance(61s);
    REQUIRE(fixture.admit({"part"}) == admission::probe);
    fixture.quarantine.probeStarted(partsOf({"part"}), fixture.now);
    fixture.lose({{"part"}});
    fixture.advance(200ms);
    CHECK(fixture.admit({"part"}) == admission::refused);
    CHECK(fixture.quarantine.holdLeft(partsOf({"part"}), fixture.now) > 115s);
}

TEST_CASE("an instance that starts learns what is in quarantine from one report")
{
    quarantine_fixture fixture;
    for (int loss = 0; loss < 3; ++loss) {
        fixture.lose({{"part"}});
        fixture.advance(500ms);
    }
    fixture.advance(20s);
    part_quarantine started("b");
    started.applyPeer(fixture.quarantine.report(), fixture.now);
    CHECK(started.admit(partsOf({"part"}), fixture.now) == admission::refused);
    CHECK(started.holdLeft(partsOf({"part"}), fixture.now)
          == fixture.quarantine.holdLeft(partsOf({"part"}), fixture.now));
}

// Failure: an instance does not tell the others that it had an answer, because it heard of the loss
// only later.
TEST_CASE("an answer from before a loss was heard of disproves it at all instances")
{
    quarantine_fixture fixture;
    part_quarantine second("b");
    fixture.lose({{"part"}});
    const quarantine_state lost = fixture.quarantine.report();
    second.answered(1000, partsOf({"part"}), fixture.now, fixture.now + 100ms);
    second.applyPeer(lost, fixture.now + 200ms);
    fixture.quarantine.applyPeer(second.report(), fixture.now + 300ms);
    CHECK(fixture.quarantine.candidates() == 0);
}

// Failure: a sound part stays refused since the answer to another instance, between its losses,
// became known only after the decision.
TEST_CASE("an answer from before the decision that arrives after it ends the quarantine")
{
    quarantine_fixture fixture;
    const auto lose = [&] {
        fixture.lose({{"sound"}});
        fixture.advance(500ms);
    };
    lose();
    lose();
    const core::time_point answeredAt = fixture.now - 100ms;
    lose();
    REQUIRE(fixture.admit({"sound"}) == admission::refused);
    part_quarantine second("b");
    second.applyPeer(fixture.quarantine.report(), fixture.now);
    REQUIRE(second.admit(partsOf({"sound"}), fixture.now) == admission::refused);
    fixture.quarantine.applyPeer(
        {.losses = {}, .answers = {{partsOf({"sound"}).front().digest, answeredAt}}, .parts = {}},
        fixture.now);
    fixture.advance(200ms);
    CHECK(fixture.admit({"sound"}) == admission::allowed);
    second.applyPeer(fixture.quarantine.report(), fixture.now);
    CHECK(second.admit(partsOf({"sound"}), fixture.now) == admission::allowed);
}

// Failure: an answer before most of the losses frees a part that has been lost often enough since.
TEST_CASE("an answer that leaves enough losses does not end the quarantine")
{
    quarantine_fixture fixture;
    fixture.lose({{"part"}});
    fixture.advance(500ms);
    const core::time_point answeredAt = fixture.now - 100ms;
    for (int loss = 0; loss < 3; ++loss) {
        fixture.lose({{"part"}});
        fixture.advance(500ms);
    }
    REQUIRE(fixture.admit({"part"}) == admission::refused);
    fixture.quarantine.applyPeer(
        {.losses = {}, .answers = {{partsOf({"part"}).front().digest, answeredAt}}, .parts = {}},
        fixture.now);
    fixture.advance(200ms);
    CHECK(fixture.admit({"part"}) == admission::refused);
}

// Failure: the request under which the last of enough endpoints was lost is sent to one more, since
// the decision follows only with the next update.
TEST_CASE("a request with a part that the next update quarantines is not repeated")
{
    quarantine_fixture fixture;
    const auto mayRepeat = [&](const std::vector<std::string> &inIds) {
        return fixture.quarantine.admit(partsOf(inIds), fixture.now, true) == admission::allowed;
    };
    for (int loss = 0; loss < 2; ++loss) {
        fixture.lose({{"common", "dead"}, {"common", "sound"}});
        CHECK(mayRepeat({"common", "dead"}));
        fixture.advance(500ms);
    }
    fixture.lose({{"common", "dead"}});
    CHECK_FALSE(mayRepeat({"common", "dead"}));
    CHECK(mayRepeat({"common", "sound"}));
    CHECK(mayRepeat({"common"}));
    CHECK(fixture.admit({"common", "dead"}) == admission::allowed);
    fixture.advance(200ms);
    CHECK(fixture.admit({"common", "dead"}) == admission::refused);
}

// Failure: a request is not repeated though answers may still come that show its parts as harmless.
TEST_CASE("a request with a suspected part is repeated until the settle time is over")
{
    quarantine_fixture fixture;
    for (int loss = 0; loss < 3; ++loss) {
        fixture.lose({{"part"}});
        fixture.advance(200ms);
    }
    CHECK(fixture.quarantine.admit(partsOf({"part"}), fixture.now, true) == admission::allowed);
}

// Failure: callers that make up parts fill the memory of the instance.
TEST_CASE("the number of remembered parts is limited")
{
    quarantine_fixture fixture;
    const quarantine_options options;
    constexpr std::size_t cParts = 100;
    for (int loss = 0; loss < 100; ++loss) {
        std::vector<std::string> ids;
        ids.reserve(cParts);
        for (std::size_t part = 0; part < cParts; ++part)
            ids.push_back(std::to_string(loss) + "/" + std::to_string(part));
        fixture.lose({ids});
        fixture.advance(100ms);
    }
    CHECK(fixture.quarantine.candidates() <= options.maxCandidates);
    fixture.advance(options.retention + 1s);
    CHECK(fixture.quarantine.candidates() == 0);
}
