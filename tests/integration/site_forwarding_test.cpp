// Guards the way of a request through real forwarding instances that speak the published protocol
// with a store and endpoints in other processes: one case for each promise to callers, with a fault
// that would break it.

#include "platform/names.h"
#include "standins/caller_connection.h"
#include "standins/site.h"
#include "tests/integration/endless_endpoint.h"
#include "tests/integration/site_fixture.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace std::chrono_literals;
namespace http = corneltally::http;
namespace platform = corneltally::platform;
using nlohmann::json;
using standins::site;

namespace {

/// Sends a request and closes the connection without reading the answer once a condition holds.
void callAndLeave(const http::call_request &inCall, const std::function<bool()> &inCondition)
{
    const std::string text = standins::requestText(inCall);
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{.sin_family = AF_INET, .sin_port = htons(inCall.target.port)};
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(caller, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0);
    REQUIRE(write(caller, text.data(), text.size()) == std::ssize(text));
    CHECK(site::waitFor(inCondition));
    close(caller);
}

} // namespace

TEST_CASE("a request reaches an endpoint of its route unchanged, under its account's name alone")
{
    site_fixture fixture;
    const http::response answer = fixture.call({.path = "/look/a/b", .id = "r1"});
    CHECK(answer.status == 200);
    CHECK(answer.body == "ran r1");
    CHECK_FALSE(http::findHeader(answer.headers, platform::cSealField).empty());
    const auto runs = fixture.runsOf("r1");
    REQUIRE(runs.size() == 1);
    CHECK(runs[0].at("path") == "/look/a/b");
    CHECK(runs[0].at("body") == "body of r1");
    CHECK(runs[0].at("account") == "harbour");
    CHECK(runs[0].at("saw_key") == false);
    CHECK(std::stoi(runs[0].at("deadline").get<std::string>()) <= 5000);
    CHECK(fixture.call({.path = "/nowhere/1"}).status == 404);
    CHECK(fixture.call({.key = "key-unknown"}).status == 401);
}

TEST_CASE("the longest prefix wins and a change of the configuration is in force within its bound")
{
    site_fixture fixture;
    json deeper = fixture.fleet.configuration().at("routes").at(0);
    deeper["name"] = "deeper";
    deeper["path-prefix"] = "/look/deep/";
    deeper["service"] = "models";
    fixture.fleet.configuration()["routes"].push_back(deeper);
    REQUIRE(fixture.fleet.publish());
    for (const std::string &name : fixture.fleet.names("edge-")) {
        CHECK(site::waitFor(
            [&] {
                return fixture.call({.path = "/look/deep/1", .instance = name}).body.find("data:")
                    != std::string::npos;
            },
            2s));
    }
    CHECK(fixture.call({.path = "/look/1"}).body.starts_with("ran "));
}

TEST_CASE("a withdrawn key is refused within its bound, also where the store is out of reach")
{
    site_fixture fixture({.proxied = true});
    REQUIRE(fixture.call({.instance = "edge-2"}).status == 200);
    REQUIRE(fixture.fleet.linkFault({"edge-2>store"}, "freeze"));
    fixture.fleet.configuration()["tenants"][0]["api-keys"] = {"key-new"};
    REQUIRE(fixture.fleet.publish());
    for (const std::string &name : fixture.fleet.names("edge-")) {
        CHECK(site::waitFor([&] { return fixture.call({.instance = name}).status == 401; }, 3s));
        CHECK(fixture.call({.key = "key-new", .instance = name}).status == 200);
    }
}

TEST_CASE("an order whose answer was lost runs once and is answered as unknown")
{
    site_fixture fixture;
    fixture.faultOnAll("app-", {{"lose", 1}});
    CHECK(fixture.call({.path = "/order/1", .id = "o1"}).status == 502);
    CHECK(fixture.runsOf("o1").size() == 1);
}

TEST_CASE("a repeatable request whose answer was lost, failed or was cut runs at another endpoint")
{
    site_fixture fixture;
    const std::string fault = GENERATE("lose", "fail", "cut");
    CAPTURE(fault);
    REQUIRE(fixture.fleet.setFaults("app-1", {{fault, 1}}));
    const http::response answer = fixture.call({.id = "l1"});
    CHECK(answer.status == 200);
    CHECK(answer.body == "ran l1");
    CHECK(fixture.runsOf("l1").size() == 2);
}

