// Guards against buckets that admit more than their rate and burst, and against retries beyond the
// budget.

#include "corneltally/limits/retry_budget.h"
#include "corneltally/limits/token_bucket.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using limits::retry_budget;
using limits::token_bucket;

namespace {

const core::time_point cStart{1000s};

} // namespace

TEST_CASE("a bucket starts empty and fills at its rate up to its burst")
{
    token_bucket bucket(100, 300, cStart);
    CHECK_FALSE(bucket.tryTake(1, cStart));
    CHECK(bucket.available(cStart + 1s) == Approx(100));
    CHECK(bucket.available(cStart + 10s) == Approx(300));
    CHECK(bucket.tryTake(300, cStart + 10s));
    CHECK_FALSE(bucket.tryTake(1, cStart + 10s));
    // A time before the latest one changes nothing.
    CHECK(bucket.available(cStart + 5s) == Approx(0));
}

TEST_CASE("timeUntil returns when the bucket contains an amount")
{
    token_bucket bucket(100, 300, cStart);
    CHECK(bucket.timeUntil(150, cStart) == 1500ms);
    CHECK(bucket.timeUntil(100, cStart + 1s) == 0s);
    CHECK(bucket.timeUntil(301, cStart) == core::duration::max());
    CHECK(token_bucket(0, 300, cStart).timeUntil(1, cStart) == core::duration::max());
    const core::time_point now = cStart + 1s;
    CHECK(bucket.tryTake(270, now + bucket.timeUntil(270, now)));
}

TEST_CASE("a debt is paid by the refill and remains after a clear")
{
    token_bucket bucket(100, 300, cStart);
    bucket.take(200, cStart + 1s);
    bucket.clear(cStart + 1s);
    CHECK(bucket.available(cStart + 1s) == Approx(-100));
    CHECK(bucket.available(cStart + 2s) == Approx(0));
}

TEST_CASE("a smaller burst drops what exceeds it")
{
    token_bucket bucket(100, 300, cStart);
    bucket.setLimits(50, 120, cStart + 10s);
    CHECK(bucket.available(cStart + 10s) == Approx(120));
    bucket.give(500, cStart + 10s);
    CHECK(bucket.available(cStart + 10s) == Approx(120));
}

TEST_CASE("rounding errors of a burst do not block a take")
{
    token_bucket bucket(1, 49 * (1.0 / 49), cStart);
    CHECK(bucket.tryTake(1, cStart + 10s));
}

TEST_CASE("retries stay within a tenth of the requests")
{
    retry_budget budget(cStart);
    int retries = 0;
    for (int request = 0; request < 10'000; ++request) {
        // 1,000 requests a second, each of which attempts a retry.
        const core::time_point now = cStart + request * 1ms;
        budget.requestStarted(now);
        retries += budget.tryRetry(now) ? 1 : 0;
    }
    CHECK(retries <= 10'000 * retry_budget::cRatio + 10 * retry_budget::cMinimumRate + 1);
    CHECK(retries >= 990);
}

TEST_CASE("an idle instance may retry, but saves up at most the burst")
{
    retry_budget budget(cStart);
    CHECK_FALSE(budget.tryRetry(cStart));
    CHECK(budget.tryRetry(cStart + 2s));
    CHECK(budget.available(cStart + 1h) == Approx(retry_budget::cBurst));
}

TEST_CASE("retry delays double up to the limit and are spread over the whole range")
{
    CHECK(limits::retryDelay(0, 100ms, 1s, 0.0) == 0ms);
    CHECK(limits::retryDelay(0, 100ms, 1s, 0.5) == 50ms);
    CHECK(limits::retryDelay(2, 100ms, 1s, 0.5) == 200ms);
    CHECK(limits::retryDelay(60, 100ms, 1s, 0.5) == 500ms);
}
