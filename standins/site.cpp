#include "standins/site.h"

#include "platform/document_codec.h"
#include "platform/names.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <thread>
#include <utility>

namespace standins {

using namespace std::chrono_literals;
using nlohmann::json;
namespace platform = corneltally::platform;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto cPollInterval = 10ms;
constexpr std::string_view cStoreLink = ">store";

/// Routes for each kind of request, two accounts with a key each, and a service of each sort.
json firstConfiguration()
{
    const auto route
        = [](const char *inName, const char *inPath, const char *inKind, const char *inService) {
              return json{{"name", inName},    {"host", site::cHost},      {"path-prefix", inPath},
                          {"kind", inKind},    {"service", inService},     {"timeout-ms", 4000},
                          {"max-attempts", 2}, {"target-latency-ms", 500}, {"gap-aim-ms", 500},
                          {"priority", 1}};
          };
    json resumable = route("long", "/long/", "streaming", "models");
    resumable["resumable"] = true;
    const auto account = [](const char *inName, const char *inKey) {
        return json{{"name", inName},      {"api-keys", {inKey}},    {"rate-per-s", 1'000'000},
                    {"burst", 10'000'000}, {"unit", "token_stream"}, {"plain-tokens", 200}};
    };
    return {{"routes",
             {route("look", "/look/", "idempotent", "app"),
              route("order", "/order/", "non_idempotent", "app"),
              route("chat", "/chat/", "streaming", "models"), resumable}},
            {"services",
             {{{"name", "app"}},
              {{"name", "models"},
               {"engine",
                {{"capacity", 64},
                 {"kv-capacity", 200'000},
                 {"weights-mb", 1000},
                 {"adapter-slots", 4},
                 {"models",
                  {{{"name", site::cModel},
                    {"weights-mb", 500},
                    {"adapters", 100},
                    {"adapter-mb", 1}}}}}}}}},
            {"tenants", {account("harbour", "key-harbour"), account("island", "key-island")}},
            {"limits", {{"idle-timeout-ms", 20'000}, {"header-timeout-ms", 5000}}}};
}

} // namespace

site::site(site_options inOptions)
    : mOptions(std::move(inOptions))
    , mConfiguration(firstConfiguration())
{
    std::filesystem::remove_all(mOptions.folder);
    std::filesystem::create_directories(mOptions.folder);
}

site::~site() = default;

std::vector<std::string> site::names(const std::string &inPrefix) const
{
    std::vector<std::string> found;
    for (const auto &[name, target] : mProcesses) {
        if (name.starts_with(inPrefix))
            found.push_back(name);
    }
    return found;
}

std::string site::domainOf(const std::string &inName) const
{
    const int number = std::atoi(inName.c_str() + inName.rfind('-') + 1);
    return mOptions
        .failureDomains[static_cast<std::size_t>(number - 1) % mOptions.failureDomains.size()];
}

bool site::startProcess(const std::string &inName, const std::string &inProgram,
                        std::vector<std::string> inArguments)
{
    auto target = std::make_unique<child_process>(
        child_process::options{.program = mOptions.binaries + "/" + inProgram,
                               .arguments = std::move(inArguments),
                               .logFile = fileIn(inName + ".errors"),
                               .outputFile = fileIn(inName + ".log")});
    if (!target->waitReady())
        return false;
    mProcesses[inName] = std::move(target);
    return true;
}

bool site::start()
{
    if (!startProcess("store", "standins/standin_site_store",
                      {"--name", "store", "--ledger", fileIn("ledger")})
        || !startProxy() || !publish())
        return false;
    for (int index = 1; index <= mOptions.engines; ++index) {
        if (!startEndpoint("engine-" + std::to_string(index)))
            return false;
    }
    for (int index = 1; index <= mOptions.applications; ++index) {
        if (!startEndpoint("app-" + std::to_string(index)))
            return false;
    }
    for (int index = 1; index <= mOptions.instances; ++index) {
        if (!startInstance("edge-" + std::to_string(index)))
            return false;
    }
    for (const std::string &name : names("edge-")) {
        if (!waitReady(name) || !waitHolders(name))
            return false;
    }
    return true;
}

bool site::waitHolders(const std::string &inInstance, const std::string &inNot,
                       std::chrono::milliseconds inLimit)
{
    const auto isHeld = [&](const json &inEndpoint) {
        // Plain endpoints may have a holder, too.
        return inEndpoint.value("id", "").starts_with("engine-") && inEndpoint.value("ready", false)
            && inEndpoint.value("holder", "") != inNot;
    };
    return waitFor(
        [&] {
            const json state = json::parse(
                mProbe.get(process(inInstance).port("operators"), "/dump").body, nullptr, false);
            return state.is_object() && state.contains("front")
                && std::ranges::count_if(state.at("front").at("endpoints"), isHeld)
                == mOptions.engines;
        },
        inLimit);
}

bool site::startProxy()
{
    if (!mOptions.proxied)
        return true;
    std::vector<std::string> flags{"--name", "proxy"};
    const auto add = [&](const std::string &inLink) {
        flags.emplace_back("--link");
        flags.push_back(inLink);
        mLinkPorts[inLink] = 0;
    };
    for (int index = 1; index <= mOptions.engines; ++index)
        add("engine-" + std::to_string(index));
    for (int index = 1; index <= mOptions.applications; ++index)
        add("app-" + std::to_string(index));
    for (int index = 1; index <= mOptions.instances; ++index)
        add("edge-" + std::to_string(index) + std::string(cStoreLink));
    if (!startProcess("proxy", "standins/standin_proxy", std::move(flags)))
        return false;
    for (auto &[link, port] : mLinkPorts)
        port = process("proxy").port(link);
    return true;
}

std::string site::linkAddress(const std::string &inLink)
{
    return "127.0.0.1:" + std::to_string(mLinkPorts.at(inLink));
}

bool site::setLink(const std::string &inLink, const std::string &inTarget)
{
    const json body{{"links", {{{"name", inLink}, {"target", inTarget}}}}};
    return mProbe.post(process("proxy").port("http"), "/control/links", body.dump()).status == 200;
}

bool site::startEndpoint(const std::string &inName)
{
    const bool isEngine = inName.starts_with("engine-");
    std::vector<std::string> flags{"--name",    inName,
                                   "--ledger",  fileIn("ledger"),
                                   "--store",   process("store").address("http"),
                                   "--domain",  domainOf(inName),
                                   "--service", isEngine ? "models" : "app"};
    for (const json &account : mConfiguration.at("tenants")) {
        for (const json &key : account.at("api-keys")) {
            flags.emplace_back("--secret");
            flags.push_back(key.get<std::string>());
        }
    }
    if (isEngine) {
        flags.emplace_back("--model");
        flags.emplace_back(cModel);
    }
    const auto &more = isEngine ? mOptions.engineFlags : mOptions.applicationFlags;
    flags.insert(flags.end(), more.begin(), more.end());
    if (mOptions.proxied) {
        flags.emplace_back("--advertise");
        flags.push_back(linkAddress(inName));
    }
    return startProcess(inName, "standins/standin_site_endpoint", std::move(flags))
        && (!mOptions.proxied || setLink(inName, process(inName).address("http")));
}

bool site::startInstance(const std::string &inName)
{
    std::string seeds;
    for (const std::string &other : names("edge-")) {
        if (other != inName && process(other).isRunning())
            seeds += (seeds.empty() ? "seeds = \"" : ",") + process(other).address("peers");
    }
    if (!seeds.empty())
        seeds += "\"\n";
    std::string storeAddress = process("store").address("http");
    if (mOptions.proxied) {
        const std::string link = inName + std::string(cStoreLink);
        if (!setLink(link, storeAddress))
            return false;
        storeAddress = linkAddress(link);
    }
    const std::string file = fileIn(inName + ".toml");
    std::ofstream(file) << "[instance]\nname = \"" << inName << "\"\nfailure_domain = \""
                        << domainOf(inName) << "\"\nmachine = \""
                        << (mOptions.oneMachine ? "machine" : inName)
                        << "\"\n[listen]\ncallers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n"
                           "peers = \"127.0.0.1:0\"\n[store]\naddress = \""
                        << storeAddress << "\"\n"
                        << seeds << "[limits]\nstop_ms = " << mOptions.stopMs
                        << "\n[evacuation]\nwithin_ms = " << mOptions.evacuateMs
                        << "\n[retries]\nslack = 1000\n"
                        << mOptions.moreSettings;
    return startProcess(inName, "corneltally", {"forward", "--settings", file});
}

bool site::restart(const std::string &inName)
{
    process(inName).kill();
    return inName.starts_with("edge-") ? startInstance(inName) : startEndpoint(inName);
}

bool site::publish()
{
    mConfiguration["version"] = ++mVersion;
    const json body{{"topic", platform::cOperatorTopic},
                    {"key", platform::cConfigurationKey},
                    {"value", mConfiguration}};
    return mProbe.post(process("store").port("http"), "/control/put", body.dump()).status == 200;
}

bool site::nameVersion(const std::string &inAdapter, std::uint64_t inVersion)
{
    const json body{{"topic", platform::cOperatorTopic},
                    {"key", std::string("version/") + cModel + "." + inAdapter},
                    {"value", {{"model", cModel}, {"adapter", inAdapter}, {"version", inVersion}}}};
    return mProbe.post(process("store").port("http"), "/control/put", body.dump()).status == 200;
}

bool site::evacuate(const std::string &inFailureDomain, bool inEvacuated)
{
    json body{{"topic", platform::cOperatorTopic},
              {"key", platform::evacuationKey(inFailureDomain)}};
    if (inEvacuated)
        body["value"] = json::object();
    return mProbe.post(process("store").port("http"), "/control/put", body.dump()).status == 200;
}

bool site::restoreStore(std::chrono::milliseconds inAge, std::chrono::milliseconds inAway,
                        std::chrono::milliseconds inRewrite)
{
    const json body{
        {"age_ms", inAge.count()}, {"away_ms", inAway.count()}, {"rewrite_ms", inRewrite.count()}};
    return mProbe.post(process("store").port("http"), "/control/restore", body.dump()).status
        == 200;
}

bool site::setFaults(const std::string &inName, const json &inFaults)
{
    return mProbe.post(process(inName).port("http"), "/control/faults", inFaults.dump()).status
        == 200;
}

bool site::linkFault(const std::vector<std::string> &inLinks, const std::string &inFault,
                     const json &inMore)
{
    json body = inMore;
    body["fault"] = inFault;
    if (!inLinks.empty())
        body["names"] = inLinks;
    return mProbe.post(process("proxy").port("http"), "/control/fault", body.dump()).status == 200;
}

bool site::isReady(const std::string &inInstance)
{
    return mProbe.get(process(inInstance).port("operators"), std::string(platform::cReadyPath))
               .status
        == 200;
}

bool site::waitReady(const std::string &inInstance, bool inReady)
{
    return waitFor([&] { return isReady(inInstance) == inReady; });
}

bool site::waitFor(const std::function<bool()> &inCondition, std::chrono::milliseconds inLimit)
{
    const auto deadline = steady::now() + inLimit;
    while (!inCondition()) {
        if (steady::now() >= deadline)
            return false;
        std::this_thread::sleep_for(cPollInterval);
    }
    return true;
}

std::vector<json> site::facts(const std::string &inKind) const
{
    std::vector<json> found = linesOf("ledger");
    std::erase_if(found, [&](const json &inFact) { return inFact.value("kind", "") != inKind; });
    return found;
}

std::vector<json> site::logOf(const std::string &inName) const
{
    return linesOf(inName + ".log");
}

/// The lines of a file that are JSON objects.
std::vector<json> site::linesOf(const std::string &inFile) const
{
    std::vector<json> found;
    std::ifstream file(fileIn(inFile));
    for (std::string line; std::getline(file, line);) {
        json object = json::parse(line, nullptr, false);
        if (object.is_object())
            found.push_back(std::move(object));
    }
    return found;
}

} // namespace standins
