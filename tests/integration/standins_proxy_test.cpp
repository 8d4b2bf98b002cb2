// Guards against proxy faults that do less than they say, which would make failure proofs pass
// without the failure.

#include "standins/child_process.h"
#include "standins/http_probe.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using nlohmann::json;
using standins::child_process;
namespace http = corneltally::http;
using namespace std::chrono_literals;

namespace {

/// An application behind a proxy link.
struct proxied_application
{
    child_process application{{.program = CORNELTALLY_BINARY_DIR "/standins/standin_application",
                               .arguments = {"--service-ms", "0"},
                               .logFile = ""}};
    child_process proxy{{.program = CORNELTALLY_BINARY_DIR "/standins/standin_proxy",
                         .arguments = {"--link", "app"},
                         .logFile = ""}};
    standins::http_probe control;
    standins::http_probe caller;

    proxied_application()
    {
        REQUIRE(application.waitReady());
        REQUIRE(proxy.waitReady());
        const json link{{"name", "app"}, {"target", application.address("http")}};
        REQUIRE(control.post(proxy.port("http"), "/control/links", json{{"links", {link}}}.dump())
                    .status
                == 200);
    }

    void fault(const json &inBody)
    {
        REQUIRE(control.post(proxy.port("http"), "/control/fault", inBody.dump()).status == 200);
    }

    http::response call(bool inFresh = false)
    {
        return caller.call({.target = {"127.0.0.1", proxy.port("app")},
                            .method = "POST",
                            .path = "/orders",
                            .body = R"({"order":"o"})",
                            .timeout = 500ms,
                            .freshConnection = inFresh});
    }

    json runs()
    {
        return json::parse(control.get(application.port("http"), "/v1/orders").body)
            .at("by_order")
            .value("o", json(0));
    }
};

} // namespace

TEST_CASE("a cut link refuses and closes, and a healed one forwards again")
{
    proxied_application fixture;
    CHECK(fixture.call().status == 200);
    fixture.fault({{"fault", "cut"}});
    CHECK(fixture.call(true).outcome == http::call_outcome::not_sent);
    CHECK(fixture.runs() == 1);
    fixture.fault({{"fault", "heal"}});
    CHECK(fixture.call(true).status == 200);
}

TEST_CASE("a frozen link accepts and forwards nothing, and goes on when healed")
{
    proxied_application fixture;
    CHECK(fixture.call().status == 200);
    fixture.fault({{"fault", "freeze"}, {"names", {"app"}}});
    CHECK(fixture.call().outcome == http::call_outcome::interrupted);
    CHECK(fixture.call(true).outcome == http::call_outcome::interrupted);
    CHECK(fixture.runs() == 1);
    fixture.fault({{"fault", "heal"}});
    CHECK(fixture.call(true).status == 200);
}

TEST_CASE("a half-open connection goes silent in one direction while new ones work")
{
    proxied_application fixture;
    CHECK(fixture.call().status == 200);
    fixture.fault({{"fault", "half_open"}, {"direction", "backward"}});
    // The request arrives and runs, its answer does not.
    CHECK(fixture.call().outcome == http::call_outcome::interrupted);
    CHECK(fixture.runs() == 2);
    CHECK(fixture.call().status == 200);
    fixture.fault({{"fault", "half_open"}, {"direction", "forward"}});
    CHECK(fixture.call().outcome == http::call_outcome::interrupted);
    CHECK(fixture.runs() == 3);
}

TEST_CASE("a delay applies to each direction")
{
    proxied_application fixture;
    fixture.fault({{"fault", "delay"}, {"delay_ms", 60}});
    const auto start = std::chrono::steady_clock::now();
    CHECK(fixture.call().status == 200);
    CHECK(std::chrono::steady_clock::now() - start >= 120ms);
}

TEST_CASE("a connection is dropped after the given bytes")
{
    proxied_application fixture;
    fixture.fault({{"fault", "drop_after"}, {"direction", "backward"}, {"bytes", 10}});
    CHECK(fixture.call().outcome == http::call_outcome::interrupted);
    CHECK(fixture.runs() == 1);
    fixture.fault({{"fault", "heal"}});
    CHECK(fixture.call().status == 200);
}
