// Guards against requests with the same idempotency key that run twice or block each other forever,
// and against requests that are granted without their claim on the log.

#include "corneltally/claims/claim_coordinator.h"

#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace corneltally::claims;
using namespace std::chrono_literals;
using core::duration;
using decision = claim_decision;

namespace {

const core::time_point cStart{1000s};

std::string numbered(const char *inPrefix, std::size_t inNumber)
{
    return std::string(inPrefix).append(std::to_string(inNumber));
}

/// One coordinator and a log without faults, unless a test injects them.
struct single
{
    claim_coordinator claims{"entry-1", 7, 1h};
    std::vector<stream_record> log;
    std::map<std::string, claim_coordinator::result> results;
    core::time_point now = cStart;

    single() { read(); }

    void read()
    {
        std::vector<stream_record> page;
        for (const stream_record &record : log) {
            if (record.offset >= claims.position())
                page.push_back(record);
        }
        claims.pageRead(page, log.size(), now, now);
    }
    void append(const claim_batch &inBatch)
    {
        log.push_back({.offset = log.size(),
                       .timeMs = now.time_since_epoch().count() / 1000,
                       .data = encodeBatch(inBatch)});
    }
    std::optional<claim_batch> poll(duration inLater = 0ms)
    {
        now += inLater;
        claim_coordinator::actions actions = claims.poll(now);
        for (auto &result : actions.results)
            results[result.requestId] = result;
        return actions.append;
    }
    /// Appends all queued records to the log and reads them back.
    void settle()
    {
        while (const auto batch = poll(20ms)) {
            append(*batch);
            claims.batcher().appended(batch->id);
            read();
        }
        poll();
    }
    void begin(const std::string &inId, const std::string &inDigest = "d1", duration inLimit = 10s)
    {
        claims.begin(inId, "k", inDigest, now + inLimit, now);
    }
    void add(claim_record inRecord) { append({.id = "other", .records = {std::move(inRecord)}}); }
};

} // namespace

TEST_CASE("a request is granted only after its claim was read back")
{
    single one;
    one.begin("r1");
    const auto batch = one.poll(20ms);
    REQUIRE(batch);
    one.append(*batch);
    one.claims.batcher().appended(batch->id);
    one.poll();
    CHECK(one.results.empty());
    one.read();
    one.poll();
    REQUIRE(one.results.contains("r1"));
    CHECK(one.results["r1"].decision == decision::granted);
    CHECK(one.results["r1"].claimId == batch->records.front().claimId);
}

TEST_CASE("an empty stream that begins after offset 0 counts as read")
{
    claim_coordinator claims{"entry-1", 7, 1h};
    claims.pageRead({}, 1, cStart, cStart);
    CHECK(claims.isCaughtUp());
    CHECK(claims.position() == 1);
    claims.begin("r1", "k", "d1", cStart + 10s, cStart);
    CHECK(claims.poll(cStart + 20ms).append.has_value());
}

TEST_CASE("a repeat gets the answer, and a different request a conflict")
{
    single one;
    one.begin("r1");
    one.settle();
    one.begin("r2");
    one.begin("r3", "d2");
    one.settle();
    CHECK(one.results["r3"].decision == decision::conflict);
    CHECK_FALSE(one.results.contains("r2"));
    one.claims.finish({.key = "k",
                       .claimId = one.results["r1"].claimId,
                       .status = 201,
                       .contentType = "text/plain",
                       .body = "ordered"},
                      one.now);
    one.settle();
    CHECK(one.results["r2"].decision == decision::answered);
    CHECK(one.results["r2"].status == 201);
    CHECK(one.results["r2"].body == "ordered");
    one.begin("r4");
    one.poll();
    CHECK(one.results["r4"].decision == decision::answered);
}

TEST_CASE("an answer that was not stored is reported as unknown")
{
    single one;
    one.begin("r1");
    one.settle();
    one.claims.finish({.key = "k",
                       .claimId = one.results["r1"].claimId,
                       .status = 200,
                       .body = std::string(cMaxClaimBody + 1, 'x')},
                      one.now);
    one.settle();
    one.begin("r2");
    one.poll();
    CHECK(one.results["r2"].decision == decision::unknown);
}

