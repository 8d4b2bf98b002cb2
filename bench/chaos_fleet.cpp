#include "bench/chaos_fleet.h"

#include <cstdio>
#include <filesystem>
#include <fstream>
#include <thread>

#include <nlohmann/json.hpp>

namespace chaos {

using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr double cDrainSeconds = 35;
/// Bound of section 2.1 of the design page for settings.
constexpr double cInForceSeconds = 3;
/// Account that sends several times its rate.
const std::string cHeavyAccount = "ferry";
constexpr double cHeavyRate = 300;
constexpr double cHeavyBurst = 3'000;
constexpr long long cAdapters = 120;

standins::fleet_options optionsOf(const std::string &inBinaries, const std::string &inFolder,
                                  const std::string &inBrokenGuard)
{
    std::filesystem::remove_all(inFolder);
    return {.binaries = inBinaries,
            .folder = inFolder,
            .adapters = cAdapters,
            .adapterSlots = 2,
            .platformArguments = {"--loads-per-second", "12", "--load-burst", "16"},
            .engineArguments = {"--token-ms", "30"},
            .brokenGuard = inBrokenGuard};
}

std::string text(double inValue)
{
    return std::to_string(inValue);
}

} // namespace

chaos_fleet::chaos_fleet(const std::string &inBinaries, const std::string &inFolder,
                         const std::string &inBrokenGuard)
    : mFleet(optionsOf(inBinaries, inFolder, inBrokenGuard))
    , mBinaries(inBinaries)
{ }

bool chaos_fleet::start(long long inSeed, double inSeconds, double inCallsPerSecond)
{
    const std::string limits = "/accounts/" + cHeavyAccount;
    if (!mFleet.start()
        || !publish({"--set", limits, "rate_tokens_per_second=" + text(cHeavyRate), "--set", limits,
                     "burst_tokens=" + text(cHeavyBurst)})) {
        std::fprintf(stderr, "the fleet did not start: %s\n", mFleet.problem().c_str());
        return false;
    }
    mFacts = std::make_unique<standins::ledger>(mFleet.fileIn("chaos.ledger"), "chaos");
    mLoadSeconds = inSeconds;
    mLoadStart = standins::wallSeconds();
    std::this_thread::sleep_for(std::chrono::duration<double>(cInForceSeconds));
    std::vector<std::string> arguments{"--workload",
                                       mFleet.plan().name(),
                                       "--seconds",
                                       text(inSeconds),
                                       "--drain-seconds",
                                       text(cDrainSeconds),
                                       "--calls-per-second",
                                       text(inCallsPerSecond),
                                       "--seed",
                                       std::to_string(inSeed),
                                       "--adapters",
                                       std::to_string(cAdapters),
                                       "--skew",
                                       "1.0",
                                       "--heavy-account",
                                       cHeavyAccount,
                                       "--heavy-factor",
                                       "5",
                                       "--ledger",
                                       mFleet.fileIn("load.ledger")};
    for (const std::string &address : mFleet.callerAddresses()) {
        arguments.emplace_back("--target");
        arguments.push_back(address);
    }
    mLoad.emplace(standins::child_process({.program = mBinaries + "/standins/standin_load",
                                           .arguments = arguments,
                                           .logFile = mFleet.fileIn("load.log")}));
    return true;
}

void chaos_fleet::begin(const std::string &inFault, const std::string &inTarget)
{
    mPhases.push_back({.fault = inFault, .target = inTarget, .start = standins::wallSeconds()});
}

void chaos_fleet::end()
{
    mPhases.back().end = standins::wallSeconds();
}

void chaos_fleet::check(bool inHolds, const std::string &inProblem)
{
    if (!inHolds)
        mProblems.push_back(inProblem);
}

void chaos_fleet::control(const std::string &inProcess, const std::string &inPath,
                          const std::string &inJson)
{
    const int status
        = mProbe.post(mFleet.process(inProcess).port("http"), "/control/" + inPath, inJson).status;
    check(status == 200, inProcess + " did not accept " + inJson);
}

void chaos_fleet::withdrawKey(const std::string &inAccount)
{
    if (mWithdrawn.contains(inAccount))
        return;
    if (publish({"--set", "/accounts/" + inAccount + "/keys/k1", "withdrawn=true"})) {
        mWithdrawn[inAccount] = standins::wallSeconds();
        mFacts->write("key_withdrawn", {{"key_id", inAccount + "/k1"}});
    }
}

void chaos_fleet::setLeaving(const std::vector<std::string> &inEndpoints, bool inLeaving)
{
    const std::string value = std::string("leaving=") + (inLeaving ? "true" : "false");
    std::vector<std::string> arguments;
    for (const std::string &name : inEndpoints)
        arguments.insert(arguments.end(), {"--set", "/endpoints/" + name, value});
    // Work is allowed again from before the change that allows it is accepted.
    const std::string fact = std::string(R"({"leaving":)") + (inLeaving ? "true}" : "false}");
    const auto note = [&] {
        for (const std::string &name : inEndpoints)
            control(name, name.starts_with("engine-") ? "engine" : "faults", fact);
    };
    if (!inLeaving)
        note();
    if (publish(arguments) && inLeaving)
        note();
}

void chaos_fleet::raceOperators(int inCount)
{
    std::vector<standins::child_process> operators;
    operators.reserve(static_cast<std::size_t>(inCount));
    for (int index = 0; index < inCount; ++index)
        operators.push_back(startPublish(
            {"--set", "/accounts/mill", "weight=" + std::to_string(index + 1) + ".0"}));
    int accepted = 0;
    for (standins::child_process &entry : operators)
        accepted += entry.waitExit(60s) == 0 ? 1 : 0;
    check(accepted > 0, "none of the racing changes was accepted");
}