TEST_CASE("a failure of an endpoint on an order is passed on with its seal")
{
    site_fixture fixture;
    fixture.faultOnAll("app-", {{"fail", 1}});
    const http::response answer = fixture.call({.path = "/order/1", .id = "o1"});
    CHECK(answer.status == 500);
    CHECK(answer.body == "failed");
    CHECK_FALSE(http::findHeader(answer.headers, platform::cSealField).empty());
    CHECK(fixture.runsOf("o1").size() == 1);
}

TEST_CASE("a request that every endpoint refuses is refused at once, has not run and may come back")
{
    site_fixture fixture;
    fixture.faultOnAll("app-", {{"refuse", -1}});
    const auto start = std::chrono::steady_clock::now();
    const http::response answer = fixture.call({.path = "/order/1", .id = "o1"});
    CHECK(answer.status == 503);
    CHECK(std::chrono::steady_clock::now() - start < 1s);
    CHECK_FALSE(http::findHeader(answer.headers, "Retry-After").empty());
    CHECK(fixture.runsOf("o1").empty());
}

TEST_CASE("a silent endpoint ends in an unknown answer before the caller's time is over")
{
    site_fixture fixture;
    fixture.faultOnAll("app-", {{"silent", true}});
    const http::response answer
        = fixture.call({.path = "/order/1", .deadlineMs = 700, .timeout = 900ms});
    CHECK(answer.status == 504);
}

namespace {

/// Largest resident memory of a process so far.
long peakKilobytes(pid_t inProcess)
{
    std::ifstream status("/proc/" + std::to_string(inProcess) + "/status");
    std::string word;
    while (status >> word && word != "VmHWM:") { }
    long kilobytes = 0;
    status >> kilobytes;
    return kilobytes;
}

} // namespace

// Failure: an endpoint that sends a head or a body without end fills the instance's memory.
TEST_CASE("answers without end are broken off at once and cost little memory")
{
    site_fixture fixture({.instances = 1, .engines = 1, .applications = 0});
    const std::string sealed
        = "HTTP/1.1 200 OK\r\n" + std::string(platform::cSealField) + ": s1\r\n";
    const std::string head = GENERATE_COPY(sealed + "Name: ", std::string(),
                                           sealed + "Content-Length: 99999999999\r\n\r\n",
                                           std::string("HTTP/1.1 200 OK\r\n\r\n"));
    CAPTURE(head);
    endless_endpoint endpoint(head);
    const long before = peakKilobytes(fixture.fleet.process("edge-1").pid());
    constexpr int cCalls = 8;
    for (int index = 1; index <= cCalls; ++index) {
        // Each call meets an endpoint that is new to the instance, which avoids failing ones.
        const json entry{
            {"service", "app"}, {"address", "127.0.0.1:" + std::to_string(endpoint.port())},
            {"zone", "north"},  {"capacity", 8},
            {"state", "ready"}, {"born", index},
            {"sequence", 0}};
        const json body{{"key", "endless-" + std::to_string(index)}, {"entry", entry}};
        REQUIRE(fixture.fleet.probe()
                    .post(fixture.fleet.process("store").port("http"), "/control/heartbeat",
                          body.dump())
                    .status
                == 200);
        http::response answer;
        CHECK(site::waitFor([&] {
            const auto start = std::chrono::steady_clock::now();
            answer = fixture.call({.path = "/order/1"});
            CHECK(std::chrono::steady_clock::now() - start < 3s);
            return answer.status != 503;
        }));
        CHECK(answer.status == 502);
    }
    CHECK(site::waitFor([&] { return endpoint.closed() >= cCalls; }));
    const long grown = peakKilobytes(fixture.fleet.process("edge-1").pid()) - before;
    WARN("memory: " << before << " KB before, " << grown << " KB more");
    // Less than if all answers were kept up to their limit of 1 MiB.
    CHECK(grown < cCalls * 1024);
}