TEST_CASE("a waiting request ends as unknown at its deadline")
{
    single one;
    one.add({.key = "k", .claimId = "c", .instance = "entry-2", .requestDigest = "d1"});
    one.read();
    one.begin("r1");
    one.poll(9999ms);
    CHECK(one.results.empty());
    one.poll(1ms);
    CHECK(one.results["r1"].decision == decision::unknown);
    CHECK(one.claims.pending() == 0);
}

TEST_CASE("a waiting request claims a released key with a new claim id")
{
    single one;
    one.begin("r1");
    const auto batch = one.poll(20ms);
    one.add({.key = "k", .claimId = "c", .instance = "entry-2", .requestDigest = "d1"});
    one.append(*batch);
    one.read();
    one.poll();
    CHECK(one.results.empty());
    one.add({.action = claim_action::release, .key = "k", .claimId = "c"});
    one.read();
    one.settle();
    CHECK(one.results["r1"].decision == decision::granted);
    CHECK(one.results["r1"].claimId != batch->records.front().claimId);
}

TEST_CASE("a claim that is read back after its request ended is released")
{
    single one;
    one.begin("r1", "d1", 100ms);
    const auto batch = one.poll(20ms);
    REQUIRE(batch);
    SECTION("by its deadline")
    {
        one.poll(100ms);
    }
    SECTION("by a cancellation")
    {
        one.claims.cancel("r1", one.now);
    }
    SECTION("by an outage of the log")
    {
        one.claims.readFailed(one.now);
    }
    one.poll();
    CHECK(one.results["r1"].decision == decision::refused);
    one.append(*batch);
    one.read();
    one.settle();
    CHECK(one.claims.table().holders().empty());
    one.begin("r2");
    one.settle();
    CHECK(one.results["r2"].decision == decision::granted);
}

TEST_CASE("a claim that is read back after its deadline is not granted")
{
    single one;
    one.begin("r1", "d1", 100ms);
    one.append(*one.poll(20ms));
    one.now += 100ms;
    one.read();
    one.settle();
    CHECK(one.results["r1"].decision == decision::refused);
    CHECK(one.claims.table().holders().empty());
}

TEST_CASE("a cancellation that arrives after the grant releases the claim")
{
    single one;
    one.begin("r1");
    one.settle();
    CHECK(one.results["r1"].decision == decision::granted);
    one.claims.cancel("r1", one.now);
    one.settle();
    CHECK(one.claims.table().holders().empty());
}

TEST_CASE("no key is claimed until the stream is read to the end that the first page reported")
{
    claim_coordinator claims("entry-1", 7, 1h);
    const auto decisionOf = [&](const std::string &inId) {
        claims.begin(inId, "k", "d1", cStart + 10s, cStart);
        const auto actions = claims.poll(cStart);
        return actions.results.empty() ? decision::granted : actions.results.front().decision;
    };
    CHECK(decisionOf("r1") == decision::refused);
    claims.pageRead({{.offset = 0, .data = "x"}}, 2, cStart, cStart);
    CHECK_FALSE(claims.isCaughtUp());
    CHECK(decisionOf("r2") == decision::refused);
    claims.pageRead({{.offset = 1, .data = "x"}}, 3, cStart, cStart);
    CHECK(claims.isCaughtUp());
    CHECK(decisionOf("r3") != decision::refused);
    // A gap in the stream may hide claims.
    claims.pageExpired(9);
    CHECK_FALSE(claims.isCaughtUp());
}

TEST_CASE("an empty stream whose offsets do not start at 0 is read to its end")
{
    claim_coordinator claims("entry-1", 7, 1h);
    claims.pageRead({}, 1, cStart, cStart);
    CHECK(claims.isCaughtUp());
    CHECK(claims.position() == 1);
}

