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
