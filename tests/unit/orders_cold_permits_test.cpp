// Guards against cold endpoints that receive more requests in a second than they endure: from many
// instances at once, from permits that are used late, and from two holders after each other.

#include "corneltally/engines/endpoint_choice.h"
#include "corneltally/engines/endpoint_table.h"
#include "corneltally/limits/permit_term.h"
#include "corneltally/orders/cold_permits.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

/// 7.5 requests a second, 1.5 times as many, and 5 more.
constexpr double cBound = 16.25;
const core::time_point cStart{1h};

/// Largest number of sends in any span of one second.
std::size_t mostInASecond(std::vector<core::time_point> inSends)
{
    std::ranges::sort(inSends);
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < inSends.size(); ++last) {
        while (inSends[last] - inSends[first] > 1s)
            ++first;
        most = std::max(most, last - first + 1);
    }
    return most;
}

/// Instances that send requests to one cold endpoint, and its successive holders. A message takes
/// some milliseconds; with faults, one in thirty is lost and one in thirty takes up to three
/// seconds.
class permit_fleet
{
public:
    permit_fleet(int inInstances, unsigned inSeed)
        : mRandom(inSeed)
        , mRetryAt(static_cast<std::size_t>(inInstances))
        , mCut(mRetryAt.size())
    { }

    bool hasFaults = false;
    std::vector<core::time_point> sends;

    void at(core::time_point inTime, std::function<void()> inEvent)
    {
        mEvents.emplace(inTime, std::move(inEvent));
    }

    /// The holder may grant from inFrom to inUntil with this fencing number; a holder that is
    /// frozen handles its messages at inUntil.
    void setHolder(std::uint64_t inFence, core::time_point inUntil)
    {
        mHolder = {};
        mFence = inFence;
        mAuthorityEnd = inUntil;
        mFrozenUntil = {};
    }
    void freezeHolder(core::time_point inUntil) { mFrozenUntil = inUntil; }
    void cut(bool inCut)
    {
        for (std::size_t index = 0; index < mCut.size(); index += 3)
            mCut[index] = inCut;
    }

    /// Requests per second over all instances, until a time.
    void demand(double inRate, core::time_point inUntil)
    {
        const auto pause = std::exponential_distribution<double>(inRate)(mRandom);
        const core::time_point next = mNow
            + std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(pause));
        if (next >= inUntil)
            return;
        at(next, [this, inRate, inUntil] {
            ask(std::uniform_int_distribution<std::size_t>(0, mRetryAt.size() - 1)(mRandom));
            demand(inRate, inUntil);
        });
    }

    void run()
    {
        while (!mEvents.empty()) {
            const auto first = mEvents.begin();
            mNow = first->first;
            const auto event = std::move(first->second);
            mEvents.erase(first);
            if (!mAuthorityEnd || mNow < *mAuthorityEnd)
                mHolder.confirm("e1", mFence, mNow);
            event();
        }
    }

private:
    bool isOneIn(int inCount)
    {
        return hasFaults && std::uniform_int_distribution<int>(1, inCount)(mRandom) == 1;
    }

    core::duration between(core::duration inLeast, core::duration inMost)
    {
        return core::duration(
            std::uniform_int_distribution<long long>(inLeast.count(), inMost.count())(mRandom));
    }

    core::duration delay() { return isOneIn(30) ? between(100ms, 3s) : between(500us, 8ms); }

    void ask(std::size_t inInstance)
    {
        if (mNow < mRetryAt[inInstance])
            return;
        const limits::permit_term term(mNow);
        // Without a reply the requester waits for half a second before it asks again.
        mRetryAt[inInstance] = mNow + 650ms;
        if (mCut[inInstance] || isOneIn(30))
            return;
        at(mNow + delay(), [this, inInstance, term] { receive(inInstance, term); });
    }

    void receive(std::size_t inInstance, limits::permit_term inTerm)
    {
        if (mNow < mFrozenUntil) {
            at(mFrozenUntil, [this, inInstance, inTerm] { receive(inInstance, inTerm); });
            return;
        }
        const bool hasAuthority = !mAuthorityEnd || mNow < *mAuthorityEnd;
        const auto decision = mHolder.request(
            "e1", std::to_string(inInstance),
            hasAuthority ? orders::cold_permits::authority(mFence) : std::nullopt, cBound, mNow);
        if (mCut[inInstance] || isOneIn(30))
            return;
        // The requester may be frozen when the reply arrives.
        const core::duration frozen = isOneIn(20) ? between(100ms, 2s) : 0ms;
        at(mNow + delay() + frozen, [this, inInstance, inTerm, decision] {
            mRetryAt[inInstance] = mNow + decision.retryIn;
            if (decision.granted && inTerm.mayUse(mNow))
                sends.push_back(mNow);
        });
    }

    std::mt19937 mRandom;
    std::multimap<core::time_point, std::function<void()>> mEvents;
    core::time_point mNow = cStart;
    orders::cold_permits mHolder;
    std::uint64_t mFence = 1;
    std::optional<core::time_point> mAuthorityEnd;
    core::time_point mFrozenUntil;
    std::vector<core::time_point> mRetryAt;
    std::vector<bool> mCut;
};

} // namespace