TEST_CASE("claims are refused with Retry-After while the log cannot be read or written")
{
    single one;
    SECTION("reads fail")
    {
        one.begin("r1");
        one.claims.readFailed(one.now);
        one.poll();
        CHECK(one.results["r1"].decision == decision::refused);
        one.begin("r2");
        one.poll();
        CHECK(one.results["r2"].retryAfter > 0ms);
        one.read();
        one.begin("r3");
        one.settle();
        CHECK(one.results["r3"].decision == decision::granted);
    }
    SECTION("appends stay without an answer")
    {
        one.begin("r1");
        REQUIRE(one.poll(20ms));
        one.poll(2999ms);
        CHECK(one.results.empty());
        one.poll(1ms);
        CHECK(one.results["r1"].decision == decision::refused);
        one.begin("r2");
        one.poll();
        CHECK(one.results["r2"].decision == decision::refused);
    }
    SECTION("appends are refused")
    {
        one.begin("r1");
        for (int attempt = 0; attempt < 2; ++attempt) {
            const auto batch = one.poll(1s);
            REQUIRE(batch);
            one.claims.batcher().refused(batch->id, one.now);
        }
        one.poll();
        CHECK(one.results["r1"].decision == decision::refused);
        one.begin("r2");
        one.poll();
        CHECK(one.results["r2"].retryAfter > 0ms);
        one.now += 1s;
        one.begin("r3");
        one.settle();
        CHECK(one.results["r3"].decision == decision::granted);
    }
}

namespace {

/// Three instances and a log that loses, delays and duplicates appends, on a virtual clock.
class fleet
{
public:
    explicit fleet(unsigned inSeed)
        : mRandom(inSeed)
    {
        for (std::size_t index = 0; index < 3; ++index)
            restart(index);
    }

    void run(duration inLength)
    {
        for (duration end = inLength; mNow < end; mNow += 5ms) {
            while (!mEvents.empty() && mEvents.begin()->first <= mNow) {
                const auto event = mEvents.extract(mEvents.begin());
                event.mapped()();
            }
            // Faults end before the run does, so that every request can be decided.
            mFaulty = mNow < end - 30s;
            if (mFaulty && chance(0.05))
                begin();
            if (mFaulty && chance(0.001))
                restart(pick(mMembers.size()));
            for (std::size_t index = 0; index < mMembers.size(); ++index)
                step(index);
        }
    }

    /// Requests that ran although an earlier request with the same key had run.
    int doubleRuns = 0;
    int runs = 0;
    int answered = 0;
    int refused = 0;

    bool allTablesEqual()
    {
        claim_table replayed(1h);
        for (const stream_record &record : mLog)
            replayed.apply(record.offset, record.timeMs, *decodeBatch(record.data));
        bool equal = true;
        for (const auto &member : mMembers)
            equal = equal && member->claims.position() == mLog.size()
                && member->claims.table().holders() == replayed.holders();
        return equal;
    }
    bool allDecided() const
    {
        return std::ranges::all_of(
            mMembers, [](const auto &inMember) { return inMember->claims.pending() == 0; });
    }

private:
    struct member
    {
        claim_coordinator claims;
        bool alive = true;
        bool reading = false;
    };
    using member_ptr = std::shared_ptr<member>;

    bool chance(double inProbability)
    {
        return std::uniform_real_distribution<double>(0, 1)(mRandom) < inProbability;
    }
    std::size_t pick(std::size_t inCount)
    {
        return std::uniform_int_distribution<std::size_t>(0, inCount - 1)(mRandom);
    }
    core::time_point local() const { return cStart + mNow; }
    duration delay() { return duration(1ms) * static_cast<long>(1 + pick(mFaulty ? 60 : 5)); }

    void restart(std::size_t inIndex)
    {
        if (mMembers.size() <= inIndex)
            mMembers.resize(inIndex + 1);
        if (mMembers[inIndex])
            mMembers[inIndex]->alive = false;
        mMembers[inIndex] = std::make_shared<member>(
            member{.claims = claim_coordinator(numbered("entry-", inIndex), ++mIncarnation, 1h)});
    }

