// Guards against overload decisions that delay requests which can still be in time, refuse more
// important requests before less important ones, follow outdated load reports, leave an account
// without service, or send refused callers back all at once.

#include "corneltally/scheduling/overload_policy.h"

#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using scheduling::overload_decision;
using scheduling::overload_policy;
using scheduling::overload_request;
using scheduling::service_backlog;
using rule = overload_decision::rule;

namespace {

constexpr core::time_point cStart{1h};
constexpr int cEndpoints = 10;

/// Backlog of this length at each endpoint, with 36 tokens in a millisecond.
service_backlog backlogOf(core::duration inLength, core::duration inAge = 200ms)
{
    const double inMs = std::chrono::duration<double, std::milli>(inLength).count();
    return {.endpoints = cEndpoints, .promptTokens = inMs * 36 * cEndpoints, .age = inAge};
}

/// Request with a prompt of a quarter of a second.
overload_request requestOf(int inPriority, core::duration inBacklog, core::duration inLimit = 5s)
{
    return {.kind = "route/" + std::to_string(inPriority),
            .account = "a",
            .priority = inPriority,
            .toTarget = 1s,
            .toLimit = inLimit,
            .promptTokens = 9'000,
            .work = 250ms,
            .estimate = inBacklog + 250ms,
            .backlogAhead = inBacklog};
}

/// Policy that has sent prompts of this many tokens with the urgencies 0, 1, ..
overload_policy policyWith(const std::vector<double> &inWaiting)
{
    overload_policy policy;
    for (std::size_t urgency = 0; urgency < inWaiting.size(); ++urgency)
        policy.sent(static_cast<int>(urgency), inWaiting[urgency]);
    return policy;
}

} // namespace

TEST_CASE("a request is sent by its chance to be in time, its priority and its work")
{
    struct example
    {
        const char *name;
        std::vector<double> waiting;
        core::duration backlog;
        core::duration age;
        overload_request request;
        rule decidedBy;
        int urgency;
    };
    const auto with = [](overload_request inRequest, auto inChange) {
        inChange(inRequest);
        return inRequest;
    };
    const std::vector<example> examples{
        {"no overload", {}, 300ms, 200ms, requestOf(2, 300ms), rule::none, 2},
        {"only late requests wait", {0, 0, 0, 1e6}, 3s, 200ms, requestOf(1, 3s), rule::in_time, 2},
        {"in-time requests fill the target",
         {0, 0, 1e6},
         3s,
         200ms,
         requestOf(1, 3s),
         rule::late,
         3},
        {"less important requests wait",
         {0, 0, 0, 0, 1e6},
         6s,
         200ms,
         requestOf(1, 6s),
         rule::in_time,
         2},
        {"late for its limit", {0, 0, 1e6}, 4s, 200ms, requestOf(1, 4s), rule::shed_late, 3},
        {"late with much work",
         {0, 0, 1e6},
         3s,
         200ms,
         with(requestOf(1, 3s), [](auto &ioRequest) { ioRequest.work = 5s; }),
         rule::shed_late,
         3},
        {"has waited for an adapter",
         {0, 0, 1e6},
         4s,
         200ms,
         with(requestOf(1, 4s), [](auto &ioRequest) { ioRequest.isNew = false; }),
         rule::late,
         3},
        {"beyond its limit", {0, 0, 1e6}, 6s, 200ms, requestOf(1, 6s), rule::no_time, 2},
        {"reports about to be dropped", {0, 0, 1e6}, 4s, 1450ms, requestOf(1, 4s), rule::none, 1},
        {"old reports", {0, 0, 1e6}, 4s, 1s, requestOf(1, 4s), rule::late, 3},
    };
    for (const example &each : examples) {
        INFO(each.name);
        overload_policy policy = policyWith(each.waiting);
        // Two requests of a usual size, so that the averages of the kind are known.
        for (int index = 0; index < 2; ++index)
            policy.decide(requestOf(each.request.priority, 0s), backlogOf(0s), cStart);
        const overload_decision decision
            = policy.decide(each.request, backlogOf(each.backlog, each.age), cStart);
        CHECK(toString(decision.decidedBy) == toString(each.decidedBy));
        CHECK(decision.urgency == each.urgency);
        CHECK((decision.retryAfter > 0s) == decision.isRefused());
    }
}

TEST_CASE("a kind is refused while one of higher priority is served less often")
{
    overload_policy policy = policyWith({0, 0, 1e6});
    for (int index = 0; index < 10; ++index)
        CHECK(policy.decide(requestOf(1, 6s), backlogOf(6s), cStart).isRefused());
    // The backlog ahead is short, so the request would be in time.
    const auto decision = policy.decide(requestOf(2, 100ms, 10s), backlogOf(6s), cStart);
    CHECK(decision.decidedBy == rule::shed_priority);
    CHECK(decision.comparedServed < decision.kindServed);
    // Once the kind of higher priority is served again, the other one is, too.
    const core::time_point later = cStart + 30s;
    for (int index = 0; index < 10; ++index)
        policy.decide(requestOf(1, 0s), backlogOf(6s), later);
    CHECK_FALSE(policy.decide(requestOf(2, 100ms, 10s), backlogOf(6s), later).isRefused());
}

TEST_CASE("an account whose requests would all be refused is served a quarter as often as all")
{
    // With the longer backlog there is time for the requests only ahead of all others.
    const core::duration backlog = GENERATE(core::duration(4s), core::duration(6s));
    overload_policy policy = policyWith({0, 0, 1e6});
    const auto isSent = [&](const std::string &inAccount, core::duration inBacklog) {
        overload_request made = requestOf(1, inBacklog);
        made.account = inAccount;
        return !policy.decide(made, backlogOf(backlog), cStart).isRefused();
    };
    int sent = 0;
    int sentOfOther = 0;
    for (int index = 0; index < 40; ++index) {
        sentOfOther += isSent("other", 0s) ? 1 : 0;
        sent += isSent("refused", backlog) ? 1 : 0;
    }
    CHECK(sent < 40);
    CHECK(sent >= (sent + sentOfOther) / 2 / 4);
}

TEST_CASE("refused callers return one after another, the more important ones first")
{
    overload_policy policy = policyWith({0, 0, 1e6});
    core::duration last{};
    for (int index = 0; index < 20; ++index) {
        const auto decision = policy.decide(requestOf(1, 6s), backlogOf(6s), cStart);
        REQUIRE(decision.isRefused());
        CHECK(decision.retryAfter >= last);
        // Callers honour no more than a third of the time that they have left.
        CHECK(decision.retryAfter <= 5s / 3.0);
        last = decision.retryAfter;
    }
    CHECK(policy.decide(requestOf(2, 6s), backlogOf(6s), cStart).retryAfter >= last);
    // With a short backlog the returns are spread over the time that their work takes.
    overload_policy spread = policyWith({0, 0, 1e6});
    overload_request request = requestOf(1, 2200ms, 2800ms);
    request.toTarget = 2500ms;
    const auto first = spread.decide(request, backlogOf(2200ms), cStart);
    const auto second = spread.decide(request, backlogOf(2200ms), cStart);
    REQUIRE((first.isRefused() && second.isRefused()));
    CHECK(second.retryAfter > first.retryAfter);
}
