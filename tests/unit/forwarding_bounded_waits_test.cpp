// Tests that each request ends within the time of its route, whatever it waits for and whenever it
// began to, over real connections.

#include "forwarding_front_fixture.h"

#include <algorithm>
#include <ctime>

using namespace corneltally;
using namespace corneltally::front_test;
using namespace std::chrono_literals;

namespace {

/// An event that does not come.
enum class missing { load_begin, newer_version, permit, confirmation, caller_input };

core::duration processorTime()
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(
        static_cast<double>(std::clock()) / static_cast<double>(CLOCKS_PER_SEC)));
}

/// Requests that begin one after the other to wait for such an event.
struct waiting_requests
{
    static constexpr auto cRouteTime = 1200ms;
    static constexpr core::duration cInterval = 20ms;
    static constexpr std::size_t cRequests = 30;

    missing what;
    front_fixture fixture{400ms, true};
    kernel::timer pauses{fixture.loop, [this] { fixture.front.paused(); }};
    std::vector<std::unique_ptr<http1::client_connection>> callers;
    std::vector<std::unique_ptr<caller_view>> views;
    std::size_t mostRunning = 0;

    explicit waiting_requests(missing inWhat)
        : what(inWhat)
    {
        std::string bytes;
        if (what == missing::caller_input) {
            bytes = cStreamHead;
            for (int event = 0; event < 4; ++event)
                bytes += chunk("data: " + std::string(900'000, 'x') + "\n\n");
        }
        for (endpoint_server *server : {&fixture.first, &fixture.second})
            server->answers = [bytes](const std::string &) { return scripted_answer{bytes}; };
        fixture.registry.handle<orders::local_load_wanted>(
            "orders", [this](const orders::local_load_wanted &) {
                if (what == missing::newer_version)
                    fixture.engineState({{}, {{"base/a1", {1, core::boot_clock::now() + 50ms}}}});
            });
        if (what == missing::permit)
            fixture.coldPerSecond = 4;
        fixture.configure(routing::repetition::resumable_stream, 2, cRouteTime);
        fixture.registry.broadcast(catalog::adapter_version_named{"base", "a1", 2});
        for (const char *endpoint : {"m1", "e1", "e2"})
            fixture.engineState({}, endpoint);
        if (what == missing::confirmation) {
            fixture.front.paused();
            // Each pause begins a new wait for the confirmation.
            pauses.startRepeating(300ms);
        }
        fixture.settle(50ms);
    }

    void run()
    {
        kernel::timer arrivals(fixture.loop, [this] { sendNext(); });
        arrivals.startRepeating(cInterval);
        while (views.size() < cRequests) {
            fixture.settle(10ms);
            mostRunning = std::max(mostRunning, fixture.front.running());
        }
        const core::time_point end = core::boot_clock::now() + cRouteTime + 200ms;
        while (core::boot_clock::now() < end)
            fixture.settle(50ms);
    }

    void sendNext()
    {
        if (views.size() == cRequests)
            return;
        callers.push_back(fixture.connect());
        views.push_back(std::make_unique<caller_view>());
        const bool needsAdapter = what == missing::load_begin || what == missing::newer_version;
        fixture.send(*callers.back(), *views.back(), needsAdapter ? "/lm/1" : "/a/1",
                     {{std::string(platform::cModelField), "base/a1"}});
        if (what == missing::caller_input)
            callers.back()->setReading(false);
    }

    std::size_t ended() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            views, [](const auto &inView) { return !inView->end.reason.empty(); }));
    }
};

} // namespace

TEST_CASE("each request ends within its time, whatever it waits for")
{
    const missing what = GENERATE(missing::load_begin, missing::newer_version, missing::permit,
                                  missing::confirmation, missing::caller_input);
    CAPTURE(static_cast<int>(what));
    waiting_requests waiting(what);
    const core::duration processorBefore = processorTime();
    waiting.run();
    CHECK(waiting.mostRunning > 0);
    CHECK(waiting.fixture.front.running() == 0);
    // A caller that reads nothing does not see the end either.
    if (what != missing::caller_input)
        CHECK(waiting.ended() == waiting_requests::cRequests);
    // Failure: while an older version of its adapter arrives, a request that needs a newer one
    // keeps the event loop busy.
    if (what == missing::newer_version)
        CHECK(processorTime() - processorBefore < 300ms);
}
