#pragma once

#include "standins/child_process.h"
#include "standins/deployment.h"
#include "standins/fleet_options.h"
#include "standins/http_probe.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace standins {

/// Starts the platform, the proxy, engines, applications and entry instances of a deployment, and
/// ends them all. Processes are named entry-1, engine-1, application-1 and so on, and are spread
/// over the failure domains in turn.
class fleet
{
public:
    explicit fleet(fleet_options inOptions);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    /// Starts everything, publishes the settings tree and waits until all instances are ready.
    /// Returns false if a part failed; problem() says which.
    bool start();
    /// Waits until every entry instance completes an idempotent call. Admission grants nothing
    /// until the shares of a new settings tree are in force.
    bool waitServing();
    const std::string &problem() const { return mProblem; }

    const deployment &plan() const { return mDeployment; }
    const fleet_options &options() const { return mOptions; }

    /// A process by name; it must exist.
    child_process &process(const std::string &inName) { return mProcesses.at(inName); }
    bool has(const std::string &inName) const { return mProcesses.contains(inName); }

    /// Addresses at which callers reach the entry instances.
    std::vector<std::string> callerAddresses() const;
    std::string platformAddress() const { return mProcesses.at("platform").address("http"); }

    /// Kills a process (if it runs) and starts it again with the same name and ports.
    bool restart(const std::string &inName);

    /// Publishes a settings tree from a TOML text.
    bool publish(const std::string &inTree);
    /// The settings tree that start() publishes.
    std::string treeToml() const;

    /// Applies a proxy fault, such as {"fault":"cut"}, to links by name.
    bool fault(const std::vector<std::string> &inLinks, const std::string &inFaultJson);
    /// Ends the faults of all links.
    bool healAll();
    /// Links that cross the border of a failure domain; the platform is outside of all domains.
    std::vector<std::string> linksAcross(const std::string &inDomain) const;
    /// Cuts a failure domain off from the others and from the platform ("cut" or "freeze").
    bool cutDomain(const std::string &inDomain, const std::string &inFault = "cut");
    /// All links from and to a process.
    std::vector<std::string> linksOf(const std::string &inName) const;
    /// Name of the link from an entry instance to another process.
    static std::string sLinkName(const std::string &inFrom, const std::string &inTo);

    std::string domainOf(const std::string &inName) const;
    /// Names of processes that start with a prefix, such as "entry-", in order of their number.
    std::vector<std::string> names(const std::string &inPrefix) const;
    std::vector<std::string> ledgerFiles() const;
    std::string fileIn(const std::string &inName) const { return mOptions.folder + "/" + inName; }

    /// Drains the entry instances, then stops the stand-ins. Returns whether all entry instances
    /// ended with exit code 0.
    bool stop();

private:
    bool startStandins();
    bool startProxy();
    bool addLinks();
    bool startEntries();
    bool waitAllReady(const std::vector<std::string> &inNames);
    bool setEntryTargets(const std::string &inName);
    bool waitReadiness();
    bool listInstances();
    void launch(const std::string &inName, const std::string &inProgram,
                std::vector<std::string> inArguments);
    std::vector<std::string> standinArguments(const std::string &inName) const;
    std::string writeEntrySettings(const std::string &inName) const;
    std::vector<std::string> endpointNames() const;
    std::string addressFor(const std::string &inFrom, const std::string &inTo) const;
    bool fail(const std::string &inProblem);
    bool writeFile(const std::string &inName, const std::string &inText) const;

    fleet_options mOptions;
    deployment mDeployment;
    std::string mProblem;
    http_probe mProbe;
    std::map<std::string, child_process> mProcesses;
    std::map<std::string, std::vector<std::string>> mArguments;
    std::map<std::string, unsigned short> mLinkPorts;
    /// Ports of entry instances, which a restarted one takes again.
    std::map<std::string, std::map<std::string, unsigned short>> mEntryPorts;
};

} // namespace standins