// Failure: uploads within the limit of a body fill the instance's memory together, and the orders
// of others end with its process.
TEST_CASE("many uploads at once leave an instance within its memory and serve the others")
{
    constexpr int cUploads = 60;
    constexpr std::size_t cUploadBytes = 4'000'000;
    site_fixture fixture({.instances = 1,
                          .engines = 0,
                          .applicationFlags = {"--work-ms", "1000", "--slots", "200"}});
    const pid_t instance = fixture.fleet.process("edge-1").pid();
    const long before = peakKilobytes(instance);
    const std::string body(cUploadBytes, 'x');
    std::vector<std::thread> callers;
    callers.reserve(cUploads);
    std::vector<http::response> answers(cUploads);
    for (int index = 0; index < cUploads; ++index) {
        callers.emplace_back(
            [&answer = answers[static_cast<std::size_t>(index)],
             call = fixture.makeCall({.path = "/look/1", .key = "key-island", .body = body})] {
                standins::http_probe probe;
                answer = probe.call(call);
            });
    }
    int served = 0;
    constexpr int cOrders = 4;
    for (int order = 0; order < cOrders; ++order)
        served += fixture.call({.path = "/order/1"}).status == 200 ? 1 : 0;
    for (std::thread &caller : callers)
        caller.join();
    const long grown = peakKilobytes(instance) - before;
    WARN("memory: " << before << " KB before, " << grown << " KB more");
    CHECK(served == cOrders);
    // Half of the instance's memory.
    CHECK(grown < 256 * 1024);
    CHECK(std::ranges::count(answers, 200, &http::response::status) > 0);
    CHECK(std::ranges::all_of(answers, [](const http::response &inAnswer) {
        return inAnswer.status == 200 || inAnswer.status == 503;
    }));
}

TEST_CASE("a request beyond its account's rate over all instances is refused with a time")
{
    site_fixture fixture;
    fixture.fleet.configuration()["tenants"][1]["rate-per-s"] = 1;
    fixture.fleet.configuration()["tenants"][1]["burst"] = 1000;
    REQUIRE(fixture.fleet.publish());
    http::response refused;
    CHECK(site::waitFor([&] {
        refused = fixture.call({.key = "key-island"});
        return refused.status == 429;
    }));
    CHECK_FALSE(http::findHeader(refused.headers, "Retry-After").empty());
    CHECK(site::waitFor(
        [&] { return fixture.call({.key = "key-island", .instance = "edge-2"}).status == 429; }));
    CHECK(fixture.call({.instance = "edge-2"}).status == 200);
}

TEST_CASE("a stream arrives whole, goes on at another engine if it may, and else is visibly cut")
{
    site_fixture fixture;
    const http::response whole = fixture.call({.path = "/chat/1", .id = "s1", .adapter = "a1"});
    CHECK(whole.outcome == http::call_outcome::completed);
    CHECK(whole.body == wholeStream("s1"));
    fixture.faultOnAll("engine-", {{"cut", 1}});
    const http::response cut = fixture.call({.path = "/chat/1", .id = "s2", .adapter = "a1"});
    CHECK(cut.outcome != http::call_outcome::completed);
    CHECK(wholeStream("s2").starts_with(cut.body));
    CHECK(fixture.runsOf("s2").size() == 1);
    fixture.faultOnAll("engine-", {{"cut", 0}});
    for (const std::string &name : fixture.fleet.names("engine-")) {
        REQUIRE(fixture.fleet.setFaults(name, {{"cut", 1}}));
        const http::response resumed
            = fixture.call({.path = "/long/1", .id = "s3-" + name, .adapter = "a1"});
        CHECK(resumed.outcome == http::call_outcome::completed);
        CHECK(resumed.body == wholeStream("s3-" + name));
        fixture.faultOnAll("engine-", {{"cut", 0}});
    }
}

TEST_CASE("an endpoint stops its work when the caller leaves")
{
    site_fixture fixture({.engineFlags = {"--events", "400"}});
    callAndLeave(fixture.makeCall({.path = "/chat/1", .id = "s1", .adapter = "a1"}),
                 [&] { return !fixture.runsOf("s1").empty(); });
    CHECK(site::waitFor([&] { return !fixture.fleet.facts("run_cancelled").empty(); }, 2s));
}

TEST_CASE("an adapter that many ask for at once is loaded once and never beyond its places")
{
    site_fixture fixture({.instances = 3, .engines = 3, .engineFlags = {"--slots", "64"}});
    std::vector<std::thread> callers;
    std::atomic<int> served = 0;
    for (int index = 0; index < 24; ++index) {
        const caller_request request{.path = "/chat/1",
                                     .id = "s" + std::to_string(index),
                                     .adapter = "a" + std::to_string(index % 4),
                                     .instance = "edge-" + std::to_string(1 + index % 3)};
        callers.emplace_back([&served, call = fixture.makeCall(request)] {
            standins::http_probe probe;
            if (probe.call(call).status == 200)
                ++served;
        });
    }
    for (std::thread &caller : callers)
        caller.join();
    CHECK(served == 24);
    std::map<std::string, int> loads;
    for (const json &load : fixture.fleet.facts("load"))
        ++loads[load.at("adapter").get<std::string>()];
    CHECK(loads.size() == 4);
    for (const auto &[adapter, count] : loads)
        CHECK(count == 1);
    for (int index = 0; index < 30; ++index)
        CHECK(fixture.call({.path = "/chat/1", .adapter = "b" + std::to_string(index)}).status
              == 200);
    CHECK(fixture.fleet.facts("overfull").empty());
}

