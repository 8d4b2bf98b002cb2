// Guards against sending full traffic to a failing endpoint, or to a recovering one all at once.

#include "corneltally/scheduling/endpoint_health.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using scheduling::endpoint_health;

TEST_CASE("after three consecutive failures an endpoint gets single probes with a back-off")
{
    endpoint_health health;
    core::time_point now(1000s);
    for (int failure = 0; failure < 3; ++failure) {
        REQUIRE(health.mayStart(now));
        health.started();
        health.failed(now);
    }
    CHECK_FALSE(health.mayStart(now));
    CHECK(health.weight(now) == 0);
    core::duration expected = 250ms;
    for (int probe = 0; probe < 8; ++probe) {
        CHECK(health.nextProbe() - now == expected);
        now = health.nextProbe();
        REQUIRE(health.mayStart(now));
        health.started();
        CHECK_FALSE(health.mayStart(now));
        health.failed(now);
        expected = std::min<core::duration>(expected * 2, 8s);
    }
}

TEST_CASE("each success doubles the allowance of a recovering endpoint up to full traffic")
{
    endpoint_health health;
    core::time_point now(1000s);
    for (int failure = 0; failure < 3; ++failure)
        health.failed(now);
    now = health.nextProbe();
    int allowed = 1;
    while (health.isProbing()) {
        int started = 0;
        while (health.mayStart(now) && started < 1000) {
            health.started();
            ++started;
        }
        CHECK(started == allowed);
        for (int ended = 1; ended < started; ++ended)
            health.abandoned();
        health.succeeded(10ms, now);
        allowed *= 2;
        REQUIRE(allowed <= 64);
    }
    CHECK(health.mayStart(now));
    CHECK(health.weight(now) > 0.5);
}

TEST_CASE("requests that fail together raise the back-off only once")
{
    endpoint_health health;
    const core::time_point now(1000s);
    for (int request = 0; request < 50; ++request)
        health.started();
    for (int request = 0; request < 50; ++request)
        health.failed(now);
    CHECK(health.nextProbe() - now == 250ms);
}

TEST_CASE("errors and long latencies lower the weight, successes restore it")
{
    endpoint_health health;
    const core::time_point now(1000s);
    for (int round = 0; round < 20; ++round) {
        health.failed(now);
        health.succeeded(10ms, now);
    }
    CHECK(health.weight(now) < 0.7);
    for (int round = 0; round < 100; ++round)
        health.succeeded(10ms, now);
    CHECK(health.weight(now) > 0.99);
    CHECK(health.weight(now, 10ms) > 0.99);
    CHECK(health.weight(now, 2ms) == Approx(0.4).margin(0.01));
}
