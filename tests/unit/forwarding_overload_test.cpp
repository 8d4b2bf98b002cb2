// Guards against an overload policy that is in force without being asked for, whose urgency does
// not reach the endpoint, or whose refusals are not told as refusals with a time to return.

#include "forwarding_front_fixture.h"

#include <memory>
#include <string>
#include <vector>

using namespace corneltally;
using namespace corneltally::front_test;

TEST_CASE("during an overload late requests are sent with less urgency and those beyond their "
          "bound refused")
{
    const bool isWeighed = GENERATE(false, true);
    front_fixture fixture(400ms, false, isWeighed);
    fixture.configure(routing::repetition::once, 1, 10s);
    fixture.engineState({});
    const auto fields = [](const char *inTokens, const char *inDeadlineMs) {
        return http1::header_fields{{std::string(platform::cModelField), "base"},
                                    {std::string(platform::cTokenCountField), inTokens},
                                    {std::string(platform::cDeadlineField), inDeadlineMs}};
    };
    // The endpoint does not answer. Four large prompts are a backlog of 5.6 s.
    std::vector<std::unique_ptr<http1::client_connection>> callers;
    std::vector<std::unique_ptr<caller_view>> views;
    for (const char *tokens : {"50000,10", "50000,10", "50000,10", "50000,10", "1000,10"}) {
        callers.push_back(fixture.connect());
        views.push_back(std::make_unique<caller_view>());
        fixture.send(*callers.back(), *views.back(), "/lm/1", fields(tokens, "10000"));
        fixture.settle(100ms);
    }
    REQUIRE(fixture.first.requests.size() == 5);
    const auto urgencyOf = [](const std::string &inRequest) {
        const std::string name = std::string(platform::cUrgencyField) + ": ";
        return inRequest.substr(inRequest.find(name) + name.size(), 1);
    };
    CHECK(urgencyOf(fixture.first.requests[0]) == "0");
    CHECK(urgencyOf(fixture.first.requests[4]) == (isWeighed ? "1" : "0"));
    const caller_view refused = fixture.call("/lm/1", fields("1000,10", "3000"));
    CHECK(refused.status == 503);
    CHECK(refused.body.find("not_run") != std::string::npos);
    CHECK(http1::findField(refused.fields, platform::cRetryAfterField).has_value());
    const std::string metrics = fixture.metrics.toText();
    CHECK((metrics.find("overload_decisions_total{rule=\"shed_late\",priority=\"0\"} 1")
           != std::string::npos)
          == isWeighed);
}
