// Guards against an application stand-in that miscounts runs, on which the proof of "at most once"
// rests.

#include "standins/child_process.h"
#include "standins/http_probe.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using nlohmann::json;
using standins::child_process;
namespace http = corneltally::http;
using namespace std::chrono_literals;

namespace {

struct application_process
{
    child_process process{{.program = CORNELTALLY_BINARY_DIR "/standins/standin_application",
                           .arguments = {"--service-ms", "1"},
                           .logFile = ""}};
    standins::http_probe probe;

    application_process() { REQUIRE(process.waitReady()); }

    unsigned short port() const { return process.port("http"); }

    http::response order(const std::string &inId)
    {
        return probe.post(port(), "/orders", json{{"order", "body-" + inId}}.dump(),
                          {{"X-Order-Id", inId}, {"X-Request-Id", "r"}});
    }

    void faults(const json &inBody)
    {
        REQUIRE(probe.post(port(), "/control/faults", inBody.dump()).status == 200);
    }

    json counts() { return json::parse(probe.get(port(), "/v1/orders").body); }
};

} // namespace

TEST_CASE("every run of an order is counted by header and by body")
{
    application_process application;
    CHECK(json::parse(application.order("a").body).at("runs") == 1);
    CHECK(json::parse(application.order("a").body).at("runs") == 2);
    CHECK(json::parse(application.order("b").body).at("order") == "body-b");
    CHECK(application.counts().at("by_order_id") == json{{"a", 2}, {"b", 1}});
    CHECK(application.counts().at("by_order") == json{{"body-a", 2}, {"body-b", 1}});
}

TEST_CASE("a refusal does not run, a lost answer does")
{
    application_process application;
    application.faults({{"refuse", 1}});
    const http::response refused = application.order("a");
    CHECK(refused.status == 503);
    CHECK(http::findHeader(refused.headers, "X-Not-Run") == "true");
    CHECK(application.counts().at("by_order_id").empty());
    application.faults({{"close_after_run", 1}});
    CHECK(application.order("a").outcome == http::call_outcome::interrupted);
    CHECK(application.counts().at("by_order_id") == json{{"a", 1}});
    CHECK(application.order("b").status == 200);
}

TEST_CASE("a late answer comes after the run took effect")
{
    application_process application;
    application.faults({{"late_ms", 60'000}});
    const http::response answer
        = application.probe.call({.target = {"127.0.0.1", application.port()},
                                  .method = "POST",
                                  .path = "/orders",
                                  .headers = {{"X-Order-Id", "late"}},
                                  .body = "{}",
                                  .timeout = 300ms});
    CHECK(answer.outcome == http::call_outcome::interrupted);
    CHECK(application.counts().at("by_order_id") == json{{"late", 1}});
}