TEST_CASE("a named version of an adapter serves within its bound")
{
    site_fixture fixture;
    REQUIRE(fixture.call({.path = "/chat/1", .adapter = "a1"}).status == 200);
    REQUIRE(fixture.fleet.nameVersion("a1", 7));
    int tries = 0;
    CHECK(site::waitFor(
        [&] {
            const std::string id = "v" + std::to_string(++tries);
            fixture.call({.path = "/chat/1", .id = id, .adapter = "a1"});
            const auto runs = fixture.runsOf(id);
            return !runs.empty() && runs.back().at("version") == 7;
        },
        5s));
}

TEST_CASE("an engine's orders come from one holder, and lost or late orders change nothing twice")
{
    site_fixture fixture({.instances = 3});
    fixture.faultOnAll("engine-", {{"late_orders", 1}});
    for (int index = 0; index < 12; ++index)
        fixture.call({.path = "/chat/1",
                      .adapter = "a" + std::to_string(index),
                      .instance = "edge-" + std::to_string(1 + index % 3)});
    std::map<std::string, std::set<std::string>> holders;
    for (const json &order : fixture.fleet.facts("order"))
        holders[order.at("process").get<std::string>()].insert(
            order.at("holder").get<std::string>());
    CHECK(holders.size() == 2);
    for (const auto &[engine, names] : holders)
        CHECK(names.size() == 1);
    CHECK(fixture.fleet.facts("overfull").empty());
}

TEST_CASE("callers are served while the store is away, forgets or loses answers, and after it")
{
    site_fixture fixture;
    REQUIRE(fixture.call({.path = "/chat/1", .adapter = "a1"}).status == 200);
    const std::string mode = GENERATE("busy", "silent", "reset");
    CAPTURE(mode);
    REQUIRE(fixture.fleet.setFaults("store", {{"mode", mode}}));
    for (int index = 0; index < 5; ++index) {
        CHECK(fixture.call().status == 200);
        CHECK(fixture.call({.path = "/chat/1", .adapter = "a1"}).status == 200);
        std::this_thread::sleep_for(150ms);
    }
    REQUIRE(fixture.fleet.setFaults("store", {{"mode", "none"}, {"forget", true}, {"lose", 2}}));
    fixture.fleet.configuration()["tenants"][0]["api-keys"] = {"key-new"};
    REQUIRE(fixture.fleet.publish());
    CHECK(site::waitFor([&] { return fixture.call({.key = "key-new"}).status == 200; }, 5s));
}

TEST_CASE("an instance that knows no configuration is not ready and refuses, then serves")
{
    site_fixture fixture;
    REQUIRE(fixture.fleet.setFaults("store", {{"mode", "busy"}}));
    // The others could pass the configuration on.
    fixture.fleet.process("edge-1").kill();
    REQUIRE(fixture.fleet.restart("edge-2"));
    const http::response early = fixture.call({.instance = "edge-2"});
    CHECK(early.status == 503);
    CHECK_FALSE(fixture.fleet.isReady("edge-2"));
    REQUIRE(fixture.fleet.setFaults("store", {{"mode", "none"}}));
    CHECK(fixture.fleet.waitReady("edge-2"));
    // The allowance of an account starts empty: at half of the rate of the site, because the other
    // instance is silent, it covers a request 0.4 ms after the configuration was learned.
    const http::response first = fixture.call({.instance = "edge-2"});
    CAPTURE(first.status, first.body);
    CHECK((first.status == 200 || first.status == 429));
    std::this_thread::sleep_for(1ms);
    CHECK(fixture.call({.instance = "edge-2"}).status == 200);
}

