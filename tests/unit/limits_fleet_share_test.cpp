// Guards against a fleet that spends more than rate x window + burst in any window under faults of
// messages and processes, and against refusals that loans between instances avoid.

#include "limits_fleet_fixture.h"

#include <cmath>
#include <cstdio>
#include <random>
#include <vector>

#include <catch2/catch.hpp>

using namespace limits_fixture;
using limits::fleet_share;

namespace {

const core::time_point cStart{1000s};

/// Each seed has its own mix of faults: most faults lose tokens, so that all kinds together would
/// mask each other.
fleet_options mixedFaults(unsigned inSeed)
{
    std::mt19937 random(inSeed);
    const auto oneOf = [&random](auto... inValues) {
        const std::vector values{inValues...};
        return values[std::uniform_int_distribution<std::size_t>(0, values.size() - 1)(random)];
    };
    fleet_options options;
    options.seed = inSeed;
    options.length = 30s;
    options.burst = oneOf(500.0, 1000.0, 2000.0, 4000.0);
    options.meanTokens = oneOf(20.0, 100.0);
    options.load = oneOf(1.2, 2.0, 4.0);
    options.skew = oneOf(0.0, 0.7, 1.0);
    options.idle = oneOf(0s, 2s, 8s);
    options.busy = oneOf(1s, 10s);
    options.loss = oneOf(0.0, 0.0, 0.1);
    options.duplication = oneOf(0.0, 0.0, 0.2);
    options.longDelay = oneOf(0.0, 0.0, 0.2, 0.5);
    options.pauseEvery = oneOf(0s, 0s, 5s, 20s);
    options.restartEvery = oneOf(0s, 0s, 5s, 20s);
    options.joins = oneOf(0, 0, 1) != 0;
    options.refunds = oneOf(0, 0, 1) != 0;
    return options;
}

} // namespace

