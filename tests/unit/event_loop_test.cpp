// Guards against posted tasks that starve timers and sockets.

#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <functional>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

TEST_CASE("an endless chain of posted tasks does not starve a timer")
{
    kernel::event_loop loop;
    kernel::timer end{loop, [&loop] { loop.stop(); }};
    end.startOnce(5ms);
    long long rounds = 0;
    std::function<void()> again = [&] {
        // Ends the test if the timer never fires.
        if (++rounds > 50'000'000)
            loop.stop();
        else
            loop.post(again);
    };
    loop.post(again);
    loop.run();
    CHECK(rounds > 1);
    CHECK(rounds < 50'000'000);
}
