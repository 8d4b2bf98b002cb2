#pragma once

#include "review/harness-2/call_record.h"
#include "standins/child_process.h"
#include "standins/http_probe.h"

#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

namespace review {

struct deployment_options
{
    /// Folder of the run, and the number in the third byte of the machines' loopback addresses.
    std::string folder;
    int subnet = 1;
    int machines = 4;
    int engines = 6;
    int applications = 3;
    /// Stand-in of the engines, and flags for all of them.
    std::string engineProgram = "standin_site_endpoint";
    std::vector<std::string> engineFlags;
};

/// A small deployment: machines that run the command of the deploy file, each at a loopback address
/// of its own, a store, engines and application endpoints. The settings are those that the template
/// of the deploy file gives for a site with four machines in three zones.
class deployment
{
public:
    explicit deployment(deployment_options inOptions);

    /// Starts everything and waits until all machines say that they are ready.
    bool start();

    nlohmann::json &configuration() { return mConfiguration; }

    void startMachine(int inMachine);
    /// Kills a machine's process at once.
    void killMachine(int inMachine);
    bool isRunning(int inMachine) const { return mMachines.contains(inMachine); }
    /// When the process of a machine was started last.
    steady::time_point startedAt(int inMachine) const { return mStartedAt.at(inMachine); }
    /// Whether the process of a machine has run for so long.
    bool hasRunFor(int inMachine, steady::duration inTime, steady::time_point inNow) const;

    /// Names of the endpoints that have ended by themselves.
    std::vector<std::string> endedEndpoints();
    bool startEndpoint(const std::string &inName);

    std::string addressOf(int inMachine) const;
    unsigned short callerPort() const { return mPorts[0]; }

    /// Facts of a kind that the endpoints wrote.
    std::vector<nlohmann::json> facts(const std::string &inKind) const;

    static constexpr const char *cHost = "shop.example";
    static constexpr const char *cKey = "key-harbour";
    static constexpr const char *cModel = "base";

private:
    bool startProcess(const std::string &inName, const std::string &inProgram,
                      std::vector<std::string> inArguments);
    bool publish();
    bool isReady(int inMachine);
    std::string writeSettings(int inMachine) const;
    std::string fileIn(const std::string &inName) const { return mOptions.folder + "/" + inName; }

    deployment_options mOptions;
    nlohmann::json mConfiguration;
    standins::http_probe mProbe;
    std::map<std::string, std::unique_ptr<standins::child_process>> mEndpoints;
    std::map<int, std::unique_ptr<standins::child_process>> mMachines;
    std::map<int, steady::time_point> mStartedAt;
    /// Ports of callers, operators and peers, the same on all machines.
    std::vector<unsigned short> mPorts;
};

/// Value of a variable of the environment that turns the disruption of a case off.
bool hasTrouble();

} // namespace review
