#pragma once

#include "standins/child_process.h"
#include "standins/http_probe.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace standins {

struct site_options
{
    /// Folder with the built programs, and the folder of the run.
    std::string binaries;
    std::string folder;
    int instances = 2;
    int engines = 2;
    int applications = 2;
    std::vector<std::string> failureDomains{"north", "south"};
    /// Flags for all engines and applications beside those that name them.
    std::vector<std::string> engineFlags;
    std::vector<std::string> applicationFlags;
    /// Endpoints and the store are reached through links of the fault-injecting proxy.
    bool proxied = false;
    /// All instances claim to run on one machine, which turns off what keeps holders apart.
    bool oneMachine = false;
    /// Time between SIGTERM and the end of an instance by force.
    int stopMs = 6000;
    /// Lines at the end of the settings files of the instances.
    std::string moreSettings;
    /// Bound of evacuations in the settings of the instances; zero for none.
    int evacuateMs = 0;
};

/// Starts and stops the processes of a platform with forwarding instances: the store, endpoints,
/// the proxy and the instances, by names such as "store", "engine-1", "app-1" and "edge-1". Links
/// of the proxy are named "engine-1", "app-1" and "edge-1>store".
class site
{
public:
    explicit site(site_options inOptions);
    ~site();
    site(const site &) = delete;
    site &operator=(const site &) = delete;

    /// Starts everything and waits until all instances are ready.
    bool start();

    child_process &process(const std::string &inName) { return *mProcesses.at(inName); }
    /// Names with a prefix, in order.
    std::vector<std::string> names(const std::string &inPrefix) const;

    /// Starts a process again with the same arguments, after it ended in whatever way. Endpoints
    /// get a new port, or keep their link.
    bool restart(const std::string &inName);

    /// The configuration that the operator puts; change it and call publish().
    nlohmann::json &configuration() { return mConfiguration; }
    /// Puts the configuration with the next version.
    bool publish();
    bool nameVersion(const std::string &inAdapter, std::uint64_t inVersion);

    /// Writes or deletes the record that evacuates a failure domain. Returns once the store has
    /// acknowledged it.
    bool evacuate(const std::string &inFailureDomain, bool inEvacuated = true);

    /// Brings the store back from a copy that is so old, after it was out of reach for a time. The
    /// operator writes again what is lost after another time.
    bool restoreStore(std::chrono::milliseconds inAge, std::chrono::milliseconds inAway,
                      std::chrono::milliseconds inRewrite);

    bool setFaults(const std::string &inName, const nlohmann::json &inFaults);
    /// A fault of links of the proxy; without names, of all.
    bool linkFault(const std::vector<std::string> &inLinks, const std::string &inFault,
                   const nlohmann::json &inMore = nlohmann::json::object());

    /// Waits until an instance says that it is ready, or that it is not.
    bool waitReady(const std::string &inInstance, bool inReady = true);
    bool isReady(const std::string &inInstance);
    /// Waits until an instance knows for each engine a holder that may give orders and is not the
    /// one named.
    bool waitHolders(const std::string &inInstance, const std::string &inNot = {},
                     std::chrono::milliseconds inLimit = std::chrono::seconds(30));
    static bool waitFor(const std::function<bool()> &inCondition,
                        std::chrono::milliseconds inLimit = std::chrono::seconds(30));

    /// Failure domain of a process.
    std::string domainOf(const std::string &inName) const;

    /// Facts of the ledger of a kind.
    std::vector<nlohmann::json> facts(const std::string &inKind) const;
    /// Lines that a process has logged since the first start, each an object.
    std::vector<nlohmann::json> logOf(const std::string &inName) const;

    std::string fileIn(const std::string &inName) const { return mOptions.folder + "/" + inName; }
    const site_options &options() const { return mOptions; }
    http_probe &probe() { return mProbe; }

    static constexpr const char *cHost = "shop.example";
    static constexpr const char *cModel = "base";

private:
    std::vector<nlohmann::json> linesOf(const std::string &inFile) const;
    bool startProxy();
    bool startEndpoint(const std::string &inName);
    bool startInstance(const std::string &inName);
    bool startProcess(const std::string &inName, const std::string &inProgram,
                      std::vector<std::string> inArguments);
    bool setLink(const std::string &inLink, const std::string &inTarget);
    std::string linkAddress(const std::string &inLink);

    site_options mOptions;
    nlohmann::json mConfiguration;
    std::uint64_t mVersion = 0;
    http_probe mProbe;
    std::map<std::string, std::unique_ptr<child_process>> mProcesses;
    std::map<std::string, unsigned short> mLinkPorts;
};

} // namespace standins
