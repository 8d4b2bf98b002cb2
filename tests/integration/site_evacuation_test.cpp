// Guards against requests and orders that reach an evacuated failure domain through real instances:
// under load, with instances that can't read the store or are paused when the evacuation begins,
// and after a return that the store shows only by the absence of the record.

#include "platform/names.h"
#include "standins/ledger.h"
#include "standins/site.h"

#include <algorithm>
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <thread>
#include <vector>

#include <catch2/catch.hpp>

using namespace std::chrono_literals;
namespace http = corneltally::http;
namespace platform = corneltally::platform;
using nlohmann::json;
using standins::site;

namespace {

/// Bound in the settings, and the one that is checked while nothing is wrong with the instances.
constexpr int cBoundMs = 5000;
constexpr double cUsual = 1.5;

struct evacuation_site
{
    site fleet{{.binaries = CORNELTALLY_BINARY_DIR,
                .folder = std::string(CORNELTALLY_BINARY_DIR) + "/site_evacuation_test.1",
                .instances = 4,
                .engines = 4,
                .applications = 4,
                .proxied = true,
                .evacuateMs = cBoundMs}};
    std::atomic<bool> stops = false;
    std::mutex mutex;
    std::map<int, int> statuses;
    std::vector<std::string> damaged;
    std::vector<std::thread> callers;

    evacuation_site() { REQUIRE(fleet.start()); }
    ~evacuation_site() { stop(); }

    http::response call(standins::http_probe &ioProbe, const std::string &inInstance,
                        const std::string &inId, bool inStreams, int inAdapter)
    {
        http::call_request call{.target = {"127.0.0.1", fleet.process(inInstance).port("callers")},
                                .method = "POST",
                                .path = inStreams ? "/chat/1" : "/look/1",
                                .body = "body",
                                .timeout = 20s};
        call.headers = {{"Host", site::cHost},
                        {std::string(platform::cRequestIdField), inId},
                        {std::string(platform::cAuthorizationField),
                         std::string(platform::cAuthorizationScheme) + "key-harbour"},
                        {std::string(platform::cDeadlineField), "5000"}};
        if (inStreams) {
            call.headers.emplace_back(std::string(platform::cModelField),
                                      std::string(site::cModel) + "/a" + std::to_string(inAdapter));
            call.headers.emplace_back(std::string(platform::cTokenCountField), "100,20");
        }
        return ioProbe.call(std::move(call));
    }

    /// Callers of all instances, each with plain requests and streams in turn.
    void begin()
    {
        for (const std::string &instance : fleet.names("edge-")) {
            for (int number = 0; number < 3; ++number) {
                callers.emplace_back([this, instance, number] {
                    standins::http_probe probe;
                    for (int count = 0; !stops; ++count) {
                        const std::string id
                            = instance + "-" + std::to_string(number) + "-" + std::to_string(count);
                        const bool streams = count % 2 == 0;
                        const http::response answer
                            = call(probe, instance, id, streams, count % 12);
                        const bool isWhole = answer.outcome == http::call_outcome::completed
                            && (answer.status != 200
                                || answer.body.find(streams ? " 6/6" : "ran " + id)
                                    != std::string::npos);
                        if (answer.status != 200)
                            std::this_thread::sleep_for(5ms);
                        const std::lock_guard lock(mutex);
                        ++statuses[answer.status];
                        if (!isWhole)
                            damaged.push_back(id);
                    }
                });
            }
        }
    }

    void stop()
    {
        stops = true;
        for (std::thread &caller : callers) {
            if (caller.joinable())
                caller.join();
        }
    }

    /// Runs, refusals and orders in a failure domain between two times.
    long long arrivals(const std::string &inDomain, double inFrom, double inUntil) const
    {
        long long count = 0;
        for (const char *kind : {"run", "refused", "order"}) {
            for (const json &fact : fleet.facts(kind)) {
                const double at = fact.at("time").get<double>();
                count += at > inFrom && at < inUntil
                        && fleet.domainOf(fact.at("process").get<std::string>()) == inDomain
                    ? 1
                    : 0;
            }
        }
        return count;
    }

    long long logged(const std::string &inInstance, const std::string &inEvent) const
    {
        return std::ranges::count_if(fleet.logOf(inInstance), [&](const json &inLine) {
            return inLine.value("event", "") == inEvent;
        });
    }
};

} // namespace

TEST_CASE("nothing new reaches an evacuated failure domain, and it is used again when it returns")
{
    evacuation_site running;
    running.begin();
    std::this_thread::sleep_for(1500ms);
    // One instance must learn of the evacuation from others, and one is paused when it begins.
    REQUIRE(running.fleet.linkFault({"edge-3>store"}, "freeze"));
    running.fleet.process("edge-4").pause();
    const double begun = standins::wallSeconds();
    REQUIRE(running.arrivals("south", begun - 1, begun) > 0);
    REQUIRE(running.fleet.evacuate("south"));
    std::this_thread::sleep_for(2s);
    running.fleet.process("edge-4").resume();
    const double resumed = standins::wallSeconds();
    std::this_thread::sleep_for(2500ms);
    // Requests that the paused instance had sent before arrive with it at the latest.
    CHECK(running.arrivals("south", begun + cUsual, resumed) == 0);
    CHECK(running.arrivals("south", resumed + 0.1, standins::wallSeconds()) == 0);
    CHECK(running.arrivals("north", resumed, standins::wallSeconds()) > 0);
    for (const std::string &instance : running.fleet.names("edge-"))
        CHECK(running.logged(instance, "failure_domain_evacuated") == 1);

    // Without any failure domain requests are refused at once, and truthfully.
    REQUIRE(running.fleet.evacuate("north"));
    std::this_thread::sleep_for(1500ms);
    const double all = standins::wallSeconds();
    const http::response refused
        = running.call(running.fleet.probe(), "edge-1", "refused", false, 0);
    CHECK(standins::wallSeconds() - all < 0.5);
    CHECK(refused.status == 503);
    CHECK_FALSE(http::findHeader(refused.headers, platform::cRetryAfterField).empty());
    std::this_thread::sleep_for(500ms);
    CHECK(running.arrivals("north", all, standins::wallSeconds()) == 0);
    CHECK(running.arrivals("south", all, standins::wallSeconds()) == 0);

    // The deletions are in no history that the store still has.
    REQUIRE(running.fleet.evacuate("north", false));
    REQUIRE(running.fleet.evacuate("south", false));
    REQUIRE(running.fleet.setFaults("store", {{"forget", true}}));
    const double returned = standins::wallSeconds();
    CHECK(site::waitFor(
        [&] {
            const double now = standins::wallSeconds();
            return running.arrivals("north", returned, now) > 5
                && running.arrivals("south", returned, now) > 5;
        },
        6s));
    running.stop();
    for (const std::string &id : running.damaged)
        UNSCOPED_INFO("damaged: " << id);
    CHECK(running.damaged.empty());
    // Refusals come while everything is evacuated, and after the pause of an instance.
    for (const auto &[status, count] : running.statuses) {
        INFO(count << " answers with " << status);
        CHECK((status == 200 || status == 503 || status == 429));
    }
}