bool chaos_fleet::finish()
{
    mFleet.healAll();
    const auto limit
        = std::chrono::milliseconds(static_cast<long long>((mLoadSeconds + cDrainSeconds) * 1000));
    std::printf("%s", mLoad->readOutput(limit + 30s).c_str());
    mLoad->waitExit(10s);
    checkSettings();
    const std::vector<std::string> ledgers = mFleet.ledgerFiles();
    if (!mFleet.stop())
        mViolations.push_back({"P11", mFleet.problem()});
    standins::ledger_checker checker;
    for (const std::string &file : ledgers)
        checker.addFile(file);
    for (const char *name : {"load.ledger", "chaos.ledger"})
        checker.addFile(mFleet.fileIn(name));
    checker.addLine(json{
        {"kind", "account_limit"},
        {"account", cHeavyAccount},
        {"rate", cHeavyRate},
        {"burst",
         cHeavyBurst}}.dump());
    const std::vector<standins::violation> found = checker.check();
    mViolations.insert(mViolations.end(), found.begin(), found.end());
    printPhases();
    std::printf("%zu runs and %zu calls checked\n", checker.runCount(), checker.callCount());
    return printViolations();
}

bool chaos_fleet::publish(const std::vector<std::string> &inArguments)
{
    return startPublish(inArguments).waitExit(60s) == 0;
}

standins::child_process chaos_fleet::startPublish(const std::vector<std::string> &inArguments)
{
    std::vector<std::string> arguments{"publish", "--platform", mFleet.platformAddress()};
    arguments.insert(arguments.end(), inArguments.begin(), inArguments.end());
    return standins::child_process({.program = mBinaries + "/corneltally",
                                    .arguments = arguments,
                                    .logFile = mFleet.fileIn("publish.log")});
}

long long chaos_fleet::versionInForce(const std::string &inEntry)
{
    const json state = json::parse(
        mProbe.get(mFleet.process(inEntry).port("operators"), "/dump").body, nullptr, false);
    if (!state.is_object() || !state.contains("settings_sync"))
        return -1;
    const json &version = state.at("settings_sync").at("in_force");
    return version.is_number() ? version.get<long long>() : -1;
}

void chaos_fleet::checkSettings()
{
    long long before = 0;
    const std::vector<std::string> entries = mFleet.names("entry-");
    for (const std::string &name : entries)
        before = std::max(before, versionInForce(name));
    if (!publish({"--set", "/accounts/mill", "weight=9.0"})) {
        check(false, "the last change was not accepted");
        return;
    }
    const double accepted = standins::wallSeconds();
    for (const std::string &name : entries) {
        while (versionInForce(name) <= before) {
            if (standins::wallSeconds() > accepted + cInForceSeconds) {
                mViolations.push_back({"P12",
                                       name + " has version " + std::to_string(versionInForce(name))
                                           + " 3 s after a later one than " + std::to_string(before)
                                           + " was accepted"});
                break;
            }
            std::this_thread::sleep_for(20ms);
        }
    }
}

std::vector<chaos_fleet::call> chaos_fleet::readCalls() const
{
    std::vector<call> calls;
    std::ifstream file(mFleet.fileIn("load.ledger"));
    for (std::string line; std::getline(file, line);) {
        const json fact = json::parse(line, nullptr, false);
        if (!fact.is_object() || fact.value("kind", std::string()) != "call")
            continue;
        const std::string account = fact.value("account", std::string());
        calls.push_back({.sent = fact.value("sent", 0.0),
                         .completed = fact.value("outcome", std::string()) == "completed",
                         .overRate = fact.value("status", 0) == 429,
                         .withdrawn = mWithdrawn.contains(account)});
    }
    return calls;
}

void chaos_fleet::printPhases() const
{
    const std::vector<call> calls = readCalls();
    std::printf("%-18s %-26s %8s %7s %9s %9s %7s\n", "fault", "target", "seconds", "calls",
                "completed", "over rate", "share");
    const auto printRow = [&](const phase &inPhase) {
        int all = 0;
        int completed = 0;
        int overRate = 0;
        for (const call &entry : calls) {
            if (entry.sent < inPhase.start || entry.sent >= inPhase.end || entry.withdrawn)
                continue;
            ++all;
            completed += entry.completed ? 1 : 0;
            overRate += entry.overRate ? 1 : 0;
        }
        const double share = all > overRate ? 100.0 * completed / (all - overRate) : 0;
        std::printf("%-18s %-26s %8.1f %7d %9d %9d %6.1f%%\n", inPhase.fault.c_str(),
                    inPhase.target.c_str(), inPhase.end - inPhase.start, all, completed, overRate,
                    share);
    };
    for (const phase &entry : mPhases)
        printRow(entry);
    printRow({.fault = "all", .target = "", .start = mLoadStart, .end = standins::wallSeconds()});
}

bool chaos_fleet::printViolations()
{
    std::map<std::string, int> counts;
    for (const standins::violation &entry : mViolations) {
        if (++counts[entry.guarantee] <= 5)
            std::printf("violation of %s: %s\n", entry.guarantee.c_str(), entry.message.c_str());
    }
    std::printf("violations:");
    for (int number = 1; number <= 12; ++number) {
        const std::string name = "P" + std::to_string(number);
        std::printf(" %s=%d", name.c_str(), counts[name]);
    }
    std::printf(" total=%zu\n", mViolations.size());
    for (const std::string &problem : mProblems)
        std::printf("problem of the run: %s\n", problem.c_str());
    return mViolations.empty() && mProblems.empty();
}

} // namespace chaos
