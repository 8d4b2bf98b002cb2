// Guards against runs for the wrong client account, against keys that reach endpoints or logs, and
// against wrong or mixed answers when responses are late, lost or out of order.

#include "tests/promise/promise_fleet.h"

#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace promise;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

std::string fileText(const std::string &inFile)
{
    std::ifstream file(inFile);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("P03_account_and_P04_key_of_hostile_requests")
{
    promise_fleet fleet(
        "P03_account",
        {.engines = 2, .applications = 2, .enginesWithoutFencing = 0, .adapters = 4});
    const standins::deployment_account &account = fleet.account(0);
    const standins::deployment_account &other = fleet.account(1);
    standins::http_probe probe;
    const std::string address = fleet.callers("entry-1");
    const auto send
        = [&](const std::string &inPath, const std::string &inKey, const std::string &inBody,
              corneltally::http::header_list inHeaders = {}) {
              return callEntry(probe,
                               {.address = address,
                                .path = inPath,
                                .key = inKey,
                                .body = inBody,
                                .headers = std::move(inHeaders)});
          };
    const auto chat = [](const std::string &inUser) { return chatBody(1, inUser, 2, false); };

    inject(
        "requests without a key, with wrong keys and with keys of other accounts in other places");
    CHECK(send("/v1/chat/completions", "", chat("none")).status == 401);
    CHECK(send("/v1/chat/completions", "wrong", chat("wrong")).status == 401);
    CHECK(send("/v1/chat/completions", account.key + "x", chat("longer")).status == 401);
    CHECK(send("/v1/chat/completions", account.key.substr(1), chat("shorter")).status == 401);
    // A digest is not a key.
    CHECK(send("/stock", "", R"({"item":"none"})").status == 401);
    CHECK(send("/v1/chat/completions", account.key, chat("claimed"), {{"X-Account", other.name}})
              .isComplete());

    inject("the key in the query, in other headers and in the body");
    const std::string item = R"({"item":"nails"})";
    send("/stock?api_key=" + account.key, account.key, item);
    send("/stock?q=1", account.key, item,
         {{"X-Api-Key", account.key}, {"Cookie", "key=" + account.key}, {"Api-Key", account.key}});
    send("/stock", account.key, json{{"item", "nails"}, {"note", account.key}}.dump());
    send("/v1/chat/completions?key=" + account.key, account.key, chat("query"));
    send("/v1/chat/completions", account.key, chat("header"), {{"X-Key", account.key}});
    json withKey = json::parse(chat("body"));
    withKey["api_key"] = account.key;
    send("/v1/chat/completions", account.key, withKey.dump());
    withKey["messages"][0]["content"] = "my key is " + account.key;
    send("/v1/chat/completions", account.key, withKey.dump());
    send("/orders", account.key, json{{"order", "k"}, {"key", account.key}}.dump(),
         {{"Idempotency-Key", account.key}});

    std::size_t runs = 0;
    std::size_t modelRuns = 0;
    for (const char *prefix : {"engine-", "application-"}) {
        for (const std::string &name : fleet.processes().names(prefix)) {
            for (const char *kind : {"run_start", "order_run"}) {
                for (const json &fact : fleet.facts(name + ".ledger", kind)) {
                    ++runs;
                    modelRuns += std::string(kind) == "run_start" ? 1 : 0;
                    INFO(fact.dump());
                    // Applications are not told the account.
                    if (std::string(kind) == "run_start")
                        CHECK(fact.value("account", std::string()) == account.name);
                    CHECK_FALSE(fact.value("secret_seen", false));
                    const std::string user = fact.value("user", std::string());
                    CHECK((user != "none" && user != "wrong" && user != "longer"
                           && user != "shorter"));
                }
            }
        }
    }
    std::printf("%zu runs checked\n", runs);
    CHECK(modelRuns >= 2);
    CHECK(runs > modelRuns);
    const std::string digest = fleet.processes().treeToml();
    for (const std::string &name : fleet.processes().names("entry-")) {
        INFO(name);
        const std::string log = fileText(fleet.processes().fileIn(name + ".log"));
        CHECK_FALSE(log.empty());
        CHECK(log.find(account.key) == std::string::npos);
        CHECK(
            fleet.probe().get(fleet.process(name).port("operators"), "/dump").body.find(account.key)
            == std::string::npos);
        CHECK(fleet.probe()
                  .get(fleet.process(name).port("operators"), "/metrics")
                  .body.find(account.key)
              == std::string::npos);
    }
    CHECK(digest.find(account.key) == std::string::npos);
    CHECK(fileText(fleet.processes().fileIn("platform.ledger")).find(account.key)
          == std::string::npos);
}

TEST_CASE("P07_answer_under_late_lost_and_interrupted_responses")
{
    promise_fleet fleet("P07_answer",
                        {.engines = 4,
                         .applications = 2,
                         .enginesWithoutFencing = 1,
                         .adapters = 8,
                         .platformArguments = {"--loads-per-second", "20", "--load-burst", "20"}});
    const load_plan plan{.callsPerSecond = 24, .seconds = 14, .drainSeconds = 20};
    standins::child_process load = fleet.startLoad(plan);
    std::this_thread::sleep_for(2s);
    fleet.control("application-1", "faults", R"({"late_ms":3000})");
    fleet.control("engine-1", "engine", R"({"drop_callers":true})");
    std::this_thread::sleep_for(1s);
    fleet.control("engine-2", "engine", R"({"stall":true})");
    std::this_thread::sleep_for(1500ms);
    fleet.control("engine-2", "engine", R"({"stall":false})");
    fleet.control("application-1", "faults", R"({"late_ms":0})");
    // Open connections between instances and to an engine go silent, new ones work.
    REQUIRE(fleet.processes().fault({"entry-1>engine-3", "entry-2>engine-3", "entry-1>entry-3",
                                     "entry-2>entry-3", "entry-4>entry-2"},
                                    R"({"fault":"half_open"})"));
    inject("open connections to engine-3, entry-3 and entry-2 went silent");
    std::this_thread::sleep_for(3s);
    fleet.control("engine-4", "engine", R"({"drop_callers":true})");
    REQUIRE(
        fleet.processes().fault({"entry-1>engine-1", "entry-2>engine-2", "entry-3>engine-3"},
                                R"({"fault":"drop_after","direction":"backward","bytes":700})"));
    inject("connections to engines closed in the middle of answers");
    std::this_thread::sleep_for(1s);
    REQUIRE(fleet.processes().healAll());
    fleet.finishLoad(load, plan);
    const auto found = fleet.violations();
    CHECK(messagesOf(found, "P7").empty());
    CHECK(messagesOf(found, "P1").empty());
    CHECK(messagesOf(found, "P9").empty());
    std::size_t completed = 0;
    std::size_t all = 0;
    for (const json &fact : fleet.facts("load.ledger", "call")) {
        ++all;
        completed += fact.value("outcome", std::string()) == "completed" ? 1 : 0;
    }
    std::printf("%zu of %zu calls completed\n", completed, all);
    CHECK(completed * 2 > all);
}
