// Guards against services that act on outdated state after the process was stopped: the pause must
// be reported before events that became ready during it are handled.

#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <string>
#include <thread>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

TEST_CASE("a pause is reported before sockets, timers and earlier messages")
{
    kernel::event_loop loop;
    std::string order;
    core::duration reported{};
    loop.watchPauses(300ms, [&](core::duration inGap) {
        reported = inGap;
        loop.post([&] { order.append("pause "); });
    });
    kernel::timer due(loop, [&] { order.append("timer "); });
    kernel::timer end(loop, [&] { loop.stop(); });
    due.startOnce(400ms);
    end.startOnce(1500ms);
    // Blocks the loop to simulate a stopped process.
    kernel::timer block(loop, [&] {
        loop.post([&] { order.append("message "); });
        std::this_thread::sleep_for(600ms);
    });
    block.startOnce(10ms);
    loop.run();
    CHECK(order == "pause message timer ");
    CHECK(reported >= 600ms);
}

TEST_CASE("a loop that runs without a pause reports none")
{
    kernel::event_loop loop;
    bool reported = false;
    loop.watchPauses(10s, [&](core::duration) { reported = true; });
    kernel::timer end(loop, [&] { loop.stop(); });
    end.startOnce(250ms);
    loop.run();
    CHECK_FALSE(reported);
}
