// Guards against plain endpoints that end again and again since they get more requests after their
// start than they endure. The instances, endpoints and the store are real processes.

#include "platform/names.h"
#include "standins/site.h"

#include <algorithm>
#include <atomic>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
namespace http = corneltally::http;
namespace platform = corneltally::platform;
using nlohmann::json;
using standins::site;

namespace {

constexpr int cCallers = 8;
constexpr int cEndpoints = 2;
constexpr int cInstances = 4;
constexpr auto cColdTime = 4s;
constexpr auto cRunTime = 9s;
/// 4 requests a second, 1.5 times as many, and 2 more.
constexpr long long cBound = 8;

/// Calls until a time; returns the statuses, and how many calls were served in the last two
/// seconds.
struct caller
{
    int served = 0;
    int servedAtEnd = 0;
    int refused = 0;
    int others = 0;
    double longestRefusal = 0;
    bool namesRetry = true;

    void call(unsigned short inPort, const std::string &inName,
              std::chrono::steady_clock::time_point inUntil)
    {
        standins::http_probe probe;
        for (int number = 0; std::chrono::steady_clock::now() < inUntil; ++number) {
            http::call_request request{.target = {"127.0.0.1", inPort},
                                       .method = "POST",
                                       .path = "/look/1",
                                       .body = "body",
                                       .timeout = 5s};
            request.headers
                = {{"Host", site::cHost},
                   {std::string(platform::cRequestIdField), inName + "-" + std::to_string(number)},
                   {std::string(platform::cAuthorizationField),
                    std::string(platform::cAuthorizationScheme) + "key-harbour"}};
            const auto start = std::chrono::steady_clock::now();
            const http::response answer = probe.call(std::move(request));
            const std::chrono::duration<double> took = std::chrono::steady_clock::now() - start;
            if (answer.status == 200) {
                ++served;
                servedAtEnd += start > inUntil - 2s ? 1 : 0;
            } else if (answer.status == 503) {
                ++refused;
                longestRefusal = std::max(longestRefusal, took.count());
                namesRetry = namesRetry && !http::findHeader(answer.headers, "Retry-After").empty();
            } else {
                ++others;
            }
            std::this_thread::sleep_for(50ms);
        }
    }
};

} // namespace

/// Two plain endpoints that are cold after their start, an engine and four instances, ready.
struct cold_site
{
    site fleet;

    cold_site(const std::string &inName, std::chrono::milliseconds inColdTime)
        : fleet({.binaries = CORNELTALLY_BINARY_DIR,
                 .folder = std::string(CORNELTALLY_BINARY_DIR) + "/" + inName,
                 .instances = cInstances,
                 .engines = 1,
                 .applications = cEndpoints,
                 .applicationFlags = {"--cold-ms", std::to_string(inColdTime.count()),
                                      "--cold-limit", std::to_string(cBound)},
                 .moreSettings = "[cold]\nover = 1.5\nslack = 2\n"})
    {
        fleet.configuration()["services"][0]
            = {{"name", "app"}, {"cold-start-s", inColdTime / 1s}, {"cold-per-s", 4}};
        REQUIRE(fleet.start());
        for (const std::string &name : fleet.names("edge-"))
            REQUIRE(site::waitFor([&] {
                const json endpoints = endpointsOf(name);
                return !endpoints.empty()
                    && std::ranges::all_of(endpoints, [](const json &inEndpoint) {
                           return inEndpoint.value("ready", false);
                       });
            }));
    }

    json endpointsOf(const std::string &inInstance)
    {
        const json state = json::parse(
            fleet.probe().get(fleet.process(inInstance).port("operators"), "/dump").body, nullptr,
            false);
        return state.is_object() ? state.at("front").at("endpoints") : json::array();
    }

    long long mostInASecond() const
    {
        long long most = 0;
        for (const json &fact : fleet.facts("cold_request"))
            most = std::max(most, fact.at("in_a_second").get<long long>());
        return most;
    }

    /// Requests that an endpoint received while it was cold.
    long receivedBy(const std::string &inEndpoint) const
    {
        return std::ranges::count(fleet.facts("cold_request"), inEndpoint,
                                  [](const json &inFact) { return inFact.value("process", ""); });
    }
};

