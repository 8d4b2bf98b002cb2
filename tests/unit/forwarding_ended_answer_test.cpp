// Guards against answers that an endpoint has finished and that the caller, or the next one, does
// not get in full because of how the connections end.

#include "forwarding_front_fixture.h"

using namespace corneltally;
using namespace corneltally::front_test;
using namespace std::chrono_literals;
using routing::repetition;

namespace {

const std::string cLargeEvent = "id: 1\ndata: " + std::string(300'000, 'x') + "\n\n";

} // namespace

// Failure: a connection on which reading was stopped for a slow caller is kept for the next
// request, which gets no answer until its time is over.
TEST_CASE("a connection whose answer filled the caller's buffer serves the next request")
{
    front_fixture fixture;
    fixture.configure(repetition::once_stream, 1);
    fixture.first.script = {{cStreamHead + chunk(cLargeEvent) + "0\r\n\r\n"},
                            {cStreamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"}};
    CHECK(fixture.call().body == cLargeEvent);
    const core::time_point begun = core::boot_clock::now();
    const caller_view next = fixture.call();
    CHECK(next.status == 200);
    CHECK(next.body == "id: 1\ndata: a\n\n");
    CHECK(core::boot_clock::now() - begun < 1s);
    CHECK(fixture.first.streams.size() == 1);
}
