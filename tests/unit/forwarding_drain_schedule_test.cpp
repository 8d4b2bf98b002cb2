// Guards the order in which a stopping instance closes, ends its requests and exits.

#include "corneltally/forwarding/drain_schedule.h"

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
using namespace corneltally;
using forwarding::drain_schedule;
using forwarding::drain_step;

namespace {

const core::time_point cBegan{100s};

/// Steps every 50 ms with the same load until the exit, and calls a visitor with each step.
template <typename visitor>
core::duration drain(core::duration inGrace, std::size_t inRunning, std::size_t inUnfinished,
                     visitor inVisit)
{
    drain_schedule schedule(cBegan, inGrace);
    for (core::duration elapsed = 0s; elapsed < inGrace; elapsed += 50ms) {
        const drain_step step = schedule.next(cBegan + elapsed, inRunning, inUnfinished);
        inVisit(elapsed, step);
        if (step.exit)
            return elapsed;
    }
    return inGrace;
}

} // namespace

TEST_CASE("an instance without requests exits soon after the load balancer has removed it")
{
    int closed = 0;
    const core::duration exit = drain(8s, 0, 0, [&](core::duration inElapsed, drain_step inStep) {
        closed += inStep.closeIdle ? 1 : 0;
        CHECK_FALSE(inStep.endRequests);
        if (inElapsed < drain_schedule::sBalancerRemovalTime)
            CHECK(inStep == drain_step());
    });
    CHECK(closed == 1);
    CHECK(exit > drain_schedule::sBalancerRemovalTime + drain_schedule::sSettleTime);
    CHECK(exit < drain_schedule::sBalancerRemovalTime + 2 * drain_schedule::sSettleTime);
}

// Failure: the process exits while requests run, and their callers get no answer.
TEST_CASE("requests that run until the end are ended once, with time left to send the answers")
{
    // A grace period may be shorter than the time that the load balancer takes.
    const core::duration grace = GENERATE(8s, 3s, 1s);
    int ended = 0;
    core::duration endedAt{};
    const core::duration exit
        = drain(grace, 3, 3, [&](core::duration inElapsed, drain_step inStep) {
              if (!inStep.endRequests)
                  return;
              ++ended;
              endedAt = inElapsed;
          });
    CHECK(ended == 1);
    CHECK(cBegan + endedAt >= drain_schedule(cBegan, grace).requestsEnd());
    CHECK(exit - endedAt >= 200ms);
    CHECK(exit < grace);
}

TEST_CASE("an instance whose requests were ended exits when their answers were sent")
{
    drain_schedule schedule(cBegan, 8s);
    CHECK(schedule.next(cBegan + 7600ms, 1, 1).endRequests);
    CHECK_FALSE(schedule.next(cBegan + 7610ms, 0, 1).exit);
    CHECK(schedule.next(cBegan + 7620ms, 0, 0).stopListening);
    CHECK(schedule.next(cBegan + 7830ms, 0, 0).exit);
}

// Failure: the event loop is late at the end of the grace period; the process exits in the step
// that ends the requests, before their answers are written to the sockets.
TEST_CASE("an instance whose event loop is late sends the answers of the requests that it ends")
{
    const core::duration late = GENERATE(7850ms, 7900ms, 8100ms);
    drain_schedule schedule(cBegan, 8s);
    CHECK_FALSE(schedule.next(cBegan + 7590ms, 1, 1).exit);
    const drain_step step = schedule.next(cBegan + late, 1, 1);
    CHECK(step.endRequests);
    CHECK_FALSE(step.exit);
    CHECK(schedule.next(cBegan + late + 50ms, 0, 0).exit);
}

// Failure: the event loop is late after the requests were ended; the process exits in the iteration
// in which it reads requests that have waited in their sockets.
TEST_CASE("an instance whose event loop is late does not exit in its first step after that")
{
    drain_schedule schedule(cBegan, 8s);
    CHECK(schedule.next(cBegan + 7600ms, 0, 1).endRequests);
    CHECK_FALSE(schedule.next(cBegan + 7900ms, 0, 1).exit);
    CHECK(schedule.next(cBegan + 7950ms, 0, 1).exit);
}
