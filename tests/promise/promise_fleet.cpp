#include "tests/promise/promise_fleet.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

namespace promise {

namespace http = corneltally::http;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr auto cPollInterval = 20ms;

standins::fleet_options complete(standins::fleet_options inOptions, const std::string &inTest)
{
    inOptions.binaries = CORNELTALLY_BINARY_DIR;
    inOptions.folder = std::string(CORNELTALLY_BINARY_DIR) + "/promise/" + inTest;
    std::filesystem::remove_all(inOptions.folder);
    // Shows that a proof can fail; never set in CI.
    if (const char *guard = std::getenv("CORNELTALLY_TEST_BREAK"))
        inOptions.brokenGuard = guard;
    return inOptions;
}

} // namespace

caller_answer callEntry(standins::http_probe &ioProbe, const caller_request &inRequest)
{
    http::call_request request{.target = http::parseAddress(inRequest.address),
                               .method = "POST",
                               .path = inRequest.path,
                               .headers = inRequest.headers,
                               .body = inRequest.body,
                               .timeout = inRequest.timeout,
                               .freshConnection = inRequest.freshConnection};
    request.headers.emplace_back("Content-Type", "application/json");
    if (!inRequest.key.empty())
        request.headers.emplace_back("Authorization", "Bearer " + inRequest.key);
    const http::response response = ioProbe.call(std::move(request));
    caller_answer answer{.outcome = response.outcome,
                         .status = response.status,
                         .requestId
                         = std::string(http::findHeader(response.headers, "X-Request-Id")),
                         .body = response.body};
    const json body = json::parse(response.body, nullptr, false);
    if (body.is_object() && body.contains("error") && body.at("error").is_object()) {
        answer.run = body.at("error").value("run", std::string());
        if (answer.requestId.empty())
            answer.requestId = body.at("error").value("request_id", std::string());
    }
    return answer;
}

std::string chatBody(long long inAdapter, const std::string &inUser, int inTokens, bool inStream)
{
    return json{{"model",
                 standins::deployment::sAdapterName(inAdapter) + "@"
                     + standins::deployment::sAdapterVersion(inAdapter)},
                {"max_tokens", inTokens},
                {"stream", inStream},
                {"user", inUser},
                {"messages", {{{"role", "user"}, {"content", "xxxxxxxx"}}}}}
        .dump();
}

bool waitFor(const std::function<bool()> &inCondition, std::chrono::milliseconds inLimit)
{
    const auto deadline = std::chrono::steady_clock::now() + inLimit;
    while (!inCondition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(cPollInterval);
    }
    return true;
}

double monotonicSeconds()
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch())
        .count();
}

void inject(const std::string &inWhat)
{
    std::printf("injected: %s\n", inWhat.c_str());
    std::fflush(stdout);
}

promise_fleet::promise_fleet(const std::string &inTest, standins::fleet_options inOptions)
    : mFleet(complete(std::move(inOptions), inTest))
    , mBinaries(CORNELTALLY_BINARY_DIR)
{
    const bool started = mFleet.start();
    INFO(mFleet.problem());
    REQUIRE(started);
    // An instance refuses with 429 until it may spend its share.
    for (const std::string &name : mFleet.names("entry-")) {
        REQUIRE(waitFor([&] {
            return callEntry(mProbe,
                             {.address = callers(name),
                              .path = "/stock",
                              .key = account(0).key,
                              .body = R"({"item":"first"})"})
                .isComplete();
        }));
    }
}

void promise_fleet::control(const std::string &inProcess, const std::string &inPath,
                            const std::string &inJson)
{
    const int status
        = mProbe.post(process(inProcess).port("http"), "/control/" + inPath, inJson).status;
    INFO(inProcess << " " << inPath << " " << inJson);
    REQUIRE(status == 200);
    inject(inProcess + " " + inPath + " " + inJson);
}

json promise_fleet::dump(const std::string &inEntry, const std::string &inService)
{
    const http::response answer = mProbe.get(process(inEntry).port("operators"), "/dump");
    const json all = json::parse(answer.body, nullptr, false);
    return all.is_object() && all.contains(inService) ? all.at(inService) : json::object();
}

bool promise_fleet::isReady(const std::string &inEntry)
{
    return mProbe.get(process(inEntry).port("operators"), "/readyz").status == 200;
}