TEST_CASE("a reload takes the new settings, and a faulty file leaves the former ones in force")
{
    site_fixture fixture;
    const std::string file = fixture.fleet.fileIn("edge-1.toml");
    const auto logged = [&](const std::string &inEvent) {
        std::ifstream log(fixture.fleet.fileIn("edge-1.log"));
        std::ostringstream text;
        text << log.rdbuf();
        return text.str().find("\"" + inEvent + "\"") != std::string::npos;
    };
    std::ofstream(file, std::ios::app) << "ratio = 0.5\n";
    fixture.fleet.process("edge-1").signal(SIGHUP);
    CHECK(site::waitFor([&] { return logged("reloaded"); }));
    std::ofstream(file) << "[nonsense]\n";
    fixture.fleet.process("edge-1").signal(SIGHUP);
    CHECK(site::waitFor([&] { return logged("reload_failed"); }));
    CHECK(fixture.call().status == 200);
}

TEST_CASE("an engine that starts again under its id is used as an empty one")
{
    site_fixture fixture({.engines = 1, .proxied = true});
    REQUIRE(fixture.call({.path = "/chat/1", .adapter = "a1"}).status == 200);
    REQUIRE(fixture.fleet.restart("engine-1"));
    CHECK(site::waitFor(
        [&] { return fixture.call({.path = "/chat/1", .adapter = "a1"}).status == 200; }, 8s));
    CHECK(fixture.fleet.facts("load").size() == 2);
}

TEST_CASE("an endpoint that leaves gets nothing more, and its requests go to another one")
{
    site_fixture fixture;
    REQUIRE(fixture.fleet.setFaults("app-1", {{"leaving", true}}));
    std::this_thread::sleep_for(1500ms);
    for (int index = 0; index < 10; ++index)
        CHECK(fixture.call({.path = "/order/1", .id = "o" + std::to_string(index)}).status == 200);
    for (const json &run : fixture.fleet.facts("run"))
        CHECK(run.at("process") == "app-2");
}

// Failure: an endpoint whose entry says ready, but whose answers say that it leaves, gets requests
// until its entry changes.
TEST_CASE("an endpoint that leaves by its answers alone gets nothing more until it starts again")
{
    site_fixture fixture({.proxied = true});
    REQUIRE(fixture.fleet.setFaults("app-1", {{"say_leaving", true}}));
    const auto runsAt = [&](const std::string &inEndpoint) {
        return std::ranges::count_if(fixture.fleet.facts("run"), [&](const json &inRun) {
            return inRun.at("process") == inEndpoint;
        });
    };
    REQUIRE(site::waitFor([&] {
        fixture.call();
        return runsAt("app-1") > 0;
    }));
    const auto before = runsAt("app-1");
    const auto until = std::chrono::steady_clock::now() + 3s;
    int served = 0;
    while (std::chrono::steady_clock::now() < until)
        served += fixture.call().status == 200 ? 1 : 0;
    CHECK(served > 0);
    CHECK(runsAt("app-1") == before);
    // A new start of the same endpoint is used again.
    REQUIRE(fixture.fleet.restart("app-1"));
    CHECK(site::waitFor([&] {
        fixture.call();
        return runsAt("app-1") > before;
    }));
}

