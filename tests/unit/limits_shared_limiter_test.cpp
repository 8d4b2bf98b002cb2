// Guards against requests that are refused too early, decided out of order or wait forever, and
// against tokens that are charged twice or not refunded.

#include "corneltally/limits/shared_limiter.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using limits::fleet_share;
using limits::limiter_outcome;
using limits::shared_limiter;

namespace {

const core::time_point cStart{1000s};
/// Time at which the share (250 tokens/s, burst 1,000) is full.
const core::time_point cFull = cStart + 60s;

shared_limiter makeLimiter()
{
    return {1000, 4000, 0.25, cStart, 1};
}

} // namespace

TEST_CASE("a request waits for the refill and is admitted when it is due")
{
    shared_limiter limiter = makeLimiter();
    limiter.submit("r1", 1000, cFull + 10s, cFull);
    limiter.submit("r2", 50, cFull + 10s, cFull);
    auto actions = limiter.poll(cFull);
    REQUIRE(actions.decisions.size() == 1);
    CHECK(actions.decisions[0].requestId == "r1");
    REQUIRE(actions.wakeAt);
    CHECK(*actions.wakeAt == cFull + 200ms);
    CHECK(limiter.poll(cFull + 199ms).decisions.empty());
    actions = limiter.poll(cFull + 200ms);
    REQUIRE(actions.decisions.size() == 1);
    CHECK(actions.decisions[0].outcome == limiter_outcome::admitted);
}

TEST_CASE("a request is refused after 250 ms or at its deadline, with the time until the refill")
{
    shared_limiter limiter = makeLimiter();
    limiter.submit("r1", 1000, cFull + 10s, cFull);
    limiter.submit("r2", 500, cFull + 10s, cFull);
    limiter.submit("r3", 500, cFull + 100ms, cFull);
    limiter.poll(cFull);
    CHECK(limiter.poll(cFull + 249ms).decisions.empty());
    const auto actions = limiter.poll(cFull + 250ms);
    REQUIRE(actions.decisions.size() == 2);
    CHECK(actions.decisions[0].outcome == limiter_outcome::refused);
    // 1,000 tokens are needed and 62.5 are available.
    CHECK(actions.decisions[0].retryAfter == 3750ms);
    CHECK(limiter.waiting() == 0);
}

TEST_CASE("small requests do not overtake a large waiting one")
{
    shared_limiter limiter = makeLimiter();
    limiter.submit("r1", 1000, cFull + 10s, cFull);
    limiter.poll(cFull);
    limiter.submit("large", 40, cFull + 10s, cFull + 1ms);
    limiter.submit("small", 1, cFull + 10s, cFull + 1ms);
    CHECK(limiter.poll(cFull + 10ms).decisions.empty());
    const auto actions = limiter.poll(cFull + 170ms);
    REQUIRE(actions.decisions.size() == 2);
    CHECK(actions.decisions[0].requestId == "large");
    CHECK(actions.decisions[1].requestId == "small");
}

TEST_CASE("a request above the burst of the account is refused at once")
{
    shared_limiter limiter = makeLimiter();
    limiter.submit("r1", 4001, cFull + 10s, cFull);
    const auto actions = limiter.poll(cFull);
    REQUIRE(actions.decisions.size() == 1);
    CHECK(actions.decisions[0].outcome == limiter_outcome::too_large);
}

TEST_CASE("peers are asked one after the other until the requests can be served")
{
    shared_limiter limiter = makeLimiter();
    limiter.setPeers({"entry-2", "entry-3"});
    limiter.submit("r1", 1500, cFull + 10s, cFull);
    const auto first = limiter.poll(cFull);
    REQUIRE(first.loanRequest);
    CHECK(first.loanRequest->lender == "entry-2");
    CHECK(first.loanRequest->tokens == Approx(500));
    CHECK_FALSE(limiter.poll(cFull + 1ms).loanRequest);

    // After an empty answer the next peer is asked at once.
    limiter.loanReceived("entry-2", first.loanRequest->loanId, {}, cFull + 2ms);
    const auto second = limiter.poll(cFull + 2ms);
    REQUIRE(second.loanRequest);
    CHECK(second.loanRequest->lender == "entry-3");
    CHECK(second.loanRequest->loanId != first.loanRequest->loanId);
    limiter.loanReceived("entry-3", second.loanRequest->loanId,
                         {.rate = 10, .burst = 600, .tokens = 600, .validFor = 2s}, cFull + 4ms);
    const auto last = limiter.poll(cFull + 4ms);
    REQUIRE(last.decisions.size() == 1);
    CHECK(last.decisions[0].outcome == limiter_outcome::admitted);
    CHECK_FALSE(last.loanRequest);
}

TEST_CASE("the next peer is asked when a peer does not answer")
{
    shared_limiter limiter = makeLimiter();
    limiter.setPeers({"entry-2", "entry-3"});
    limiter.submit("r1", 1500, cFull + 10s, cFull);
    std::vector<std::string> asked;
    for (core::time_point now = cFull; now < cFull + 200ms; now += 1ms) {
        if (const auto request = limiter.poll(now).loanRequest)
            asked.push_back(request->lender);
    }
    CHECK(asked.size() >= 4);
    CHECK(asked.size() <= 8);
}

TEST_CASE("an idle instance lends, one whose own requests wait does not")
{
    shared_limiter limiter = makeLimiter();
    const fleet_share::loan loan = limiter.lend("entry-2", 1, 100, 400, cFull);
    CHECK(loan.rate == Approx(100));
    CHECK(loan.tokens == Approx(400));
    CHECK(loan.validFor == fleet_share::cLoanDuration);
    limiter.submit("r1", 900, cFull + 10s, cFull);
    limiter.poll(cFull);
    CHECK(limiter.lend("entry-2", 2, 100, 100, cFull) == fleet_share::loan{});
}

TEST_CASE("a cancelled or settled request is refunded once")
{
    shared_limiter limiter = makeLimiter();
    limiter.submit("r1", 600, cFull + 10s, cFull);
    limiter.submit("r2", 400, cFull + 10s, cFull);
    limiter.submit("r3", 100, cFull + 10s, cFull);
    CHECK(limiter.poll(cFull).decisions.size() == 2);
    CHECK(limiter.cancel("r3", cFull));
    CHECK(limiter.waiting() == 0);
    CHECK_FALSE(limiter.cancel("r1", cFull));
    CHECK(limiter.share().available(cFull) == Approx(600));
    limiter.settle("r1", 0, cFull);
    limiter.settle("r2", 100, cFull);
    limiter.settle("r2", 100, cFull);
    limiter.settle("", 0, cFull);
    CHECK(limiter.share().available(cFull) == Approx(900));
}

TEST_CASE("charges that are never settled expire")
{
    shared_limiter limiter = makeLimiter();
    limiter.submit("r1", 600, cFull + 10s, cFull);
    limiter.poll(cFull);
    CHECK(limiter.share().openCharges() == 1);
    limiter.submit("r2", 1, cFull + 3h, cFull + 3h);
    limiter.poll(cFull + 3h);
    CHECK(limiter.share().openCharges() == 1);
}
