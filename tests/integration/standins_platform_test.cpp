// Guards against a platform stand-in that would let a daemon pass its tests with a wrong log
// client: lost answers, retention, long polls, outages, the weight store's limits.

#include "standins/child_process.h"
#include "standins/http_probe.h"

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using nlohmann::json;
using standins::child_process;
namespace http = corneltally::http;
using namespace std::chrono_literals;

namespace {

constexpr const char *cRecords = "/v1/log/settings/records";

struct platform_process
{
    child_process process;
    standins::http_probe probe;

    explicit platform_process(std::vector<std::string> inArguments = {})
        : process({.program = CORNELTALLY_BINARY_DIR "/standins/standin_platform",
                   .arguments = std::move(inArguments),
                   .logFile = ""})
    {
        REQUIRE(process.waitReady());
    }

    unsigned short port() const { return process.port("http"); }

    http::response append(const std::string &inData)
    {
        return probe.post(port(), cRecords, inData);
    }

    http::response read(const std::string &inQuery)
    {
        return probe.get(port(), cRecords + inQuery);
    }

    void control(const std::string &inWhat, const json &inBody)
    {
        REQUIRE(probe.post(port(), "/control/" + inWhat, inBody.dump()).status == 200);
    }
};

} // namespace

TEST_CASE("records are read back in order with their offsets")
{
    platform_process platform;
    for (int index = 0; index < 5; ++index) {
        const json answer
            = json::parse(platform.append("record \"" + std::to_string(index) + "\"\n").body);
        CHECK(answer.at("offset") == index + 1);
    }
    const json answer = json::parse(platform.read("?from=2&limit=3").body);
    CHECK(answer.at("first") == 1);
    CHECK(answer.at("next") == 6);
    REQUIRE(answer.at("records").size() == 3);
    CHECK(answer.at("records").at(0).at("offset") == 2);
    CHECK(answer.at("records").at(0).at("data") == "record \"1\"\n");
    CHECK(answer.at("records").at(0).contains("time_ms"));
}

TEST_CASE("an append takes effect although its answer is lost")
{
    platform_process platform;
    platform.control("log", {{"stream", "settings"}, {"lose_answers", 1}});
    CHECK(platform.append("kept").outcome == http::call_outcome::interrupted);
    const json answer = json::parse(platform.read("?from=1").body);
    REQUIRE(answer.at("records").size() == 1);
    CHECK(answer.at("records").at(0).at("data") == "kept");
    CHECK(platform.append("next").status == 200);
}

TEST_CASE("a read below the retained records is answered with 410 and the first offset")
{
    platform_process platform({"--retain-records", "3"});
    for (int index = 0; index < 5; ++index)
        REQUIRE(platform.append("x").status == 200);
    const http::response answer = platform.read("?from=2");
    CHECK(answer.status == 410);
    CHECK(json::parse(answer.body).at("first") == 3);
    CHECK(json::parse(platform.read("?from=3").body).at("records").size() == 3);
    // Readers that start without a position ask from 0, also of an empty stream.
    platform_process empty;
    const http::response start = empty.read("?from=0&wait_ms=1000");
    CHECK(start.status == 410);
    CHECK(json::parse(start.body).at("first") == 1);
}

TEST_CASE("a long poll is answered by the append that it waits for, or empty at its end")
{
    platform_process platform;
    const json empty = json::parse(platform.read("?from=1&wait_ms=50").body);
    CHECK(empty.at("records").empty());
    CHECK(empty.at("next") == 1);

    corneltally::kernel::event_loop loop;
    http::client client(loop);
    std::string body;
    http::fetch(client,
                {.target = {"127.0.0.1", platform.port()},
                 .path = std::string(cRecords) + "?from=1&wait_ms=20000"},
                [&](const http::response &inAnswer) {
                    body = inAnswer.body;
                    loop.stop();
                });
    http::fetch(client,
                {.target = {"127.0.0.1", platform.port()},
                 .method = "POST",
                 .path = cRecords,
                 .body = "awaited"},
                [](const http::response &) {});
    loop.run();
    CHECK(json::parse(body).at("records").at(0).at("data") == "awaited");
}

TEST_CASE("outages refuse, hang and slow down, and end")
{
    platform_process platform;
    platform.control("outage", {{"part", "log"}, {"mode", "refuse"}});
    CHECK(platform.append("x").outcome == http::call_outcome::interrupted);
    platform.control("outage", {{"part", "log"}, {"mode", "hang"}});
    const http::response hung = platform.probe.call(
        {.target = {"127.0.0.1", platform.port()}, .path = cRecords, .timeout = 200ms});
    CHECK(hung.outcome == http::call_outcome::interrupted);
    platform.control("outage", {{"part", "log"}, {"mode", "slow"}, {"slow_ms", 200}});
    const auto start = std::chrono::steady_clock::now();
    CHECK(platform.append("slow").status == 200);
    CHECK(std::chrono::steady_clock::now() - start >= 200ms);
    platform.control("outage", {{"part", "log"}, {"mode", "none"}});
    CHECK(platform.append("fast").status == 200);
}

TEST_CASE("appends over the ceiling are refused and not stored")
{
    platform_process platform({"--appends-per-second", "4"});
    int stored = 0;
    for (int index = 0; index < 20; ++index)
        stored += platform.append("x").status == 200 ? 1 : 0;
    CHECK(stored < 20);
    CHECK(json::parse(platform.read("?from=1").body).at("records").size()
          == static_cast<std::size_t>(stored));
}

TEST_CASE("the instance list shows a change only after its lag")
{
    platform_process platform({"--list-lag-ms", "300"});
    const json entry{{"name", "entry-1"},
                     {"failure_domain", "north"},
                     {"kind", "entry"},
                     {"address", "127.0.0.1:1"},
                     {"state", "live"}};
    const auto start = std::chrono::steady_clock::now();
    platform.control("instances", {{"instances", {entry}}});
    const auto shown = [&] {
        return json::parse(platform.probe.get(platform.port(), "/v1/instances").body)
            .at("instances");
    };
    while (shown().empty())
        REQUIRE(std::chrono::steady_clock::now() - start < 20s);
    CHECK(std::chrono::steady_clock::now() - start >= 300ms);
    CHECK(shown().at(0) == entry);
}

TEST_CASE("the weight store limits its rate and fails on demand")
{
    platform_process platform({"--load-ms", "1"});
    int granted = 0;
    int refused = 0;
    for (int index = 0; index < 12; ++index) {
        const int status = platform.probe.post(platform.port(), "/v1/weights/a/1", "").status;
        granted += status == 200 ? 1 : 0;
        refused += status == 429 ? 1 : 0;
    }
    CHECK(granted >= 8);
    CHECK(refused >= 1);
    CHECK(granted + refused == 12);

    platform_process failing({"--load-ms", "1"});
    failing.control("weights", {{"fail_next", 1}});
    CHECK(failing.probe.post(failing.port(), "/v1/weights/a/1", "").status == 500);
    CHECK(failing.probe.post(failing.port(), "/v1/weights/a/1", "").status == 200);
}
