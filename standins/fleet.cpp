#include "standins/fleet.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

namespace standins {

using namespace std::chrono_literals;
using nlohmann::json;
using steady = std::chrono::steady_clock;

namespace {

constexpr auto cStartLimit = 60s;
constexpr auto cStopLimit = 60s;
constexpr auto cPollInterval = 20ms;
constexpr std::array<const char *, 3> cEntryPorts{"callers", "operators", "peers"};

std::string numbered(const std::string &inPrefix, int inIndex)
{
    std::string name = inPrefix;
    return name.append(std::to_string(inIndex + 1));
}

int numberOf(const std::string &inName)
{
    const std::size_t dash = inName.rfind('-');
    return dash == std::string::npos ? 0 : std::atoi(inName.c_str() + dash + 1);
}

std::string loopback(unsigned short inPort)
{
    std::string text = "127.0.0.1:";
    return text.append(std::to_string(inPort));
}

} // namespace

fleet::fleet(fleet_options inOptions)
    : mOptions(std::move(inOptions))
    , mDeployment(deployment::sNamed(mOptions.workload))
{ }

fleet::~fleet() = default;

bool fleet::start()
{
    if (mDeployment.name().empty())
        return fail("there is no workload " + mOptions.workload);
    std::error_code ignored;
    std::filesystem::create_directories(mOptions.folder, ignored);
    if (!startStandins() || !startProxy())
        return false;
    if (!mOptions.withEntries)
        return true;
    // The tree comes last, since it holds the peer addresses if there is no proxy.
    return startEntries() && publish(treeToml()) && listInstances() && waitReadiness();
}

std::vector<std::string> fleet::callerAddresses() const
{
    std::vector<std::string> addresses;
    for (const std::string &name : names("entry-"))
        addresses.push_back(mProcesses.at(name).address("callers"));
    return addresses;
}

bool fleet::restart(const std::string &inName)
{
    child_process &target = process(inName);
    std::vector<std::string> arguments = mArguments.at(inName);
    if (inName.starts_with("entry-")) {
        writeEntrySettings(inName);
    } else {
        arguments.emplace_back("--listen");
        arguments.push_back(target.address("http"));
    }
    target.restart(arguments);
    if (!target.waitReady(cStartLimit))
        return fail(inName + " did not become ready after a restart");
    return !inName.starts_with("entry-") || setEntryTargets(inName);
}

bool fleet::publish(const std::string &inTree)
{
    if (!writeFile("tree.toml", inTree))
        return fail("cannot write the settings tree");
    child_process publisher(
        {.program = mOptions.binaries + "/corneltally",
         .arguments = {"publish", "--platform", platformAddress(), "--tree", fileIn("tree.toml")},
         .logFile = fileIn("publish.log")});
    const std::optional<int> code = publisher.waitExit(cStartLimit);
    return code == 0 || fail("the settings tree was not accepted, see publish.log");
}

std::string fleet::treeToml() const
{
    std::ostringstream text;
    text << mOptions.rootSettings << mDeployment.treeToml(mOptions.adapters);
    for (const std::string &name : endpointNames()) {
        const bool isEngine = name.starts_with("engine-");
        text << "[endpoints." << name << "]\naddress = \"" << mProcesses.at(name).address("http")
             << "\"\nfailure_domain = \"" << domainOf(name) << "\"\nkind = \""
             << (isEngine ? "model" : "service") << "\"\n";
        if (!isEngine)
            continue;
        const bool checks = numberOf(name) <= mOptions.engines - mOptions.enginesWithoutFencing;
        text << "base_model = \"" << mDeployment.baseModel()
             << "\"\nchecks_fencing = " << (checks ? "true" : "false")
             << "\nadapter_slots = " << mOptions.adapterSlots
             << "\nrun_slots = " << mOptions.runSlots << "\n";
    }
    for (int index = 0; index < mOptions.instances; ++index) {
        const std::string name = numbered("entry-", index);
        text << "[instances." << name << "]\nfailure_domain = \"" << domainOf(name) << "\"\n";
        if (!mOptions.proxied && mProcesses.contains(name))
            text << "peer_address = \"" << mProcesses.at(name).address("peers") << "\"\n";
    }
    return text.str();
}

bool fleet::fault(const std::vector<std::string> &inLinks, const std::string &inFaultJson)
{
    json body = json::parse(inFaultJson);
    body["names"] = inLinks;
    return mProbe.post(process("proxy").port("http"), "/control/fault", body.dump()).status == 200;
}

bool fleet::healAll()
{
    return mProbe.post(process("proxy").port("http"), "/control/fault", R"({"fault":"heal"})")
               .status
        == 200;
}

std::vector<std::string> fleet::linksAcross(const std::string &inDomain) const
{
    std::vector<std::string> links;
    for (const auto &[name, port] : mLinkPorts) {
        const std::size_t arrow = name.find('>');
        const bool fromInside = domainOf(name.substr(0, arrow)) == inDomain;
        const bool toInside = domainOf(name.substr(arrow + 1)) == inDomain;
        if (fromInside != toInside)
            links.push_back(name);
    }
    return links;
}

bool fleet::cutDomain(const std::string &inDomain, const std::string &inFault)
{
    return fault(linksAcross(inDomain), json{{"fault", inFault}}.dump());
}

std::vector<std::string> fleet::linksOf(const std::string &inName) const
{
    std::vector<std::string> links;
    for (const auto &[name, port] : mLinkPorts) {
        const std::size_t arrow = name.find('>');
        if (name.substr(0, arrow) == inName || name.substr(arrow + 1) == inName)
            links.push_back(name);
    }
    return links;
}

std::string fleet::sLinkName(const std::string &inFrom, const std::string &inTo)
{
    return inFrom + ">" + inTo;
}

std::string fleet::domainOf(const std::string &inName) const
{
    const int number = numberOf(inName);
    if (number == 0)
        return {};
    const std::vector<std::string> &domains = mDeployment.domains();
    return domains[static_cast<std::size_t>(number - 1) % domains.size()];
}

std::vector<std::string> fleet::names(const std::string &inPrefix) const
{
    std::vector<std::string> found;
    for (const auto &[name, entry] : mProcesses) {
        if (name.starts_with(inPrefix))
            found.push_back(name);
    }
    std::ranges::sort(found, {}, numberOf);
    return found;
}

std::vector<std::string> fleet::ledgerFiles() const
{
    std::vector<std::string> files{fileIn("platform.ledger")};
    for (const std::string &name : endpointNames())
        files.push_back(fileIn(name + ".ledger"));
    return files;
}

bool fleet::stop()
{
    bool clean = true;
    const std::vector<std::string> entries = names("entry-");
    for (const std::string &name : entries) {
        process(name).resume();
        process(name).signal(SIGTERM);
    }
    for (const std::string &name : entries) {
        if (process(name).waitExit(cStopLimit) != 0) {
            clean = false;
            mProblem = name + " did not end with exit code 0";
        }
    }
    for (auto &[name, entry] : mProcesses) {
        if (!name.starts_with("entry-"))
            entry.terminate(cStopLimit);
    }
    mProcesses.clear();
    return clean;
}

bool fleet::startStandins()
{
    std::vector<std::string> started{"platform"};
    std::vector<std::string> arguments = standinArguments("platform");
    arguments.insert(arguments.end(), mOptions.platformArguments.begin(),
                     mOptions.platformArguments.end());
    launch("platform", "standins/standin_platform", arguments);
    if (!waitAllReady(started))
        return false;
    for (int index = 0; index < mOptions.engines; ++index) {
        const std::string name = numbered("engine-", index);
        arguments = standinArguments(name);
        for (const std::string &part :
             {std::string("--platform"), platformAddress(), std::string("--base-model"),
              mDeployment.baseModel(), std::string("--adapter-slots"),
              std::to_string(mOptions.adapterSlots), std::string("--run-slots"),
              std::to_string(mOptions.runSlots)})
            arguments.push_back(part);
        if (index >= mOptions.engines - mOptions.enginesWithoutFencing)
            arguments.emplace_back("--ignore-fence");
        arguments.insert(arguments.end(), mOptions.engineArguments.begin(),
                         mOptions.engineArguments.end());
        launch(name, "standins/standin_engine", arguments);
        started.push_back(name);
    }
    for (int index = 0; index < mOptions.applications; ++index) {
        const std::string name = numbered("application-", index);
        arguments = standinArguments(name);
        arguments.insert(arguments.end(), mOptions.applicationArguments.begin(),
                         mOptions.applicationArguments.end());
        launch(name, "standins/standin_application", arguments);
        started.push_back(name);
    }
    started.erase(started.begin());
    return waitAllReady(started);
}

bool fleet::startProxy()
{
    if (!mOptions.proxied)
        return true;
    launch("proxy", "standins/standin_proxy", {"--name", "proxy"});
    return waitAllReady({"proxy"}) && addLinks();
}

bool fleet::addLinks()
{
    json links = json::array();
    for (int index = 0; index < mOptions.instances; ++index) {
        const std::string from = numbered("entry-", index);
        const auto addLink = [&](const std::string &inTo) {
            json link{{"name", sLinkName(from, inTo)}};
            if (mProcesses.contains(inTo))
                link["target"] = mProcesses.at(inTo).address("http");
            if (inTo != "platform" && domainOf(from) != domainOf(inTo))
                link["delay_ms"] = mDeployment.crossDomainMs();
            links.push_back(std::move(link));
        };
        addLink("platform");
        for (const std::string &name : endpointNames())
            addLink(name);
        for (int other = 0; other < mOptions.instances; ++other) {
            if (other != index)
                addLink(numbered("entry-", other));
        }
    }
    const auto answer = mProbe.post(process("proxy").port("http"), "/control/links",
                                    json{{"links", links}}.dump());
    if (answer.status != 200)
        return fail("the proxy did not accept the links");
    mLinkPorts = json::parse(answer.body).at("ports").get<std::map<std::string, unsigned short>>();
    return true;
}

bool fleet::startEntries()
{
    std::vector<std::string> started;
    for (int index = 0; index < mOptions.instances; ++index) {
        const std::string name = numbered("entry-", index);
        std::vector<std::string> arguments{"entry", "--settings", writeEntrySettings(name)};
        if (!mOptions.brokenGuard.empty())
            arguments.emplace_back("--allow-test-settings");
        launch(name, "corneltally", std::move(arguments));
        started.push_back(name);
    }
    if (!waitAllReady(started))
        return false;
    return std::ranges::all_of(
        started, [this](const std::string &inName) { return setEntryTargets(inName); });
}

bool fleet::waitAllReady(const std::vector<std::string> &inNames)
{
    for (const std::string &name : inNames) {
        if (!process(name).waitReady(cStartLimit))
            return fail(name + " did not become ready, see its log");
    }
    return true;
}

bool fleet::setEntryTargets(const std::string &inName)
{
    for (const char *port : cEntryPorts)
        mEntryPorts[inName][port] = process(inName).port(port);
    if (!mOptions.proxied)
        return true;
    json links = json::array();
    for (const auto &[name, port] : mLinkPorts) {
        if (name.ends_with(">" + inName))
            links.push_back({{"name", name}, {"target", process(inName).address("peers")}});
    }
    const auto answer = mProbe.post(process("proxy").port("http"), "/control/links",
                                    json{{"links", links}}.dump());
    return answer.status == 200 || fail("the proxy did not accept the targets of " + inName);
}

bool fleet::waitReadiness()
{
    const auto deadline = steady::now() + cStartLimit;
    for (const std::string &name : names("entry-")) {
        while (mProbe.get(process(name).port("operators"), "/readyz").status != 200) {
            if (!process(name).isRunning() || steady::now() > deadline)
                return fail(name + " is not ready to serve, see its log");
            std::this_thread::sleep_for(cPollInterval);
        }
    }
    return true;
}

bool fleet::waitServing()
{
    const auto deadline = steady::now() + cStartLimit;
    const auto call = std::ranges::find(mDeployment.calls(), call_kind::idempotent_service,
                                        &deployment_call::kind);
    for (const std::string &name : names("entry-")) {
        const auto serves = [&] {
            return mProbe
                       .post(process(name).port("callers"), call->path, R"({"item":"probe"})",
                             {{"Authorization", "Bearer " + mDeployment.accounts().front().key},
                              {"Content-Type", "application/json"}})
                       .status
                == 200;
        };
        while (!serves()) {
            if (!process(name).isRunning() || steady::now() > deadline)
                return fail(name + " does not serve calls, see its log; it ended by signal "
                            + std::to_string(process(name).endSignal()));
            std::this_thread::sleep_for(cPollInterval);
        }
    }
    return true;
}

bool fleet::listInstances()
{
    json list = json::array();
    for (const std::string &name : names("entry-")) {
        list.push_back({{"name", name},
                        {"failure_domain", domainOf(name)},
                        {"kind", "entry"},
                        {"address", process(name).address("callers")},
                        {"state", "live"}});
    }
    const auto answer = mProbe.post(process("platform").port("http"), "/control/instances",
                                    json{{"instances", list}}.dump());
    return answer.status == 200 || fail("the platform did not accept the instance list");
}

void fleet::launch(const std::string &inName, const std::string &inProgram,
                   std::vector<std::string> inArguments)
{
    mArguments[inName] = inArguments;
    mProcesses.insert_or_assign(inName,
                                child_process({.program = mOptions.binaries + "/" + inProgram,
                                               .arguments = std::move(inArguments),
                                               .logFile = fileIn(inName + ".log")}));
}

std::vector<std::string> fleet::standinArguments(const std::string &inName) const
{
    std::vector<std::string> arguments{"--name", inName, "--ledger", fileIn(inName + ".ledger")};
    for (const deployment_account &account : mDeployment.accounts()) {
        arguments.emplace_back("--secret");
        arguments.push_back(account.key);
    }
    return arguments;
}

std::string fleet::writeEntrySettings(const std::string &inName) const
{
    const auto listenAddress = [&](const char *inPort) {
        const auto known = mEntryPorts.find(inName);
        return loopback(known == mEntryPorts.end() ? 0 : known->second.at(inPort));
    };
    std::ostringstream text;
    text << "[instance]\nname = \"" << inName << "\"\nfailure_domain = \"" << domainOf(inName)
         << "\"\n[listen]\n";
    for (const char *port : cEntryPorts)
        text << port << " = \"" << listenAddress(port) << "\"\n";
    text << "[platform]\naddress = \"" << addressFor(inName, "platform") << "\"\n";
    if (mOptions.proxied) {
        text << "[peer_addresses]\n";
        for (int index = 0; index < mOptions.instances; ++index) {
            const std::string other = numbered("entry-", index);
            if (other != inName)
                text << other << " = \"" << addressFor(inName, other) << "\"\n";
        }
        text << "[endpoint_addresses]\n";
        for (const std::string &name : endpointNames())
            text << name << " = \"" << addressFor(inName, name) << "\"\n";
    }
    if (!mOptions.brokenGuard.empty())
        text << "[test]\nbreak = \"" << mOptions.brokenGuard << "\"\n";
    const std::string file = inName + ".toml";
    writeFile(file, text.str());
    return fileIn(file);
}

std::vector<std::string> fleet::endpointNames() const
{
    std::vector<std::string> found = names("engine-");
    const std::vector<std::string> applications = names("application-");
    found.insert(found.end(), applications.begin(), applications.end());
    return found;
}

std::string fleet::addressFor(const std::string &inFrom, const std::string &inTo) const
{
    if (mOptions.proxied)
        return loopback(mLinkPorts.at(sLinkName(inFrom, inTo)));
    return mProcesses.at(inTo).address("http");
}

bool fleet::fail(const std::string &inProblem)
{
    mProblem = inProblem;
    return false;
}

bool fleet::writeFile(const std::string &inName, const std::string &inText) const
{
    std::ofstream file(fileIn(inName), std::ios::trunc);
    file << inText;
    return file.good();
}

} // namespace standins
