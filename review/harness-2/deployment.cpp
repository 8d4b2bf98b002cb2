#include "review/harness-2/deployment.h"

#include "platform/document_codec.h"
#include "platform/names.h"

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace review {

using namespace std::chrono_literals;
using nlohmann::json;
namespace platform = corneltally::platform;

namespace {

constexpr const char *cProgram = "target/corneltally";
constexpr const char *cStandins = "build/review-2/";
constexpr const char *cEndpointProgram = "standin_site_endpoint";
constexpr std::array cZones{"reykjanes-a", "reykjanes-b", "reykjanes-c"};
constexpr auto cStartLimit = 20s;
/// Interval in which the store expects the endpoints' check-ins; `heartbeat-ms` of the settings.
constexpr const char *cHeartbeatMs = "1200";

json route(const char *inName, const char *inKind, const char *inService, int inTimeoutMs)
{
    return {{"name", inName},
            {"host", deployment::cHost},
            {"path-prefix", std::string("/") + inName + "/"},
            {"kind", inKind},
            {"service", inService},
            {"timeout-ms", inTimeoutMs},
            {"max-attempts", 1},
            {"target-latency-ms", 800},
            {"gap-aim-ms", 300},
            {"priority", 1}};
}

json firstConfiguration()
{
    json look = route("stock-look", "idempotent", "taug-app", 1500);
    look["max-attempts"] = 2;
    const json model{
        {"name", deployment::cModel}, {"weights-mb", 500}, {"adapters", 3000}, {"adapter-mb", 1}};
    const json engine{{"capacity", 64},
                      {"kv-capacity", 277'092},
                      {"weights-mb", 1000},
                      {"adapter-slots", 8},
                      {"models", {model}}};
    return {{"version", 1},
            {"routes",
             {route("spec-review", "streaming", "taug-lm", 4000),
              route("quote-chat", "streaming", "taug-lm", 15'000),
              route("lay-order", "non_idempotent", "taug-app", 1500), look}},
            {"services", {{{"name", "taug-app"}}, {{"name", "taug-lm"}, {"engine", engine}}}},
            {"tenants",
             {{{"name", "harbour"},
               {"api-keys", {deployment::cKey}},
               {"rate-per-s", 1'000'000},
               {"burst", 10'000'000},
               {"unit", "token_stream"},
               {"plain-tokens", 200}}}},
            {"limits", {{"idle-timeout-ms", 20'000}, {"header-timeout-ms", 5000}}}};
}

bool isFree(const std::string &inAddress, unsigned short inPort)
{
    const int listening = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in target{};
    target.sin_family = AF_INET;
    target.sin_port = htons(inPort);
    inet_pton(AF_INET, inAddress.c_str(), &target.sin_addr);
    const bool bound = bind(listening, reinterpret_cast<sockaddr *>(&target), sizeof(target)) == 0;
    close(listening);
    return bound;
}

} // namespace

bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

deployment::deployment(deployment_options inOptions)
    : mOptions(std::move(inOptions))
    , mConfiguration(firstConfiguration())
{
    std::filesystem::create_directories(mOptions.folder);
    // Below the ports that the kernel gives to connections.
    for (unsigned short port = 21'000; mPorts.size() < 3 && port < 32'000; ++port) {
        bool free = true;
        for (int machine = 1; machine <= mOptions.machines && free; ++machine)
            free = isFree(addressOf(machine), port);
        if (free)
            mPorts.push_back(port);
    }
}

std::string deployment::addressOf(int inMachine) const
{
    return "127.0." + std::to_string(mOptions.subnet) + "." + std::to_string(inMachine);
}

bool deployment::startProcess(const std::string &inName, const std::string &inProgram,
                              std::vector<std::string> inArguments)
{
    auto started = std::make_unique<standins::child_process>(
        standins::child_process::options{.program = cStandins + inProgram,
                                         .arguments = std::move(inArguments),
                                         .logFile = fileIn(inName + ".errors"),
                                         .outputFile = fileIn(inName + ".log")});
    if (!started->waitReady(cStartLimit))
        return false;
    mEndpoints[inName] = std::move(started);
    return true;
}

bool deployment::start()
{
    if (mPorts.size() < 3
        || !startProcess(
            "store", "standin_site_store",
            {"--name", "store", "--ledger", fileIn("ledger"), "--heartbeat-ms", cHeartbeatMs})
        || !publish())
        return false;
    for (int index = 1; index <= mOptions.engines; ++index) {
        if (!startEndpoint("engine-" + std::to_string(index)))
            return false;
    }
    for (int index = 1; index <= mOptions.applications; ++index) {
        if (!startEndpoint("app-" + std::to_string(index)))
            return false;
    }
    for (int machine = 1; machine <= mOptions.machines; ++machine)
        startMachine(machine);
    const auto limit = steady::now() + cStartLimit;
    for (int machine = 1; machine <= mOptions.machines; ++machine) {
        while (!isReady(machine)) {
            if (steady::now() > limit)
                return false;
            std::this_thread::sleep_for(20ms);
        }
    }
    return true;
}

bool deployment::startEndpoint(const std::string &inName)
{
    const bool isEngine = inName.starts_with("engine-");
    const int number = std::atoi(inName.c_str() + inName.rfind('-') + 1);
    const std::string program = isEngine ? mOptions.engineProgram : cEndpointProgram;
    std::vector<std::string> flags{
        "--name",   inName,
        "--ledger", fileIn("ledger"),
        "--store",  mEndpoints.at("store")->address("http"),
        "--domain", cZones[static_cast<std::size_t>(number - 1) % cZones.size()],
        "--secret", cKey};
    if (program == cEndpointProgram)
        flags.insert(flags.end(), {"--service", isEngine ? "taug-lm" : "taug-app"});
    if (program == cEndpointProgram && isEngine)
        flags.insert(flags.end(), {"--model", cModel, "--slots", "64"});
    if (program != cEndpointProgram)
        flags.insert(flags.end(), {"--seed", std::to_string(number)});
    if (isEngine) {
        flags.insert(flags.end(), {"--adapters", "8"});
        flags.insert(flags.end(), mOptions.engineFlags.begin(), mOptions.engineFlags.end());
    }
    return startProcess(inName, program, std::move(flags));
}

std::vector<std::string> deployment::endedEndpoints()
{
    std::vector<std::string> ended;
    for (const auto &[name, process] : mEndpoints) {
        if (!process->isRunning())
            ended.push_back(name);
    }
    return ended;
}

std::string deployment::writeSettings(int inMachine) const
{
    std::string file = fileIn("edge-" + std::to_string(inMachine) + ".toml");
    const std::string address = addressOf(inMachine);
    std::string seeds;
    for (int seed = 1; seed <= std::min(3, mOptions.machines); ++seed)
        seeds += (seeds.empty() ? "" : ",") + addressOf(seed) + ":" + std::to_string(mPorts[2]);
    std::ofstream text(file);
    text << "[instance]\nname = \"edge-" << inMachine << "\"\nfailure_domain = \""
         << cZones[static_cast<std::size_t>(inMachine - 1) % cZones.size()]
         << "\"\nregion = \"reykjanes\"\nmachine = \"" << address << "\"\n[listen]\ncallers = \""
         << address << ":" << mPorts[0] << "\"\noperators = \"" << address << ":" << mPorts[1]
         << "\"\npeers = \"" << address << ":" << mPorts[2] << "\"\n[store]\naddress = \""
         << mEndpoints.at("store")->address("http") << "\"\nseeds = \"" << seeds
         << "\"\n[limits]\nstop_ms = 8000\nmemory_mb = 520\nholder_pause_ms = 3000\n[retries]\n"
            "ratio = 0.2\nwindow_ms = 10000\nslack = 58\n[regions]\n";
    for (const char *zone : cZones)
        text << "\"" << zone << "\" = \"reykjanes\"\n";
    text << "[overload]\nweigh_requests = true\n[engines]\nlearn_speed = true\n";
    return file;
}

void deployment::startMachine(int inMachine)
{
    const std::string name = "edge-" + std::to_string(inMachine);
    setenv(platform::cSettingsVariable, writeSettings(inMachine).c_str(), 1);
    mStartedAt[inMachine] = steady::now();
    mMachines[inMachine] = std::make_unique<standins::child_process>(
        standins::child_process::options{.program = cProgram,
                                         .arguments = {"forward"},
                                         .logFile = fileIn(name + ".errors"),
                                         .outputFile = fileIn(name + ".log")});
}

void deployment::killMachine(int inMachine)
{
    mMachines.erase(inMachine);
}

bool deployment::hasRunFor(int inMachine, steady::duration inTime, steady::time_point inNow) const
{
    return isRunning(inMachine) && inNow - mStartedAt.at(inMachine) >= inTime;
}

bool deployment::publish()
{
    const json body{{"topic", platform::cOperatorTopic},
                    {"key", std::string(platform::cConfigurationKey)},
                    {"value", mConfiguration}};
    return mProbe.post(mEndpoints.at("store")->port("http"), "/control/put", body.dump()).status
        == 200;
}

bool deployment::isReady(int inMachine)
{
    return mProbe
               .call({.target = {addressOf(inMachine), mPorts[1]},
                      .path = std::string(platform::cReadyPath),
                      .timeout = 1s})
               .status
        == 200;
}

std::vector<json> deployment::facts(const std::string &inKind) const
{
    std::vector<json> found;
    std::ifstream file(fileIn("ledger"));
    for (std::string line; std::getline(file, line);) {
        json fact = json::parse(line, nullptr, false);
        if (fact.is_object() && fact.value("kind", "") == inKind)
            found.push_back(std::move(fact));
    }
    return found;
}

} // namespace review