// Failure: a share of the rate for each instance, an unlimited permit, or a new holder that grants
// at once.
TEST_CASE("a cold endpoint stays within its bound and uses most of it")
{
    const int instances = GENERATE(4, 78, 1500);
    const unsigned seed = GENERATE(1U, 2U, 3U);
    CAPTURE(instances, seed);
    permit_fleet fleet(instances, seed);
    const core::time_point faults = cStart + 10s;
    fleet.demand(80, cStart + 40s);
    fleet.at(faults, [&] { fleet.hasFaults = true; });
    // A new process of the holder takes over at once, twice within a second.
    fleet.at(faults + 2s, [&] { fleet.setHolder(2, cStart + 1h); });
    fleet.at(faults + 2700ms, [&] { fleet.setHolder(3, cStart + 1h); });
    fleet.at(faults + 6s, [&] { fleet.cut(true); });
    fleet.at(faults + 9s, [&] { fleet.cut(false); });
    // The holder is cut off and then frozen; another one follows after the wait for orders.
    fleet.at(faults + 10s, [&] { fleet.setHolder(3, faults + 14s); });
    fleet.at(faults + 13500ms, [&] { fleet.freezeHolder(faults + 15s); });
    fleet.at(faults + 18s, [&] { fleet.setHolder(4, cStart + 1h); });
    fleet.run();
    CHECK(mostInASecond(fleet.sends) <= 16);
    const auto sentIn = [&](core::time_point inFrom, core::time_point inUntil) {
        return static_cast<double>(std::ranges::count_if(
            fleet.sends, [&](core::time_point inAt) { return inFrom <= inAt && inAt < inUntil; }));
    };
    const double used = sentIn(cStart + 2s, faults) / (cBound * 8);
    WARN(instances << " instances, seed " << seed << ": at most " << mostInASecond(fleet.sends)
                   << " in a second, " << used << " of the bound used without faults, "
                   << sentIn(faults, cStart + 40s) / (cBound * 30) << " with faults");
    CHECK(used >= 0.8);
    CHECK(sentIn(faults + 14s, faults + 18s) == 0);
    CHECK(sentIn(faults + 20s, cStart + 40s) > 0);
}

// Failure: all endpoints of a failure domain return at the same time and terminate again.
TEST_CASE("the load of a failure domain that returns stays within the bound of each endpoint")
{
    constexpr int cInstances = 24;
    constexpr int cEndpoints = 20;
    std::mt19937 random(1);
    std::vector<engines::endpoint_table> tables(cInstances);
    std::map<std::string, orders::cold_permits> holders;
    std::map<std::string, std::vector<core::time_point>> sends;
    const core::time_point returned = cStart + 10s;
    for (engines::endpoint_table &table : tables) {
        table.setColdTimes({{"shop", 4s}});
        for (int index = 0; index < cEndpoints; ++index) {
            const std::string id = "e" + std::to_string(index);
            table.apply({.id = id,
                         .service = "shop",
                         .address = {"10.0.0.1", 80},
                         .failureDomain = "north",
                         .capacity = 100,
                         .startedMs = 1,
                         .coldLeft = 0ms},
                        cStart);
            table.applyHolderReport(id, 1, "holder", true, {}, {}, 0, cStart);
            CHECK_FALSE(table.isCold(*table.find(id), cStart));
        }
        // Part B: the evacuation of the domain ended.
        table.expectCold("south", returned);
        CHECK_FALSE(table.isCold(*table.find("e0"), returned));
        table.expectCold("north", returned);
        CHECK(table.isCold(*table.find("e0"), returned));
    }
    std::vector<int> served(6);
    int refused = 0;
    for (core::time_point now = returned; now < returned + 6s; now += 1ms) {
        for (const auto &[id, target] : tables.front().all())
            holders[id].confirm(id, 1, now - 2s);
        // 500 requests a second, more than the cold endpoints take.
        if (std::uniform_int_distribution<int>(0, 1)(random) == 0)
            continue;
        engines::endpoint_table &table
            = tables[std::uniform_int_distribution<std::size_t>(0, cInstances - 1)(random)];
        while (true) {
            const auto choice
                = engines::chooseEndpoint(table, {.service = "shop"}, "north", {}, now);
            if (!choice) {
                ++refused;
                const auto times = table.permitTimes("shop", {}, {}, now);
                REQUIRE(times);
                CHECK(times->first > now);
                CHECK(times->second <= now + limits::permit_window::sSpan + 1ms);
                break;
            }
            engines::endpoint &target = *table.find(choice->endpoint);
            if (table.isCold(target, now)) {
                const auto decision
                    = holders[choice->endpoint].request(choice->endpoint, "i", 1, cBound, now);
                target.permitNotBefore = now + decision.retryIn;
                if (!decision.granted)
                    continue;
            }
            sends[choice->endpoint].push_back(now);
            ++served[static_cast<std::size_t>((now - returned) / 1s)];
            break;
        }
    }
    std::size_t most = 0;
    for (const auto &[id, times] : sends) {
        std::vector<core::time_point> whileCold = times;
        std::erase_if(whileCold, [&](core::time_point inAt) { return inAt >= returned + 4s; });
        most = std::max(most, mostInASecond(whileCold));
    }
    WARN("at most " << most << " in a second at one endpoint; served in each second " << served[0]
                    << " " << served[3] << " " << served[5] << ", refused " << refused);
    CHECK(most <= 16);
    CHECK(sends.size() == cEndpoints);
    CHECK(served[0] >= cEndpoints * 13);
    CHECK(served[5] > served[3]);
    CHECK(refused > 0);
}

// Failure: a permit that was granted to a frozen or slow requester is used later.
TEST_CASE("a permit ends on the clock of the requester, counted from its request")
{
    const limits::permit_term term(cStart);
    CHECK(term.mayUse(cStart + 100ms));
    CHECK_FALSE(term.mayUse(cStart + 150ms));
    CHECK_FALSE(term.mayUse(cStart + 2s));
}
