// Tests that requests which arrive while an instance waits for the first message of another one are
// answered, over real connections.

#include "forwarding_front_fixture.h"

#include <algorithm>
#include <thread>

using namespace corneltally;
using namespace corneltally::front_test;
using namespace std::chrono_literals;

namespace {

/// An instance that knows of another one and has not heard it.
struct unheard_instance
{
    front_fixture fixture;

    explicit unheard_instance(core::duration inFirstMessageTimeout,
                              std::chrono::milliseconds inRouteTimeout = 2s)
        : fixture(inFirstMessageTimeout)
    {
        for (endpoint_server *server : {&fixture.first, &fixture.second})
            server->answers = [](const std::string &) { return scripted_answer{cSealed}; };
        fixture.registry.broadcast(fleet::instances_changed{.members = {{"b", "north"}}});
        fixture.configure(routing::repetition::repeatable, 2, inRouteTimeout);
    }

    std::size_t sent() const
    {
        return fixture.first.requests.size() + fixture.second.requests.size();
    }
};

} // namespace

// Failure: a request that arrives after the timer of the wait fired, and before the clock reaches
// the end of the wait, is never begun.
TEST_CASE("each request that arrives about the end of the wait for a first message is answered")
{
    constexpr core::duration cWait = 600ms;
    constexpr core::duration cEarly = 150ms;
    constexpr core::duration cInterval = 5ms;
    constexpr std::size_t cRequests = 100;
    unheard_instance waiting(cWait);
    front_fixture &fixture = waiting.fixture;
    // Timers count from the beginning of the iteration of the loop in which they are started, so
    // that this one fires early.
    fixture.loop.post([&] {
        std::this_thread::sleep_for(cEarly);
        fixture.front.start();
    });
    fixture.settle(cWait - cEarly - cInterval * (cRequests / 4));
    CHECK(waiting.sent() == 0);
    std::vector<std::unique_ptr<http1::client_connection>> callers;
    std::vector<std::unique_ptr<caller_view>> views;
    kernel::timer arrivals(fixture.loop, [&] {
        if (views.size() == cRequests)
            return;
        callers.push_back(fixture.connect());
        views.push_back(std::make_unique<caller_view>());
        fixture.send(*callers.back(), *views.back(), "/a/1");
    });
    arrivals.startRepeating(cInterval);
    const auto unanswered = [&views] {
        return std::ranges::count_if(views, [](const auto &inView) { return inView->status == 0; });
    };
    const core::time_point end = core::boot_clock::now() + 4s;
    while ((views.size() < cRequests || unanswered() > 0) && core::boot_clock::now() < end)
        fixture.settle(50ms);
    CHECK(views.size() == cRequests);
    CHECK(unanswered() == 0);
    CHECK(fixture.front.running() == 0);
}

// Failure: a request whose time ends during the wait is refused only after the wait.
TEST_CASE("a request that waits for a first message is answered within its time")
{
    unheard_instance waiting(5s, 400ms);
    const core::time_point began = core::boot_clock::now();
    const caller_view refused = waiting.fixture.call();
    CHECK(core::boot_clock::now() - began < 2s);
    CHECK(refused.status == 503);
    CHECK(refused.body.find("\"run\":\"not_run\"") != std::string::npos);
    CHECK(waiting.sent() == 0);
    CHECK(waiting.fixture.front.running() == 0);
}

TEST_CASE("a drain ends the wait for a first message")
{
    unheard_instance waiting(10s);
    const auto caller = waiting.fixture.connect();
    caller_view view;
    waiting.fixture.send(*caller, view, "/a/1");
    waiting.fixture.settle(100ms);
    CHECK(view.status == 0);
    CHECK(waiting.fixture.front.running() == 1);
    waiting.fixture.front.beginDrain(core::boot_clock::now() + 8s);
    waiting.fixture.settle(1s);
    CHECK(view.status == 200);
    CHECK(waiting.fixture.call().status == 200);
}

TEST_CASE("a request whose caller leaves during the wait for a first message is not sent")
{
    unheard_instance waiting(10s);
    auto caller = waiting.fixture.connect();
    caller_view view;
    waiting.fixture.send(*caller, view, "/a/1");
    waiting.fixture.settle(100ms);
    caller.reset();
    waiting.fixture.settle(100ms);
    CHECK(waiting.fixture.front.running() == 0);
    waiting.fixture.registry.broadcast(fleet::mesh_received{"b", 1, fleet::heartbeat()});
    CHECK(waiting.fixture.call().status == 200);
    CHECK(waiting.sent() == 1);
}
