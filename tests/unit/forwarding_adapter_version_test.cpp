// Guards against requests that wait for an older version of their adapter than the one named last.

#include "forwarding_front_fixture.h"

#include <ctime>

using namespace corneltally;
using namespace corneltally::front_test;
using namespace std::chrono_literals;
using routing::repetition;

// Failure: a request keeps the event loop busy until its time is over, since an engine loads an
// older version of its adapter than the one that was named.
TEST_CASE("a request that waits for a newer version leaves the event loop to others")
{
    const bool endsInTime = GENERATE(true, false);
    CAPTURE(endsInTime);
    front_fixture fixture;
    fixture.configure(repetition::once_stream, 1, 2s);
    fixture.registry.handle<orders::local_load_wanted>(
        "orders", [&](const orders::local_load_wanted &inWanted) {
            fixture.wanted[inWanted.wanted.endpoint] = inWanted.wanted;
        });
    fixture.registry.broadcast(catalog::adapter_version_named{"base", "a1", 2});
    fixture.first.script = {{cStreamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"}};
    fixture.engineState({{}, {{"base/a1", {1, core::boot_clock::now() + 1100ms}}}});
    fixture.settle(50ms);
    // The newer version replaces the older one, which the engine has only now.
    kernel::timer loaded(fixture.loop, [&] { fixture.engineState({{{"base/a1", 2}}, {}}); });
    if (endsInTime)
        loaded.startOnce(1300ms);
    const std::clock_t busy = std::clock();
    const caller_view view
        = fixture.call("/lm/1", {{std::string(platform::cModelField), "base/a1"}});
    const double busySeconds = static_cast<double>(std::clock() - busy) / CLOCKS_PER_SEC;
    CHECK(view.status == (endsInTime ? 200 : 503));
    CHECK(fixture.wanted.at("m1").version == 2);
    CHECK(busySeconds < 0.1);
}
