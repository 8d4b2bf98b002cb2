// Guards against orders that run twice or are wrongly reported as not run, with real processes:
// two entry instances, the log, and an application that counts runs.

#include "standins/fleet.h"

#include <chrono>
#include <filesystem>
#include <thread>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using nlohmann::json;
namespace http = corneltally::http;
namespace kernel = corneltally::kernel;
using namespace std::chrono_literals;

namespace {

/// Two entry instances in different failure domains with one application.
class order_fleet
{
public:
    explicit order_fleet(const std::string &inTest)
        : mFolder(std::string(CORNELTALLY_BINARY_DIR) + "/claims_test/" + inTest)
        , mFleet({.binaries = CORNELTALLY_BINARY_DIR,
                  .folder = (std::filesystem::remove_all(mFolder), mFolder),
                  .instances = 2,
                  .engines = 1,
                  .applications = 1,
                  .adapters = 10})
        , mClient(mLoop)
    {
        const bool isStarted = mFleet.start();
        INFO(mFleet.problem());
        REQUIRE(isStarted);
        // The shares of new processes are empty at first, and the claims stream is read.
        for (const char *entry : {"entry-1", "entry-2"})
            REQUIRE(until([&] { return order(entry, "warm-up", "warm-up").status == 200; }));
    }

    standins::fleet &parts() { return mFleet; }

    http::response order(const std::string &inEntry, const std::string &inKey,
                         const std::string &inOrder)
    {
        return orders({inEntry}, inKey, inOrder).front();
    }

    /// Sends the same order to several instances at the same time.
    std::vector<http::response> orders(const std::vector<std::string> &inEntries,
                                       const std::string &inKey, const std::string &inOrder)
    {
        std::vector<http::response> answers(inEntries.size());
        std::size_t missing = answers.size();
        for (std::size_t index = 0; index < inEntries.size(); ++index) {
            http::call_request request{
                .target = {"127.0.0.1", mFleet.process(inEntries[index]).port("callers")},
                .method = "POST",
                .path = "/orders",
                .headers = {{"Authorization", "Bearer " + mFleet.plan().accounts().front().key},
                            {"Idempotency-Key", inKey},
                            {"Content-Type", "application/json"}},
                .body = json{{"order", inOrder}, {"item", "rope"}}.dump(),
                .timeout = 20s,
                .freshConnection = true};
            http::fetch(mClient, std::move(request),
                        [this, index, &answers, &missing](const http::response &inAnswer) {
                            answers[index] = inAnswer;
                            if (--missing == 0)
                                mLoop.stop();
                        });
        }
        mLoop.run();
        return answers;
    }

    /// How often the application ran an order.
    int runsOf(const std::string &inOrder)
    {
        const json runs = json::parse(
            mProbe.get(mFleet.process("application-1").port("http"), "/v1/orders").body);
        return runs.at("by_order").value(inOrder, 0);
    }

    void control(const std::string &inPath, const json &inBody)
    {
        const auto answer
            = mProbe.post(mFleet.process("platform").port("http"), inPath, inBody.dump());
        REQUIRE(answer.status == 200);
    }

    static bool until(const std::function<bool()> &inCondition)
    {
        const auto deadline = std::chrono::steady_clock::now() + 30s;
        while (!inCondition()) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }

private:
    std::string mFolder;
    standins::fleet mFleet;
    standins::http_probe mProbe;
    kernel::event_loop mLoop;
    http::client mClient;
};

std::string runOf(const http::response &inAnswer)
{
    const json body = json::parse(inAnswer.body, nullptr, false);
    return body.is_object() && body.contains("error") ? body["error"].value("run", "") : "";
}

} // namespace

TEST_CASE("one order at two instances at the same time runs once and both get its answer")
{
    order_fleet fleet("same_time");
    for (int round = 0; round < 10; ++round) {
        const std::string name = "order-" + std::to_string(round);
        const auto answers = fleet.orders({"entry-1", "entry-2", "entry-1"}, name, name);
        for (const http::response &answer : answers) {
            CHECK(answer.status == 200);
            CHECK(answer.body == answers.front().body);
        }
        CHECK(fleet.runsOf(name) == 1);
    }
    CHECK(fleet.parts().stop());
}

TEST_CASE("an order survives lost answers of the log")
{
    order_fleet fleet("lost_answers");
    fleet.control("/control/log", {{"stream", "claims"}, {"lose_answers", 2}});
    CHECK(fleet.order("entry-1", "k1", "lost").status == 200);
    CHECK(fleet.order("entry-2", "k1", "lost").status == 200);
    CHECK(fleet.runsOf("lost") == 1);
    CHECK(fleet.parts().stop());
}

TEST_CASE("an order during an outage of the log is refused and not run")
{
    order_fleet fleet("outage");
    const std::string mode = GENERATE("refuse", "hang");
    fleet.control("/control/outage", {{"part", "log"}, {"mode", mode}});
    const http::response refused = fleet.order("entry-1", "k1", "outage");
    CHECK(refused.status == 503);
    CHECK(runOf(refused) == "not_run");
    CHECK_FALSE(http::findHeader(refused.headers, "Retry-After").empty());
    CHECK(fleet.runsOf("outage") == 0);

    fleet.control("/control/outage", {{"part", "log"}, {"mode", "none"}});
    CHECK(order_fleet::until([&] { return fleet.order("entry-1", "k1", "outage").status == 200; }));
    CHECK(fleet.runsOf("outage") == 1);
    CHECK(fleet.parts().stop());
}

TEST_CASE("an order that was answered before its instance was killed does not run again")
{
    order_fleet fleet("restart");
    const http::response first = fleet.order("entry-1", "k1", "restart");
    REQUIRE(first.status == 200);
    // The answer reaches the log a moment after the caller.
    CHECK(fleet.order("entry-2", "k1", "restart").body == first.body);
    REQUIRE(fleet.parts().restart("entry-1"));
    http::response repeated;
    REQUIRE(order_fleet::until([&] {
        repeated = fleet.order("entry-1", "k1", "restart");
        return repeated.status == 200;
    }));
    CHECK(repeated.body == first.body);
    CHECK(fleet.runsOf("restart") == 1);
    CHECK(fleet.parts().stop());
}

TEST_CASE("an order whose instance was killed while it ran is unknown and does not run again")
{
    order_fleet fleet("killed");
    standins::http_probe probe;
    REQUIRE(probe
                .post(fleet.parts().process("application-1").port("http"), "/control/faults",
                      R"({"late_ms":3000})")
                .status
            == 200);
    http::response lost;
    std::thread caller([&] { lost = fleet.order("entry-1", "k1", "killed"); });
    // Children end with the thread that started them, so that this one does the restart.
    const bool isRunning = order_fleet::until([&] { return fleet.runsOf("killed") > 0; });
    const bool isRestarted = isRunning && fleet.parts().restart("entry-1");
    caller.join();
    REQUIRE(isRestarted);
    CHECK(lost.outcome == http::call_outcome::interrupted);
    const http::response repeated = fleet.order("entry-2", "k1", "killed");
    CHECK(repeated.status == 409);
    CHECK(runOf(repeated) == "unknown");
    CHECK(fleet.runsOf("killed") == 1);
    CHECK(fleet.parts().stop());
}
