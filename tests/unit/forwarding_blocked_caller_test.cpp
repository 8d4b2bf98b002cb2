// Tests what becomes of connections to endpoints on which reading stopped because the caller had
// not read the answer, over real connections.

#include "forwarding_front_fixture.h"

using namespace corneltally;
using namespace corneltally::front_test;
using namespace std::chrono_literals;

namespace {

/// Larger than what may be unsent to a caller while reading from the endpoint goes on.
constexpr std::size_t cLargeEventBytes = 300 * 1024;

std::string numberedEvent(int inNumber, std::size_t inBytes)
{
    return "id: " + std::to_string(inNumber) + "\ndata: " + std::string(inBytes, 'x') + "\n\n";
}

} // namespace

// Failure: a kept connection is used again while reading from it is stopped, so that the answer to
// its next request is never read.
TEST_CASE("reading from a kept connection goes on after an answer that filled the caller's output")
{
    front_fixture fixture;
    fixture.configure(routing::repetition::resumable_stream, 2);
    fixture.first.script = {{cStreamHead + chunk(numberedEvent(1, cLargeEventBytes)) + chunk("")},
                            {cStreamHead + chunk(numberedEvent(1, 10)) + chunk("")}};
    const caller_view large = fixture.call();
    REQUIRE(large.status == 200);
    REQUIRE(large.body.size() == numberedEvent(1, cLargeEventBytes).size());
    const caller_view next = fixture.call();
    CHECK(fixture.first.streams.size() == 1);
    CHECK(next.status == 200);
    CHECK(next.body == numberedEvent(1, 10));
}

// Failure: after a resumed stream, answers are read without limit for a caller that reads nothing.
TEST_CASE("reading stops for a caller that reads nothing also after its stream was resumed")
{
    // These fill most of what the sockets on the way to the caller hold.
    constexpr int cFillEvents = 32;
    constexpr std::size_t cFillEventBytes = 64 * 1024;
    constexpr int cResumedEvents = 60;
    constexpr std::size_t cHugeEventBytes = 1000 * 1024;
    front_fixture fixture;
    fixture.configure(routing::repetition::resumable_stream, 2, 10s);
    std::size_t size = 0;
    int number = 0;
    const auto next = [&size, &number](std::size_t inBytes) {
        std::string text = numberedEvent(++number, inBytes);
        size += text.size();
        return text;
    };
    std::string begun = cStreamHead;
    for (int index = 0; index < cFillEvents; ++index)
        begun += chunk(next(cFillEventBytes));
    begun += chunk(next(cHugeEventBytes) + "id: 0\nda") + chunk("");
    fixture.first.script = {{begun}};
    std::string resumed = cStreamHead;
    for (int index = 0; index < cResumedEvents; ++index)
        resumed += chunk(next(cHugeEventBytes));
    fixture.second.script = {{resumed + chunk("")}};
    const auto caller = fixture.connect();
    caller_view view;
    fixture.send(*caller, view, "/a/1");
    caller->setReading(false);
    fixture.settle(1s);
    REQUIRE(fixture.second.streams.size() == 1);
    CHECK(fixture.second.streams.front()->unsentBytes() > 0);
    caller->setReading(true);
    fixture.loop.run();
    CHECK(view.status == 200);
    CHECK(view.body.size() == size);
}