TEST_CASE("no window exceeds rate x window + burst under random faults")
{
    int loans = 0;
    double closest = -1e9;
    for (unsigned seed = 1; seed <= 800; ++seed) {
        const fleet_options options = mixedFaults(seed);
        fleet_simulation fleet(options);
        fleet.run();
        loans += fleet.loansGranted;
        const double excess = fleet.excess();
        if (excess > 0.01)
            std::printf("seed %u exceeds the limit by %.1f tokens\n", seed, excess);
        closest = std::max(closest, excess);
        CHECK(excess <= 0.01);
    }
    std::printf("closest window: %.3f tokens over the limit, %d loans\n", closest, loans);
    // Without loans, or if the limit was never approached, the checks above would prove nothing.
    CHECK(loans > 10'000);
    CHECK(closest > -36); // the largest request of the smallest mean
}

TEST_CASE("loans prevent most avoidable refusals under uneven arrivals")
{
    fleet_options options;
    options.refunds = false;
    options.length = 300s;
    for (const double load : {0.5, 0.75, 0.9}) {
        options.load = load;
        int avoidable[2] = {0, 0};
        int arrivals = 0;
        for (unsigned seed = 1; seed <= 5; ++seed) {
            options.seed = seed;
            for (const bool loans : {false, true}) {
                options.loans = loans;
                fleet_simulation fleet(options);
                fleet.run();
                avoidable[loans ? 1 : 0] += fleet.avoidable;
                arrivals += loans ? fleet.arrivals : 0;
                CHECK(fleet.excess() <= 0.01);
            }
        }
        std::printf("load %.2f: %d arrivals, avoidable refusals %d without loans, %d with loans, "
                    "ratio %.3f\n",
                    load, arrivals, avoidable[0], avoidable[1],
                    avoidable[0] > 0 ? static_cast<double>(avoidable[1]) / avoidable[0] : 0.0);
        CHECK(avoidable[1] * 5 < avoidable[0]);
    }
}

TEST_CASE("a share starts empty and does not refill for the duration of a loan")
{
    fleet_share share(1000, 4000, 0.25, cStart);
    CHECK(share.available(cStart + 2s) == Approx(0));
    CHECK(share.available(cStart + 3s) == Approx(250));
    CHECK(share.available(cStart + 60s) == Approx(1000));
    CHECK(share.rate(cStart + 60s) == Approx(250));
}

TEST_CASE("a lender subtracts a loan first and gets it back after its duration")
{
    fleet_share share(1000, 4000, 0.25, cStart);
    const core::time_point now = cStart + 60s;
    const auto loan = share.lend("entry-2", 1, 200, 700, now);
    REQUIRE(loan);
    CHECK(loan->rate == Approx(200));
    CHECK(loan->tokens == Approx(700));
    CHECK(share.available(now) == Approx(300));
    CHECK(share.rate(now) == Approx(50));
    CHECK_FALSE(share.lend("entry-2", 1, 50, 100, now));
    CHECK(share.rate(now + 2s) == Approx(250));
    // The bucket refilled at the remaining rate, up to the remaining burst of 300.
    CHECK(share.available(now + 2s) == Approx(300));
}

TEST_CASE("a loan ends its duration after the request, however late the answer is")
{
    fleet_share share(1000, 4000, 0, cStart);
    share.loanRequested("entry-2", 7, cStart);
    share.loanRequested("entry-2", 8, cStart);
    const fleet_share::loan loan{.rate = 100, .burst = 500, .tokens = 500, .validFor = 2s};
    CHECK_FALSE(share.loanReceived("entry-3", 7, loan, cStart + 1s));
    CHECK_FALSE(share.loanReceived("entry-2", 9, loan, cStart + 1s));
    CHECK(share.loanReceived("entry-2", 7, loan, cStart + 1500ms));
    CHECK_FALSE(share.loanReceived("entry-2", 7, loan, cStart + 1500ms));
    CHECK(share.available(cStart + 1900ms) == Approx(500));
    CHECK(share.available(cStart + 2s) == Approx(0));
    CHECK_FALSE(share.loanReceived("entry-2", 8, loan, cStart + 2s));
}

TEST_CASE("loans with invalid values are rejected")
{
    fleet_share share(1000, 4000, 0.25, cStart);
    auto receive = [&, id = std::uint64_t(1)](fleet_share::loan inLoan) mutable {
        share.loanRequested("entry-2", ++id, cStart);
        return share.loanReceived("entry-2", id, inLoan, cStart + 1ms);
    };
    CHECK_FALSE(receive({.rate = -1, .burst = 1, .tokens = 1, .validFor = 2s}));
    CHECK_FALSE(receive({.rate = NAN, .burst = 1, .tokens = 1, .validFor = 2s}));
    CHECK_FALSE(receive({.rate = 1, .burst = 1, .tokens = 2, .validFor = 2s}));
    CHECK_FALSE(receive({.rate = 1, .burst = 1e9, .tokens = 2, .validFor = 2s}));
    CHECK_FALSE(receive({.rate = 1, .burst = 1, .tokens = 1, .validFor = -2s}));
    CHECK(receive({.rate = 1, .burst = 1, .tokens = 1, .validFor = 2s}));
}

TEST_CASE("a share shrinks at once and grows after the others have shrunk")
{
    fleet_share share(1000, 4000, 0.25, cStart);
    const core::time_point now = cStart + 60s;
    share.setFraction(0.2, now);
    CHECK(share.rate(now) == Approx(200));
    CHECK(share.available(now) == Approx(800));
    share.setFraction(0.25, now);
    CHECK(share.rate(now + 6999ms) == Approx(200));
    CHECK(share.rate(now + 7s) == Approx(250));
    // A shrink cancels a pending growth.
    share.setFraction(0.5, now + 8s);
    share.setFraction(0.25, now + 9s);
    CHECK(share.rate(now + 30s) == Approx(250));
    // Changes of the account's own limits take effect at once.
    share.setLimits(2000, 4000, now + 30s);
    CHECK(share.rate(now + 30s) == Approx(500));
}

TEST_CASE("a pause empties the share and drops what was borrowed")
{
    fleet_share share(1000, 4000, 0.25, cStart);
    const core::time_point now = cStart + 60s;
    share.loanRequested("entry-2", 1, now);
    CHECK(share.loanReceived("entry-2", 1,
                             {.rate = 100, .burst = 500, .tokens = 500, .validFor = 2s}, now));
    CHECK(share.available(now) == Approx(1500));
    share.paused(now + 1500ms);
    CHECK(share.available(now + 1500ms) == Approx(0));
    CHECK(share.borrowedRate() == Approx(0));
    CHECK(share.available(now + 3500ms) == Approx(0));
    CHECK(share.available(now + 4500ms) == Approx(250));
}

TEST_CASE("a refund does not restore tokens that were lost at the burst limit")
{
    fleet_share share(1000, 4000, 0.25, cStart);
    core::time_point now = cStart + 60s;
    const auto first = share.tryCharge(1000, now);
    REQUIRE(first);
    // The bucket is full again after 4 s: the refill already replaced the unused tokens.
    now += 4s;
    const auto second = share.tryCharge(1000, now);
    REQUIRE(second);
    share.settle(*first, 1000, 100, now);
    CHECK(share.available(now) == Approx(0));
    // The second charge is settled before the bucket is full.
    now += 1s;
    share.settle(*second, 1000, 300, now);
    CHECK(share.available(now) == Approx(950));
    CHECK(share.openCharges() == 0);
}
