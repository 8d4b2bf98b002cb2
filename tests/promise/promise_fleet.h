#pragma once

#include "corneltally/http/client.h"
#include "standins/fleet.h"
#include "standins/ledger.h"
#include "standins/ledger_checker.h"

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include <nlohmann/json_fwd.hpp>

namespace promise {

/// What an entry instance answered a caller.
struct caller_answer
{
    corneltally::http::call_outcome outcome = corneltally::http::call_outcome::interrupted;
    int status = 0;
    std::string requestId;
    /// "not_run" or "unknown" if the answer was an error of the daemon.
    std::string run;
    std::string body;

    bool isComplete() const
    {
        return outcome == corneltally::http::call_outcome::completed && status == 200;
    }
    /// The caller was told, or can tell, that nothing ran.
    bool isNotRun() const
    {
        return outcome == corneltally::http::call_outcome::not_sent
            || (outcome == corneltally::http::call_outcome::completed && run == "not_run");
    }
};

/// A caller of one entry instance.
struct caller_request
{
    std::string address;
    std::string path;
    std::string key;
    std::string body;
    corneltally::http::header_list headers;
    std::chrono::milliseconds timeout = std::chrono::seconds(15);
    bool freshConnection = false;
};

caller_answer callEntry(standins::http_probe &ioProbe, const caller_request &inRequest);

/// A chat request for an adapter of the deployment, with a name that is unique for each call.
std::string chatBody(long long inAdapter, const std::string &inUser, int inTokens, bool inStream);

/// Waits for a condition; the limit only ends a wait that would fail.
bool waitFor(const std::function<bool()> &inCondition,
             std::chrono::milliseconds inLimit = std::chrono::seconds(30));

/// Seconds on a clock that only moves forward.
double monotonicSeconds();

/// Prints a fault that a test injects.
void inject(const std::string &inWhat);

/// Options of a load that runs beside the faults.
struct load_plan
{
    double callsPerSecond = 20;
    double seconds = 10;
    double drainSeconds = 30;
    double skew = 1.6;
    long long seed = 1;
    std::string heavyAccount;
    double heavyFactor = 1;
    /// Names of the entry instances that get the calls; all if empty.
    std::vector<std::string> targets;
    std::string ledgerName = "load.ledger";
};

/// A fleet of real processes behind the proxy, started for one test.
class promise_fleet
{
public:
    /// Starts the fleet; the test fails if that is not possible.
    promise_fleet(const std::string &inTest, standins::fleet_options inOptions);

    standins::fleet &processes() { return mFleet; }
    standins::http_probe &probe() { return mProbe; }
    std::string callers(const std::string &inEntry) { return process(inEntry).address("callers"); }
    standins::child_process &process(const std::string &inName) { return mFleet.process(inName); }
    const standins::deployment_account &account(std::size_t inIndex) const
    {
        return mFleet.plan().accounts().at(inIndex);
    }

    /// Sends a control command to a stand-in; the path names what is controlled.
    void control(const std::string &inProcess, const std::string &inPath,
                 const std::string &inJson);
    /// State of a service of an entry instance.
    nlohmann::json dump(const std::string &inEntry, const std::string &inService);
    /// Whether an instance reports that it is ready to serve.
    bool isReady(const std::string &inEntry);

    /// Publishes changes with the publish command; returns its exit code.
    int publish(const std::vector<std::string> &inArguments, const std::string &inPlatform = "");
    standins::child_process startPublish(const std::vector<std::string> &inArguments);

    standins::child_process startLoad(const load_plan &inPlan);
    /// Waits for the load to end and prints its table.
    std::string finishLoad(standins::child_process &ioLoad, const load_plan &inPlan);

    /// Lines of a kind in the ledger of a process.
    std::vector<nlohmann::json> facts(const std::string &inLedger, const std::string &inKind) const;
    /// Contradictions between all ledgers, printed one a line.
    std::vector<standins::violation> violations(const std::vector<std::string> &inLoadLedgers
                                                = {"load.ledger"});

private:
    standins::fleet mFleet;
    standins::http_probe mProbe;
    std::string mBinaries;
};

/// Messages of the violations of one guarantee.
std::vector<std::string> messagesOf(const std::vector<standins::violation> &inFound,
                                    const std::string &inGuarantee);

} // namespace promise
