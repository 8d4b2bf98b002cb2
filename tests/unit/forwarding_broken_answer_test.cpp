// Guards against broken answers of endpoints that callers get as answers: statuses that HTTP does
// not define, and heads whose field names are not names.

#include "tests/broken_heads.h"
#include "tests/unit/forwarding_front_fixture.h"

using namespace corneltally;
using namespace corneltally::front_test;
using routing::repetition;

namespace {

const std::string cSeal = std::string(platform::cSealField) + ": s1\r\n";

/// Checks that callers never get the answers of an endpoint: an order has an unknown outcome, a
/// repeatable request is answered by another endpoint.
void checkNotPassedOn(const std::vector<std::string> &inAnswers)
{
    const repetition repeats = GENERATE(repetition::once, repetition::repeatable);
    CAPTURE(repeats == repetition::once);
    front_fixture fixture;
    fixture.configure(repeats, 2);
    std::uint64_t start = 1;
    for (const std::string &answer : inAnswers) {
        INFO(answer);
        // Each answer comes from a new start of the endpoint, which has not failed yet.
        fixture.announce("e1", "shop", fixture.first, ++start);
        fixture.first.script = {{answer, true}};
        fixture.second.script = {{cSealed}};
        fixture.second.requests.clear();
        const caller_view view = fixture.call();
        CHECK(view.end.outcome == http1::exchange_end::kind::complete);
        if (repeats == repetition::once) {
            CHECK(view.status == 502);
            CHECK_FALSE(http1::findField(view.fields, platform::cSealField));
            CHECK(view.body.find(R"("run":"unknown")") != std::string::npos);
            CHECK(fixture.second.requests.empty());
        } else {
            CHECK(view.status == 200);
            CHECK(view.body == "ok");
            CHECK(fixture.second.requests.size() == 1);
        }
    }
}

std::vector<std::string> answersWithLines(const std::vector<std::string> &inLines)
{
    std::vector<std::string> answers;
    for (const std::string &line : inLines) {
        std::string fields = cSeal;
        fields.append(line).append("\r\n");
        answers.push_back("HTTP/1.1 200 OK\r\n" + fields + "Content-Length: 6\r\n\r\nbroken");
        answers.push_back("HTTP/1.1 200 OK\r\n" + fields + "\r\nbroken");
        answers.emplace_back("HTTP/1.1 100 Continue\r\n")
            .append(fields)
            .append("\r\n")
            .append(cSealed);
    }
    return answers;
}

} // namespace

// Failure: a status of 000 in a sealed answer is neither a success nor a failure of the endpoint,
// and is passed on as any other status.
TEST_CASE("an answer with a status that HTTP does not define is not passed on")
{
    const std::vector<std::string> rests{"Content-Length: 6\r\n\r\nbroken", "\r\nbroken",
                                         "Content-Length: 0\r\n\r\n" + cSealed};
    std::vector<std::string> answers;
    for (const std::string &status : broken_heads::cStatuses) {
        const std::string head = broken_heads::statusLine(status) + cSeal;
        for (const std::string &rest : rests)
            answers.emplace_back(head).append(rest);
    }
    checkNotPassedOn(answers);
}

// Failure: the line is passed on, or two receivers see different ends of the body.
TEST_CASE("an answer with a blank or a control byte in a field name is not passed on")
{
    checkNotPassedOn(answersWithLines(broken_heads::cFieldLines));
}

// Failure: the line becomes a part of the field before it, here of the endpoint's seal.
TEST_CASE("an answer with a line that begins with a blank is not passed on")
{
    checkNotPassedOn(answersWithLines(broken_heads::cFoldedLines));
}

// Failure: the caller has neither a length nor chunks, so that the end of its connection is the end
// of the answer.
TEST_CASE("a stream that breaks off does not look complete to a caller of HTTP/1.0")
{
    const bool breaksOff = GENERATE(false, true);
    CAPTURE(breaksOff);
    front_fixture fixture;
    fixture.configure(repetition::once_stream, 1);
    const std::string event = "id: 1\ndata: a\n\n";
    fixture.first.script = {{cStreamHead + chunk(event) + (breaksOff ? "" : "0\r\n\r\n"), true}};
    http1::socket_stream caller(fixture.loop, http1::address{"127.0.0.1", fixture.front.port()},
                                5s);
    std::string received;
    std::optional<http1::stream_end> end;
    caller.setEvents({.onConnected = {},
                      .onInput =
                          [&] {
                              received.append(caller.input());
                              caller.consume(caller.input().size());
                          },
                      .onDrained = {},
                      .onEnd =
                          [&](http1::stream_end inEnd) {
                              end = inEnd;
                              fixture.loop.stop();
                          }});
    caller.write("POST /a/1 HTTP/1.0\r\nHost: shop.example\r\nAuthorization: Token k1\r\n"
                 + std::string(platform::cRequestIdField)
                 + ": id1\r\nContent-Length: 4\r\n\r\nbody");
    fixture.loop.run();
    // A reset may discard what the caller has not read.
    if (!breaksOff)
        CHECK(received.ends_with("\r\n\r\n" + event));
    CHECK(end == (breaksOff ? http1::stream_end::failed : http1::stream_end::closed));
}