// Failure: endpoints that ask for a pause get requests during it, and callers are not told when
// the endpoints come back.
TEST_CASE("endpoints that ask for a pause get nothing for that time")
{
    const int pauseMs = GENERATE(400, 2000, 30'000);
    CAPTURE(pauseMs);
    site_fixture fixture({.instances = 1});
    fixture.faultOnAll("app-", {{"pause_ms", pauseMs}});
    const auto refusals = [&] { return std::ssize(fixture.fleet.facts("refused")); };
    const http::response first = fixture.call();
    CHECK(first.status == 503);
    CHECK(std::stod(std::string(http::findHeader(first.headers, "Retry-After"))) * 1000
          >= pauseMs * 0.8);
    CHECK(refusals() == 2);
    const auto watched = std::min(pauseMs * 3 / 4, 2000);
    const auto until = std::chrono::steady_clock::now() + std::chrono::milliseconds(watched);
    int refused = 0;
    while (std::chrono::steady_clock::now() < until)
        refused += fixture.call().status == 503 ? 1 : 0;
    CHECK(refused > 10);
    CHECK(refusals() == 2);
    if (pauseMs > watched * 2)
        return;
    fixture.faultOnAll("app-", {{"pause_ms", 0}});
    CHECK(site::waitFor([&] { return fixture.call().status == 200; }, 5s));
}

// Failure: requests with a part that ends engines are sent to one engine after another, by
// instances of different failure domains.
TEST_CASE("a part that ends engines reaches only a few of them, and sound prompts are served")
{
    site_fixture fixture({.instances = 3, .engines = 4, .proxied = true});
    const auto deadlyRuns = [&] {
        return std::ranges::count_if(fixture.fleet.facts("run"),
                                     [](const json &inRun) { return inRun.at("deadly"); });
    };
    const auto restartEngines = [&] {
        for (const std::string &name : fixture.fleet.names("engine-")) {
            if (!fixture.fleet.process(name).isRunning())
                REQUIRE(fixture.fleet.restart(name));
        }
    };
    int served = 0;
    constexpr int cRounds = 16;
    for (int round = 0; round < cRounds; ++round) {
        const std::string instance = "edge-" + std::to_string(1 + round % 3);
        fixture.call({.path = "/chat/1",
                      .adapter = "a1",
                      .parts = "common:40,dead:40",
                      .deadlineMs = 1500,
                      .instance = instance});
        restartEngines();
        served += fixture
                      .call({.path = "/chat/1",
                             .adapter = "a1",
                             .parts = "common:40",
                             .instance = instance})
                      .status
                == 200
            ? 1
            : 0;
        std::this_thread::sleep_for(200ms);
    }
    CHECK(deadlyRuns() >= 1);
    CHECK(deadlyRuns() <= 5 + 3);
    CHECK(served >= cRounds / 2);
}

// Failure: a request that ends engines is sent to one after another as its caller repeats it, or
// sound requests are refused in its place.
TEST_CASE("a request that ends engines reaches only a few of them")
{
    site_fixture fixture({.instances = 3, .engines = 4, .proxied = true});
    int served = 0;
    constexpr int cRounds = 16;
    for (int round = 0; round < cRounds; ++round) {
        const std::string instance = "edge-" + std::to_string(1 + round % 3);
        fixture.call({.path = "/chat/1",
                      .adapter = "a1",
                      .parts = "common:40,caller:40",
                      .ownPart = "dead:40",
                      .body = "the same each time",
                      .deadlineMs = 1500,
                      .instance = instance});
        for (const std::string &name : fixture.fleet.names("engine-")) {
            if (!fixture.fleet.process(name).isRunning())
                REQUIRE(fixture.fleet.restart(name));
        }
        const http::response sound = fixture.call({.path = "/chat/1",
                                                   .adapter = "a1",
                                                   .parts = "common:40,caller:40",
                                                   .instance = instance});
        served += sound.status == 200 ? 1 : 0;
        CHECK(sound.body.find("quarantine") == std::string::npos);
        std::this_thread::sleep_for(200ms);
    }
    const auto ended = std::ranges::count_if(fixture.fleet.facts("run"),
                                             [](const json &inRun) { return inRun.at("deadly"); });
    CHECK(ended >= 1);
    CHECK(ended <= 3 + 1);
    CHECK(served >= cRounds / 2);
}

TEST_CASE(
    "engines of an instance that was killed or paused get another holder, with a higher fence")
{
    site_fixture fixture({.instances = 3, .engines = 3});
    const bool kills = GENERATE(true, false);
    CAPTURE(kills);
    if (kills)
        fixture.fleet.process("edge-1").kill();
    else
        fixture.fleet.process("edge-1").pause();
    int tries = 0;
    const auto served = [&] {
        const http::response answer
            = fixture.call({.path = "/chat/1",
                            .adapter = "n" + std::to_string(++tries),
                            .instance = "edge-" + std::to_string(2 + tries % 2)});
        CHECK((answer.status == 200 || promisesNotRun(answer.status)));
        return answer.status == 200;
    };
    // The silence that shows its end, the claim and the former holder's time pass one by one.
    CHECK(site::waitFor(
        [&] {
            served();
            return fixture.fleet.waitHolders("edge-2", "edge-1", 0ms);
        },
        30s));
    for (int index = 0; index < 12; ++index)
        CHECK(served());
    if (!kills)
        fixture.fleet.process("edge-1").resume();
    for (int index = 0; index < 12; ++index)
        served();
    std::map<std::string, long long> fences;
    for (const json &order : fixture.fleet.facts("order")) {
        long long &highest = fences[order.at("process").get<std::string>()];
        CHECK(order.at("fence").get<long long>() >= highest);
        highest = std::max(highest, order.at("fence").get<long long>());
    }
}
