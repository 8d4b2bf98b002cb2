// Guards against requests that run twice, against synchronised retries, and against failed calls of
// application services that are reported as "not run" without proof.

#include "corneltally/endpoint/service_client.h"
#include "corneltally/entry/dispatch_rules.h"

#include <array>
#include <random>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace corneltally::entry;
using namespace std::chrono_literals;
using endpoint::classifyResponse;
using endpoint::service_outcome;

TEST_CASE("a run with an unknown outcome is repeated on repeatable routes only")
{
    const failed_attempt unknown{.outcome = run_outcome::unknown, .remaining = 1s};
    CHECK_FALSE(mayRepeat(unknown));
    failed_attempt repeatable = unknown;
    repeatable.repeatable = true;
    CHECK(mayRepeat(repeatable));
    repeatable.partDelivered = true;
    CHECK_FALSE(mayRepeat(repeatable));
}

TEST_CASE("a request that certainly did not run may be sent again")
{
    failed_attempt refused{.outcome = run_outcome::not_run, .remaining = 1s};
    CHECK(mayRepeat(refused));
    refused.attempts = cMaxAttempts;
    CHECK_FALSE(mayRepeat(refused));
    refused.attempts = 1;
    refused.remaining = 0s;
    CHECK_FALSE(mayRepeat(refused));
}

TEST_CASE("retry delays are spread over a growing interval")
{
    std::mt19937_64 random(1);
    core::duration greatest{};
    core::duration least = 1h;
    for (int round = 0; round < 1'000; ++round) {
        const core::duration delay = retryDelay(3, random());
        greatest = std::max(greatest, delay);
        least = std::min(least, delay);
        CHECK(retryDelay(1, random()) <= 20ms);
        CHECK(retryDelay(30, random()) <= 1s);
    }
    CHECK(least < 10ms);
    CHECK(greatest > 60ms);
    CHECK(greatest <= 80ms);
}

TEST_CASE("endpoints without a failed attempt and in the own failure domain are preferred")
{
    std::array<service_option, 3> options{{
        {.name = "far", .outstanding = 0},
        {.name = "near", .sameDomain = true, .outstanding = 9},
        {.name = "failed", .sameDomain = true, .excluded = true},
    }};
    CHECK(chooseService(options, 5) == 1U);
    options[1].mayStart = false;
    CHECK(chooseService(options, 5) == 0U);
    options[0].healthWeight = 0;
    CHECK(chooseService(options, 5) == 2U);
    options[2].mayStart = false;
    CHECK_FALSE(chooseService(options, 5).has_value());
}

TEST_CASE("requests spread over equal application endpoints")
{
    const std::array<service_option, 2> options{{{.name = "a"}, {.name = "b"}}};
    CHECK(chooseService(options, 0) != chooseService(options, 1));
}

TEST_CASE("the status from a replaced owner does not overwrite that of its successor")
{
    CHECK(replacesStatus(1024, true, 2048));
    CHECK_FALSE(replacesStatus(2048, true, 1024));
    CHECK(replacesStatus(2048, false, 1024));
}

TEST_CASE("a failed service call counts as not run only with proof")
{
    CHECK(classifyResponse({.outcome = http::call_outcome::not_sent}, "r").outcome
          == service_outcome::not_run);
    CHECK(classifyResponse({.outcome = http::call_outcome::interrupted}, "r").outcome
          == service_outcome::unknown);
    http::response answer{.outcome = http::call_outcome::completed, .status = 503};
    CHECK(classifyResponse(answer, "r").outcome == service_outcome::unknown);
    answer.headers = {{"x-not-run", "true"}, {"Retry-After", "4"}};
    CHECK(classifyResponse(answer, "r").outcome == service_outcome::not_run);
    CHECK(classifyResponse(answer, "r").retryAfterSeconds == 4);
    answer.status = 500;
    CHECK(classifyResponse(answer, "r").outcome == service_outcome::unknown);
    answer.status = 409;
    CHECK(classifyResponse(answer, "r").outcome == service_outcome::answered);
}

TEST_CASE("the answer of another request is not passed on")
{
    const http::response answer{.outcome = http::call_outcome::completed,
                                .status = 200,
                                .headers = {{"X-Request-Id", "other"}},
                                .body = "secret"};
    CHECK(classifyResponse(answer, "r").outcome == service_outcome::unknown);
    CHECK(classifyResponse(answer, "r").body.empty());
    CHECK(classifyResponse(answer, "other").outcome == service_outcome::answered);
}
