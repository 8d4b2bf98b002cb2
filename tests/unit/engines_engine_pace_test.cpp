// Guards against estimates that take the engines of a service for equal though they differ, and
// against ones that follow each short disturbance.

#include "corneltally/engines/engine_pace.h"
#include "corneltally/engines/event_intervals.h"

#include <cmath>
#include <map>
#include <random>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;

constexpr double cTypicalMs = 40;

core::duration fromMs(double inMs)
{
    return std::chrono::duration_cast<core::duration>(milliseconds(inMs));
}

/// An engine with short phases in which it is slower, as other work on its machine causes them.
struct uneven_engine
{
    double relativeTime = 1;
    double disturbedShare = 0.15;
    double disturbance = 2.5;

    core::duration interval(std::mt19937 &ioRandom) const
    {
        std::uniform_real_distribution<double> uniform(0, 1);
        std::lognormal_distribution<double> jitter(0, 0.15);
        const double disturbed = uniform(ioRandom) < disturbedShare ? disturbance : 1;
        return fromMs(cTypicalMs * relativeTime * disturbed * jitter(ioRandom));
    }
};

} // namespace

// Load: engines of 0.55 to 1.2 of the typical time, a seventh of whose answers fall into a phase
// that is 2.5 times slower.
TEST_CASE("the relative time of uneven engines is learned despite short disturbances")
{
    int wrong = 0;
    int checks = 0;
    for (unsigned seed = 1; seed <= 50; ++seed) {
        std::mt19937 random(seed);
        for (const double relative : {0.55, 1.0, 1.2}) {
            const uneven_engine engine{.relativeTime = relative};
            engines::engine_pace pace;
            core::time_point now{1h};
            for (int answer = 0; answer < 60; ++answer) {
                now += 330ms;
                pace.observe(engine.interval(random), now);
                if (answer < 15)
                    continue;
                ++checks;
                const double error
                    = std::abs(std::log(pace.relativeTime(fromMs(cTypicalMs), now) / relative));
                if (error > std::log(1.5))
                    ++wrong;
            }
        }
    }
    // Half of the spread between the engines would be lost at a factor of 1.5.
    CHECK(wrong * 20 < checks);
}

TEST_CASE("an engine that turns slow for good is noticed, and that it is well again too")
{
    std::mt19937 random(1);
    engines::engine_pace pace;
    core::time_point now{1h};
    const auto answers = [&](double inRelative, int inCount) {
        for (int answer = 0; answer < inCount; ++answer) {
            now += 330ms;
            pace.observe(uneven_engine{.relativeTime = inRelative}.interval(random), now);
        }
        return pace.relativeTime(fromMs(cTypicalMs), now);
    };
    CHECK(answers(1, 30) < 1.6);
    CHECK(answers(4, 1) < 2);
    CHECK(answers(4, 25) > 2.5);
    CHECK(answers(1, 40) < 1.6);
}

TEST_CASE("few or old answers say little")
{
    engines::engine_pace pace;
    const core::time_point now{1h};
    CHECK(pace.relativeTime(fromMs(cTypicalMs), now) == 1);
    pace.observe(fromMs(4 * cTypicalMs), now);
    CHECK(pace.relativeTime(fromMs(cTypicalMs), now) < 2);
    CHECK(pace.relativeTime(fromMs(cTypicalMs), now + engines::engine_pace::sMaxAge + 1s) == 1);
    CHECK_FALSE(pace.interval(now + engines::engine_pace::sMaxAge + 1s));
}

TEST_CASE("the intervals of an answer show the engine's speed, not its load")
{
    engines::event_intervals intervals;
    for (int event = 0; event < 5; ++event)
        intervals.add(25ms);
    CHECK_FALSE(intervals.lowerQuartile());
    // Half of the events wait for the prefill of another prompt.
    for (int event = 0; event < 5; ++event)
        intervals.add(150ms);
    CHECK(intervals.lowerQuartile() == core::duration(25ms));
}