int promise_fleet::publish(const std::vector<std::string> &inArguments,
                           const std::string &inPlatform)
{
    std::vector<std::string> arguments{"publish", "--platform",
                                       inPlatform.empty() ? mFleet.platformAddress() : inPlatform};
    arguments.insert(arguments.end(), inArguments.begin(), inArguments.end());
    standins::child_process publisher({.program = mBinaries + "/corneltally",
                                       .arguments = arguments,
                                       .logFile = mFleet.fileIn("publish.log")});
    return publisher.waitExit(60s).value_or(-1);
}

standins::child_process promise_fleet::startPublish(const std::vector<std::string> &inArguments)
{
    std::vector<std::string> arguments{"publish", "--platform", mFleet.platformAddress()};
    arguments.insert(arguments.end(), inArguments.begin(), inArguments.end());
    return standins::child_process({.program = mBinaries + "/corneltally",
                                    .arguments = arguments,
                                    .logFile = mFleet.fileIn("publish.log")});
}

standins::child_process promise_fleet::startLoad(const load_plan &inPlan)
{
    std::vector<std::string> arguments{"--workload",
                                       mFleet.plan().name(),
                                       "--seconds",
                                       std::to_string(inPlan.seconds),
                                       "--drain-seconds",
                                       std::to_string(inPlan.drainSeconds),
                                       "--calls-per-second",
                                       std::to_string(inPlan.callsPerSecond),
                                       "--seed",
                                       std::to_string(inPlan.seed),
                                       "--skew",
                                       std::to_string(inPlan.skew),
                                       "--adapters",
                                       std::to_string(mFleet.options().adapters),
                                       "--ledger",
                                       mFleet.fileIn(inPlan.ledgerName)};
    if (!inPlan.heavyAccount.empty()) {
        arguments.insert(arguments.end(),
                         {"--heavy-account", inPlan.heavyAccount, "--heavy-factor",
                          std::to_string(inPlan.heavyFactor)});
    }
    const std::vector<std::string> targets
        = inPlan.targets.empty() ? mFleet.names("entry-") : inPlan.targets;
    for (const std::string &name : targets) {
        arguments.emplace_back("--target");
        arguments.push_back(callers(name));
    }
    for (const std::string &name : mFleet.names("application-")) {
        arguments.emplace_back("--application-ledger");
        arguments.push_back(mFleet.fileIn(name + ".ledger"));
    }
    return standins::child_process({.program = mBinaries + "/standins/standin_load",
                                    .arguments = arguments,
                                    .logFile = mFleet.fileIn("load.log")});
}

std::string promise_fleet::finishLoad(standins::child_process &ioLoad, const load_plan &inPlan)
{
    const auto limit = std::chrono::milliseconds(
        static_cast<long long>((inPlan.seconds + inPlan.drainSeconds) * 1000) + 30'000);
    std::string table = ioLoad.readOutput(limit);
    ioLoad.waitExit(10s);
    std::printf("%s", table.c_str());
    std::fflush(stdout);
    return table;
}

std::vector<json> promise_fleet::facts(const std::string &inLedger, const std::string &inKind) const
{
    std::vector<json> found;
    std::ifstream file(mFleet.fileIn(inLedger));
    for (std::string line; std::getline(file, line);) {
        json fact = json::parse(line, nullptr, false);
        if (fact.is_object() && fact.value("kind", std::string()) == inKind)
            found.push_back(std::move(fact));
    }
    return found;
}

std::vector<standins::violation>
promise_fleet::violations(const std::vector<std::string> &inLoadLedgers)
{
    standins::ledger_checker checker;
    for (const std::string &file : mFleet.ledgerFiles())
        checker.addFile(file);
    for (const std::string &name : inLoadLedgers)
        checker.addFile(mFleet.fileIn(name));
    std::vector<standins::violation> found = checker.check();
    for (const standins::violation &entry : found)
        std::printf("violation of %s: %s\n", entry.guarantee.c_str(), entry.message.c_str());
    std::printf("%zu runs and %zu calls checked\n", checker.runCount(), checker.callCount());
    std::fflush(stdout);
    return found;
}

std::vector<std::string> messagesOf(const std::vector<standins::violation> &inFound,
                                    const std::string &inGuarantee)
{
    std::vector<std::string> messages;
    for (const standins::violation &entry : inFound) {
        if (entry.guarantee == inGuarantee)
            messages.push_back(entry.message);
    }
    return messages;
}

} // namespace promise