TEST_CASE("plain endpoints that start under load get what they endure until they are warm")
{
    cold_site running("site_cold_test.start", cColdTime);
    site &fleet = running.fleet;
    std::this_thread::sleep_for(cColdTime);
    const auto until = std::chrono::steady_clock::now() + cRunTime;
    std::vector<caller> callers(cCallers);
    std::vector<std::thread> threads;
    threads.reserve(cCallers);
    for (int index = 0; index < cCallers; ++index)
        threads.emplace_back([&, index] {
            const std::string instance = "edge-" + std::to_string(index % cInstances + 1);
            callers[static_cast<std::size_t>(index)].call(fleet.process(instance).port("callers"),
                                                          std::to_string(index), until);
        });
    std::this_thread::sleep_for(500ms);
    // Both endpoints start again under the same ids.
    const bool restarted = fleet.restart("app-1") && fleet.restart("app-2");
    for (std::thread &thread : threads)
        thread.join();
    REQUIRE(restarted);
    caller all;
    for (const caller &entry : callers) {
        all.served += entry.served;
        all.servedAtEnd += entry.servedAtEnd;
        all.refused += entry.refused;
        all.others += entry.others;
        all.longestRefusal = std::max(all.longestRefusal, entry.longestRefusal);
        all.namesRetry = all.namesRetry && entry.namesRetry;
    }
    const std::vector<json> cold = fleet.facts("cold_request");
    const long long most = running.mostInASecond();
    WARN("served " << all.served << ", refused " << all.refused << ", others " << all.others
                   << "; cold endpoints received " << cold.size() << ", at most " << most
                   << " in a second; longest refusal " << all.longestRefusal << " s");
    CHECK(most <= cBound);
    for (const std::string &name : fleet.names("app-"))
        CHECK(fleet.process(name).isRunning());
    // At least a third of the bound, since the new starts become known only after a while.
    CHECK(std::ssize(cold) >= cEndpoints * cBound * (cColdTime / 1s) / 3);
    CHECK(all.refused > 0);
    CHECK(all.namesRetry);
    CHECK(all.longestRefusal < 1.0);
    CHECK(all.servedAtEnd >= cCallers * 2 * 10);
    const auto coldLines = fleet.logOf("edge-1");
    CHECK(std::ranges::any_of(coldLines, [](const json &inLine) {
        return inLine.value("event", "") == "endpoint_cold";
    }));
    CHECK(std::ranges::any_of(coldLines, [](const json &inLine) {
        return inLine.value("event", "") == "endpoint_warm";
    }));
}

// Failure: a holder that is frozen or dead lets requests pass, or its next process grants at once
// what the former one has granted already.
TEST_CASE("a cold endpoint receives nothing while its holder is frozen or dead")
{
    cold_site running("site_cold_test.holder", 60s);
    site &fleet = running.fleet;
    std::string holder;
    for (const json &endpoint : running.endpointsOf("edge-1")) {
        if (endpoint.at("id") == "app-1")
            holder = endpoint.at("holder").get<std::string>();
    }
    REQUIRE_FALSE(holder.empty());
    const auto until = std::chrono::steady_clock::now() + 12s;
    std::vector<caller> callers(cInstances);
    std::vector<std::thread> threads;
    for (int index = 0; index < cInstances; ++index) {
        const std::string instance = "edge-" + std::to_string(index + 1);
        if (instance == holder)
            continue;
        const unsigned short port = fleet.process(instance).port("callers");
        threads.emplace_back([&entry = callers[static_cast<std::size_t>(index)], port, instance,
                              until] { entry.call(port, instance, until); });
    }
    const auto receivedIn = [&](std::chrono::milliseconds inTime) {
        const long before = running.receivedBy("app-1");
        std::this_thread::sleep_for(inTime);
        return running.receivedBy("app-1") - before;
    };
    CHECK(receivedIn(2s) > 4);
    fleet.process(holder).pause();
    std::this_thread::sleep_for(300ms);
    const long whileFrozen = receivedIn(1500ms);
    fleet.process(holder).resume();
    const long afterwards = receivedIn(3s);
    fleet.process(holder).kill();
    std::this_thread::sleep_for(300ms);
    const long whileDead = receivedIn(1s);
    // The next process on the machine takes the endpoint back at once.
    const bool restarted = fleet.restart(holder);
    const long afterRestart = receivedIn(3s);
    for (std::thread &thread : threads)
        thread.join();
    REQUIRE(restarted);
    WARN("received while the holder was frozen "
         << whileFrozen << ", afterwards " << afterwards << ", dead " << whileDead
         << ", afterwards " << afterRestart << "; at most " << running.mostInASecond()
         << " in a second");
    CHECK(whileFrozen == 0);
    CHECK(afterwards > 0);
    CHECK(whileDead == 0);
    CHECK(afterRestart > 0);
    CHECK(running.mostInASecond() <= cBound);
    for (const std::string &name : fleet.names("app-"))
        CHECK(fleet.process(name).isRunning());
    for (const caller &entry : callers) {
        CHECK(entry.others == 0);
        CHECK(entry.longestRefusal < 1.0);
    }
}
