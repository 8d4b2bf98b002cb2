// Guards against requests that run twice, refusals of requests that may have run, and streams that
// are resumed incorrectly.

#include "corneltally/forwarding/attempt_rules.h"
#include "corneltally/forwarding/event_splitter.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using forwarding::attempt_facts;
using forwarding::attempt_result;
using forwarding::next_step;
using forwarding::run_state;
using forwarding::runStateAfter;
using forwarding::stepAfter;
using routing::repetition;

TEST_CASE("a request that may have run is never refused, and sent again only if it may be repeated")
{
    for (const repetition kind : {repetition::once, repetition::once_stream}) {
        const attempt_facts facts{.result = attempt_result::broken,
                                  .kind = kind,
                                  .endpointsUsed = 1,
                                  .maxEndpoints = 3,
                                  .timeLeft = 1s};
        CHECK(runStateAfter(facts) == run_state::unknown);
        CHECK(stepAfter(facts) == next_step::answer_unknown);
    }
    const attempt_facts repeatable{.result = attempt_result::broken,
                                   .kind = repetition::repeatable,
                                   .endpointsUsed = 1,
                                   .maxEndpoints = 3,
                                   .timeLeft = 1s};
    CHECK(stepAfter(repeatable) == next_step::try_other);
}

TEST_CASE("an explicit refusal keeps the run state of the previous attempts")
{
    attempt_facts facts{.result = attempt_result::refused,
                        .kind = repetition::repeatable,
                        .endpointsUsed = 2,
                        .maxEndpoints = 2,
                        .timeLeft = 1s};
    CHECK(runStateAfter(facts) == run_state::not_run);
    CHECK(stepAfter(facts) == next_step::refuse);
    facts.stateBefore = run_state::unknown;
    CHECK(runStateAfter(facts) == run_state::unknown);
    CHECK(stepAfter(facts) == next_step::answer_unknown);
}

TEST_CASE("an attempt that sent nothing does not count as a used endpoint")
{
    const attempt_facts facts{.result = attempt_result::not_sent,
                              .kind = repetition::once,
                              .endpointsUsed = 1,
                              .maxEndpoints = 1,
                              .timeLeft = 1s};
    CHECK(stepAfter(facts) == next_step::try_other);
}

TEST_CASE("an endpoint's failure is forwarded if the request may not be repeated")
{
    attempt_facts facts{.result = attempt_result::failure_answered,
                        .kind = repetition::once,
                        .endpointsUsed = 1,
                        .maxEndpoints = 3,
                        .timeLeft = 1s};
    CHECK(stepAfter(facts) == next_step::pass_failure);
    facts.kind = repetition::repeatable;
    CHECK(stepAfter(facts) == next_step::try_other);
    facts.timeLeft = 1ms;
    CHECK(stepAfter(facts) == next_step::pass_failure);
}

TEST_CASE("a started answer is resumed or aborted")
{
    attempt_facts facts{.result = attempt_result::broken,
                        .kind = repetition::resumable_stream,
                        .endpointsUsed = 1,
                        .maxEndpoints = 2,
                        .answerStarted = true,
                        .timeLeft = 1s};
    CHECK(stepAfter(facts) == next_step::try_other);
    facts.endpointsUsed = 2;
    CHECK(stepAfter(facts) == next_step::abort);
    facts.kind = repetition::once_stream;
    facts.endpointsUsed = 1;
    CHECK(stepAfter(facts) == next_step::abort);
}

TEST_CASE("a stream is split into complete events")
{
    forwarding::event_splitter splitter;
    CHECK(splitter.append("id: 1\ndata: a\n").empty());
    const auto events = splitter.append("\nversions: 2\r\nid:2\r\ndata: b\r\n\r\nid: 3\nda");
    REQUIRE(events.size() == 2);
    CHECK(events[0].id == "1");
    CHECK(events[0].bytes == "id: 1\ndata: a\n\n");
    CHECK(events[1].id == "2");
    CHECK(splitter.remainder() == "id: 3\nda");
}