    void begin()
    {
        const member_ptr &target = mMembers[pick(mMembers.size())];
        const std::size_t key = pick(60);
        const std::string id = numbered("r", ++mRequests);
        mKeyOf[id] = numbered("k", key);
        target->claims.begin(id, mKeyOf[id], "d", local() + 1s * static_cast<long>(1 + pick(9)),
                             local());
        if (chance(0.05))
            target->claims.cancel(id, local());
    }

    void step(std::size_t inIndex)
    {
        const member_ptr target = mMembers[inIndex];
        claim_coordinator::actions actions = target->claims.poll(local());
        for (const auto &result : actions.results)
            take(target, result);
        if (actions.append)
            send(target, *actions.append);
        if (!target->reading)
            read(target);
    }

    void send(const member_ptr &inFrom, const claim_batch &inBatch)
    {
        const bool lost = mFaulty && chance(0.15);
        const bool answerLost = lost || (mFaulty && chance(0.2));
        const bool late = mFaulty && chance(0.1);
        if (!lost)
            mEvents.emplace(mNow + delay() + (late ? 3s : 0s), [this, inBatch] {
                mLog.push_back({.offset = mLog.size(),
                                .timeMs = mNow.count() / 1000,
                                .data = encodeBatch(inBatch)});
            });
        mEvents.emplace(mNow + 70ms + delay(), [this, inFrom, inBatch, answerLost, late] {
            if (answerLost || late)
                inFrom->claims.batcher().answerLost(inBatch.id, local());
            else
                inFrom->claims.batcher().appended(inBatch.id);
        });
    }

    void read(const member_ptr &inFor)
    {
        inFor->reading = true;
        const core::time_point sentAt = local();
        mEvents.emplace(mNow + delay(), [this, inFor, sentAt] {
            const std::uint64_t from = inFor->claims.position();
            std::vector<stream_record> page(
                mLog.begin()
                    + static_cast<std::ptrdiff_t>(std::min<std::size_t>(from, mLog.size())),
                mLog.end());
            if (page.size() > 20)
                page.resize(20);
            const std::uint64_t next = mLog.size();
            const bool failed = mFaulty && chance(0.01);
            mEvents.emplace(mNow + delay(), [this, inFor, sentAt, page, next, failed] {
                inFor->reading = false;
                if (failed)
                    inFor->claims.readFailed(local());
                else
                    inFor->claims.pageRead(page, next, sentAt, local());
            });
        });
    }

    void take(const member_ptr &inFrom, const claim_coordinator::result &inResult)
    {
        const std::string key = mKeyOf[inResult.requestId];
        if (inResult.decision != decision::granted) {
            (inResult.decision == decision::answered ? answered : refused) += 1;
            return;
        }
        if (chance(0.3)) {
            inFrom->claims.release(key, inResult.claimId, local());
            return;
        }
        ++runs;
        doubleRuns += ++mRunsOf[key] > 1 ? 1 : 0;
        if (chance(0.8))
            inFrom->claims.finish(
                {.key = key, .claimId = inResult.claimId, .status = 200, .body = "done"}, local());
    }

    std::mt19937 mRandom;
    duration mNow{};
    bool mFaulty = true;
    std::multimap<duration, std::function<void()>> mEvents;
    std::vector<stream_record> mLog;
    std::vector<member_ptr> mMembers;
    std::uint64_t mIncarnation = 0;
    std::size_t mRequests = 0;
    std::map<std::string, std::string> mKeyOf;
    std::map<std::string, int> mRunsOf;
};

} // namespace

TEST_CASE("no key runs twice under lost, late and repeated appends and restarts")
{
    int runs = 0;
    int answered = 0;
    int refused = 0;
    for (unsigned seed = 1; seed <= 60; ++seed) {
        fleet instances(seed);
        instances.run(90s);
        INFO("seed " << seed);
        CHECK(instances.doubleRuns == 0);
        CHECK(instances.allDecided());
        CHECK(instances.allTablesEqual());
        runs += instances.runs;
        answered += instances.answered;
        refused += instances.refused;
    }
    // If nothing ran or nothing was repeated, the checks above would prove nothing.
    CHECK(runs > 500);
    CHECK(answered > 500);
    CHECK(refused > 500);
}
