#pragma once

#include "standins/fleet.h"
#include "standins/ledger.h"
#include "standins/ledger_checker.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace chaos {

/// A fleet of deployment S under load, with commands for faults that leave facts in a ledger, and
/// the final comparison of all ledgers.
class chaos_fleet
{
public:
    chaos_fleet(const std::string &inBinaries, const std::string &inFolder,
                const std::string &inBrokenGuard);

    /// Starts the fleet and the load.
    bool start(long long inSeed, double inSeconds, double inCallsPerSecond);

    standins::fleet &processes() { return mFleet; }

    /// Marks the time of a fault, for the table.
    void begin(const std::string &inFault, const std::string &inTarget);
    void end();

    /// Notes a problem of the run itself, which then does not pass.
    void check(bool inHolds, const std::string &inProblem);

    void control(const std::string &inProcess, const std::string &inPath,
                 const std::string &inJson);
    void withdrawKey(const std::string &inAccount);
    void setLeaving(const std::vector<std::string> &inEndpoints, bool inLeaving);
    /// Lets operators change one node at the same time.
    void raceOperators(int inCount);

    /// Ends faults and load, prints the table and returns whether nothing was violated.
    bool finish();

private:
    struct phase
    {
        std::string fault;
        std::string target;
        double start = 0;
        double end = 0;
    };
    struct call
    {
        double sent = 0;
        bool completed = false;
        bool overRate = false;
        bool withdrawn = false;
    };

    bool publish(const std::vector<std::string> &inArguments);
    standins::child_process startPublish(const std::vector<std::string> &inArguments);
    long long versionInForce(const std::string &inEntry);
    /// A last change must be in force everywhere within the time that section 2.1 of the design
    /// page gives.
    void checkSettings();
    std::vector<call> readCalls() const;
    void printPhases() const;
    bool printViolations();

    standins::fleet mFleet;
    standins::http_probe mProbe;
    std::string mBinaries;
    std::unique_ptr<standins::ledger> mFacts;
    std::optional<standins::child_process> mLoad;
    double mLoadSeconds = 0;
    double mLoadStart = 0;
    std::vector<phase> mPhases;
    std::vector<std::string> mProblems;
    std::vector<standins::violation> mViolations;
    std::map<std::string, double> mWithdrawn;
};

} // namespace chaos
