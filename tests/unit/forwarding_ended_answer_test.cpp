// Guards against answers that an endpoint has finished and that the caller, or the next one, does
// not get in full because of how the connections end.

#include "forwarding_front_fixture.h"
#include "raw_caller.h"

#include <thread>

using namespace corneltally;
using namespace corneltally::front_test;
using namespace std::chrono_literals;
using routing::repetition;

namespace {

const std::string cLargeEvent = "id: 1\ndata: " + std::string(300'000, 'x') + "\n\n";

const std::string cRequest = "POST /a/1 HTTP/1.1\r\nHost: shop.example\r\n"
    + std::string(platform::cRequestIdField) + ": id1\r\n"
    + std::string(platform::cAuthorizationField) + ": Token k1\r\nContent-Length: 4\r\n\r\nbody";

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

// Failure: an instance that stops exits when no request runs any more, although the answer of one
// has not yet been passed on in full, or closes its connection before.
TEST_CASE("a slow caller gets a finished answer in full from an instance that stops")
{
    const bool streams = GENERATE(false, true);
    // Whether idle connections are closed while the endpoint works, or once it has finished.
    const bool closesEarly = GENERATE(false, true);
    CAPTURE(streams, closesEarly);
    auto fixture = std::make_unique<front_fixture>();
    fixture->configure(streams ? repetition::once_stream : repetition::once, 1, 8s);
    const std::string body(900'000, 'x');
    std::string answer = cSealed.substr(0, cSealed.find("Content-Length"))
        + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    if (streams) {
        answer = cStreamHead;
        for (int count = 0; count < 20; ++count)
            answer += chunk(cLargeEvent);
        answer += "0\r\n\r\n";
    }
    fixture->first.answers = [&](const std::string &) {
        return scripted_answer{closesEarly ? std::string() : answer};
    };
    raw_caller caller(fixture->front.port(), 32'000);
    caller.send(cRequest);
    fixture->settle(100ms);
    REQUIRE(fixture->first.streams.size() == 1);
    fixture->front.beginDrain(core::boot_clock::now() + 8s);
    fixture->front.closeIdle();
    if (closesEarly)
        fixture->first.streams.front()->write(answer);
    fixture->settle(50ms);
    int unsent = 0;
    // As an instance exits: when nothing runs and nothing is unfinished.
    for (int step = 0;
         step < 4000 && (fixture->front.running() > 0 || fixture->front.unfinished() > 0); ++step) {
        unsent += fixture->front.running() == 0 ? 1 : 0;
        caller.receive(64'000);
        fixture->settle(1ms);
    }
    CHECK(fixture->front.unfinished() == 0);
    fixture.reset();
    for (int step = 0; step < 2000 && caller.receive(1'000'000); ++step)
        std::this_thread::sleep_for(1ms);
    // A plain answer fits into the buffers of the kernel.
    CHECK((unsent > 0 || !streams));
    if (streams) {
        CHECK(caller.received.ends_with("\r\n0\r\n\r\n"));
        CHECK(caller.received.size() > 20 * cLargeEvent.size());
    } else {
        CHECK(caller.received.ends_with(body));
    }
}
