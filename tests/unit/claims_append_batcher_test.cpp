// Guards against appends that are lost, in flight more than once at a time, or never retried.

#include "corneltally/claims/append_batcher.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace corneltally::claims;
using namespace std::chrono_literals;

namespace {

const core::time_point cStart{1000s};

claim_record claimOf(const std::string &inId)
{
    return {.key = "k", .claimId = inId, .instance = "entry-1", .incarnation = 7};
}

} // namespace

TEST_CASE("a batch is sent after 20 ms or with 64 records")
{
    append_batcher batcher("entry-1-7");
    batcher.add(claimOf("c0"), cStart);
    CHECK_FALSE(batcher.poll(cStart + 19ms));
    CHECK(batcher.nextPoll() == cStart + 20ms);
    for (int index = 1; index < 70; ++index)
        batcher.add(claimOf(std::string("c").append(std::to_string(index))), cStart + 5ms);
    const auto batch = batcher.poll(cStart + 5ms);
    REQUIRE(batch);
    CHECK(batch->records.size() == 64);
    // One append at a time.
    CHECK_FALSE(batcher.poll(cStart + 1s));
    batcher.appended(batch->id);
    const auto rest = batcher.poll(cStart + 1s);
    REQUIRE(rest);
    CHECK(rest->records.size() == 6);
    CHECK(rest->id != batch->id);
}

TEST_CASE("a batch stays below its size limit")
{
    append_batcher batcher("entry-1-7");
    for (int index = 0; index < 64; ++index) {
        claim_record record = claimOf(std::string("c").append(std::to_string(index)));
        record.action = claim_action::done;
        record.body.assign(cMaxClaimBody, '\xff');
        batcher.add(record, cStart);
    }
    const auto batch = batcher.poll(cStart);
    REQUIRE(batch);
    CHECK(encodeBatch(*batch).size() <= append_batcher::cMaxBytes);
    CHECK(batcher.queued() == 64 - batch->records.size());
}

TEST_CASE("after a lost answer the stream is read before the records are sent again")
{
    append_batcher batcher("entry-1-7");
    batcher.add(claimOf("c1"), cStart);
    const auto batch = batcher.poll(cStart + 20ms);
    REQUIRE(batch);
    batcher.answerLost(batch->id, cStart + 30ms);
    CHECK(batcher.needsRead());
    CHECK_FALSE(batcher.poll(cStart + 10s));
    SECTION("the append took effect")
    {
        batcher.batchRead(*batch);
        batcher.readToEnd(cStart + 31ms, cStart + 40ms);
        CHECK_FALSE(batcher.poll(cStart + 10s));
        CHECK(batcher.queued() == 0);
        CHECK(batcher.failures() == 0);
    }
    SECTION("the append took no effect")
    {
        // A read that was sent before the loss does not show whether the append took effect.
        batcher.readToEnd(cStart + 29ms, cStart + 35ms);
        CHECK_FALSE(batcher.poll(cStart + 10s));
        batcher.readToEnd(cStart + 31ms, cStart + 40ms);
        CHECK(batcher.failures() == 1);
        CHECK_FALSE(batcher.poll(cStart + 41ms));
        const auto again = batcher.poll(cStart + 10s);
        REQUIRE(again);
        CHECK(again->records == batch->records);
    }
    SECTION("the append takes effect after its records were queued again")
    {
        batcher.readToEnd(cStart + 31ms, cStart + 40ms);
        batcher.batchRead(*batch);
        CHECK(batcher.queued() == 0);
    }
}

TEST_CASE("answers to earlier batches are ignored")
{
    append_batcher batcher("entry-1-7");
    batcher.add(claimOf("c1"), cStart);
    const auto first = batcher.poll(cStart + 20ms);
    batcher.batchRead(*first);
    batcher.add(claimOf("c2"), cStart + 30ms);
    const auto second = batcher.poll(cStart + 50ms);
    batcher.answerLost(first->id, cStart + 60ms);
    batcher.refused(first->id, cStart + 60ms);
    CHECK_FALSE(batcher.needsRead());
    CHECK(batcher.sentAt() == cStart + 50ms);
}

TEST_CASE("a queued claim can be withdrawn; once sent, it may still appear on the stream")
{
    append_batcher batcher("entry-1-7");
    batcher.add(claimOf("c1"), cStart);
    batcher.add(claimOf("c2"), cStart);
    CHECK(batcher.withdraw("c1"));
    CHECK_FALSE(batcher.withdraw("c1"));
    const auto batch = batcher.poll(cStart + 20ms);
    REQUIRE(batch->records.size() == 1);
    CHECK_FALSE(batcher.withdraw("c2"));
    batcher.answerLost(batch->id, cStart + 30ms);
    batcher.readToEnd(cStart + 31ms, cStart + 32ms);
    CHECK_FALSE(batcher.withdraw("c2"));
    CHECK(batcher.queued() == 0);
}

TEST_CASE("refused appends are retried with exponential delays")
{
    append_batcher batcher("entry-1-7");
    batcher.add(claimOf("c1"), cStart);
    core::time_point now = cStart + 20ms;
    for (const core::duration delay : {100ms, 200ms, 400ms, 800ms, 1600ms, 2000ms, 2000ms}) {
        const auto batch = batcher.poll(now);
        REQUIRE(batch);
        batcher.refused(batch->id, now);
        CHECK(batcher.nextPoll() == now + delay);
        now += delay;
    }
}
