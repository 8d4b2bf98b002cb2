// Randomized fault soak: real instances, store and endpoints as separate processes, faults from
// outside, and the promises checked from what callers and endpoints saw. Prints a table.

#include "bench/soak_calls.h"
#include "bench/soak_checks.h"
#include "standins/flag_parser.h"
#include "standins/ledger.h"
#include "standins/site.h"

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace {

using namespace std::chrono_literals;
using corneltally::bench::call_kind;
using corneltally::bench::soak_callers;
using corneltally::bench::soak_facts;
using nlohmann::json;
using standins::site;
using steady = std::chrono::steady_clock;

struct soak_options
{
    long long seed = 1;
    double seconds = 20;
    long long instances = 4;
    long long engines = 4;
    long long applications = 3;
    long long callers = 10;
    long long atOnce = 1;
    std::string binaries;
    std::string folder;
    std::string breaks;
};

/// Time that instances have to serve all kinds again once all faults have ended: take-over of
/// engines, restarts, and lapsed entries.
constexpr auto cRecovery = 30s;
/// Longest time of a call.
constexpr auto cCallTime = 3s;

/// Faults that begin at random and end by themselves.
class soak_run
{
public:
    soak_run(const soak_options &inOptions, site &ioFleet, soak_callers &ioCallers)
        : mOptions(inOptions)
        , mFleet(ioFleet)
        , mCallers(ioCallers)
        , mRandom(static_cast<std::uint64_t>(inOptions.seed))
    { }

    void injectFaults()
    {
        const auto end = steady::now()
            + std::chrono::duration_cast<steady::duration>(
                             std::chrono::duration<double>(mOptions.seconds));
        // Early enough for its bound to pass in short runs.
        later(std::chrono::milliseconds(500 + pick(3000)), [this] { evacuate(); });
        while (steady::now() < end) {
            // Those that are under way have ended when the faults do.
            if (end - steady::now() < cCallTime)
                mCallers.setDeadlyCalls(corneltally::bench::deadly_calls::none);
            begin();
            const auto next = steady::now() + std::chrono::milliseconds(150 + pick(900));
            while (steady::now() < next) {
                finishDue(steady::now());
                reviveEngines();
                std::this_thread::sleep_for(20ms);
            }
        }
        finishDue(steady::time_point::max());
        mFleet.linkFault({}, "heal");
        for (const std::string &name : mFleet.names("edge-")) {
            if (!mFleet.process(name).isRunning())
                restart(name);
        }
        for (const std::string &name : mFleet.names("engine-")) {
            if (!mFleet.process(name).isRunning())
                restartEndpoint(name);
        }
    }

    const std::map<std::string, int> &injected() const { return mInjected; }
    const std::map<std::string, double> &withdrawn() const { return mWithdrawn; }
    const std::vector<corneltally::bench::soak_evacuation> &evacuations() const
    {
        return mEvacuations;
    }
    const std::map<std::string, std::vector<corneltally::bench::soak_interval>> &
    storeOutages() const
    {
        return mStoreOutages;
    }
    const std::vector<std::string> &unexpected() const { return mUnexpected; }
    const std::map<std::string, std::vector<double>> &starts() const { return mStarts; }
    const std::map<std::string, std::vector<double>> &kills() const { return mKills; }
    /// Targets of callers: all instances at their current addresses.
    static std::vector<corneltally::bench::soak_target> sTargets(site &ioFleet)
    {
        std::vector<corneltally::bench::soak_target> targets;
        for (const std::string &name : ioFleet.names("edge-"))
            targets.push_back({name, {"127.0.0.1", ioFleet.process(name).port("callers")}});
        return targets;
    }

private:
    std::size_t pick(std::size_t inCount) { return mRandom() % inCount; }

    std::string pickName(const std::string &inPrefix)
    {
        const std::vector<std::string> names = mFleet.names(inPrefix);
        return names[pick(names.size())];
    }

    void later(std::chrono::milliseconds inAfter, std::function<void()> inEnd)
    {
        mEnds.emplace(steady::now() + inAfter, std::move(inEnd));
    }

    void finishDue(steady::time_point inNow)
    {
        while (!mEnds.empty() && mEnds.begin()->first <= inNow) {
            const std::function<void()> end = std::move(mEnds.begin()->second);
            mEnds.erase(mEnds.begin());
            end();
        }
    }

    void restart(const std::string &inName)
    {
        mStarts[inName].push_back(standins::wallSeconds());
        if (!mFleet.restart(inName))
            mUnexpected.push_back(inName + " did not start again");
        mCallers.setTargets(sTargets(mFleet));
        mBusy.erase(inName);
    }

    void restartEndpoint(const std::string &inName)
    {
        mFleet.restart(inName);
        mDown.erase(inName);
    }

    /// Starts engines again that a request has ended.
    void reviveEngines()
    {
        for (const std::string &name : mFleet.names("engine-")) {
            if (mFleet.process(name).isRunning() || !mDown.insert(name).second)
                continue;
            note("engine ended by a request");
            later(300ms, [this, name] { restartEndpoint(name); });
        }
    }

    void begin()
    {
        const std::string instance = pickName("edge-");
        const std::string endpoint = pickName(pick(2) == 0 ? "engine-" : "app-");
        const std::chrono::milliseconds length(200 + pick(3500));
        switch (pick(17)) {
        case 0:
            stopInstance(
                instance, "killed",
                [this, instance] {
                    mKills[instance].push_back(standins::wallSeconds());
                    mFleet.process(instance).kill();
                },
                length);
            break;
        case 1:
            stopInstance(
                instance, "SIGTERM",
                [this, instance] {
                    if (mFleet.process(instance).terminate(12s) != 0)
                        mUnexpected.push_back(instance + " did not end with 0 after SIGTERM");
                },
                300ms);
            break;
        case 2:
            if (!mBusy.insert(instance).second)
                return;
            note("paused");
            mFleet.process(instance).pause();
            later(length, [this, instance] {
                mFleet.process(instance).resume();
                mBusy.erase(instance);
            });
            break;
        case 3:
            note("endpoint killed");
            mDown.insert(endpoint);
            mFleet.process(endpoint).kill();
            later(length, [this, endpoint] { restartEndpoint(endpoint); });
            break;
        case 4:
        case 5: {
            const std::vector<std::string> faults{"lose", "fail", "cut", "refuse"};
            const std::string &fault = faults[pick(faults.size())];
            note("endpoint: " + fault);
            if (mFleet.process(endpoint).isRunning())
                mFleet.setFaults(endpoint, {{fault, 1 + pick(10)}});
            break;
        }
        case 6:
            note("orders late");
            if (const std::string engine = pickName("engine-"); mFleet.process(engine).isRunning())
                mFleet.setFaults(engine, {{"late_orders", 1 + pick(2)}});
            break;
        case 7: {
            const std::vector<std::string> modes{"busy", "silent", "reset"};
            note("store away");
            mFleet.setFaults("store", {{"mode", modes[pick(modes.size())]}});
            later(length, [this, outage = addOutage("")] {
                mFleet.setFaults("store", {{"mode", "none"}});
                endOutage("", outage);
            });
            break;
        }
        case 8:
            note("store loses or delays answers, forgets history");
            mFleet.setFaults("store",
                             {{"lose", pick(3)}, {"late", pick(2)}, {"forget", pick(2) == 0}});
            break;
        case 9:
            linkFault({endpoint}, length);
            break;
        case 10:
            linkFault({instance + ">store"}, length);
            later(length,
                  [this, instance, outage = addOutage(instance)] { endOutage(instance, outage); });
            break;
        case 11:
            changeKey();
            break;
        case 12:
            note("endpoint says that it leaves");
            if (!mFleet.process(endpoint).isRunning())
                return;
            mFleet.setFaults(endpoint, {{"say_leaving", true}});
            later(length, [this, endpoint] { restartEndpoint(endpoint); });
            break;
        case 13:
            note("endpoint asks for pauses");
            if (!mFleet.process(endpoint).isRunning())
                return;
            mFleet.setFaults(endpoint, {{"pause_ms", 200 + pick(2500)}});
            later(length, [this, endpoint] {
                if (mFleet.process(endpoint).isRunning())
                    mFleet.setFaults(endpoint, {{"pause_ms", 0}});
            });
            break;
        case 14:
            evacuate();
            break;
        case 15:
            restoreStore();
            break;
        default:
            note("version named, reload");
            mFleet.nameVersion("a" + std::to_string(pick(4)), ++mAdapterVersion);
            if (!mBusy.contains(instance))
                mFleet.process(instance).signal(SIGHUP);
        }
    }

    /// The store comes back from an older copy; later the operator writes again what it lacks.
    void restoreStore()
    {
        note("store restored from an older copy");
        const std::chrono::milliseconds age(500 + pick(6000));
        const std::chrono::milliseconds away(50 + pick(600));
        const std::chrono::milliseconds rewrite(100 + pick(1500));
        mFleet.restoreStore(age, away, rewrite);
        later(away + rewrite, [this, outage = addOutage("")] { endOutage("", outage); });
    }

    /// Evacuates a failure domain for a time that exceeds the bound.
    void evacuate()
    {
        const std::vector<std::string> &domains = mFleet.options().failureDomains;
        const std::string domain = domains[pick(domains.size())];
        const std::chrono::milliseconds length(static_cast<int>(cEvacuationBound * 1000) + 500
                                               + pick(3000));
        if (!mEvacuated.insert(domain).second)
            return;
        note("failure domain evacuated");
        // With the guard turned off no instance takes the record for one of this failure domain.
        const std::string written = mOptions.breaks == "evacuation" ? domain + "-no" : domain;
        mFleet.evacuate(written);
        const std::size_t index = mEvacuations.size();
        mEvacuations.push_back({domain, {standins::wallSeconds(), cNever}});
        later(length, [this, domain, written, index] {
            mEvacuations[index].time.until = standins::wallSeconds();
            mFleet.evacuate(written, false);
            mEvacuated.erase(domain);
        });
    }

    std::size_t addOutage(const std::string &inInstance)
    {
        mStoreOutages[inInstance].push_back({standins::wallSeconds(), cNever});
        return mStoreOutages[inInstance].size() - 1;
    }

    void endOutage(const std::string &inInstance, std::size_t inIndex)
    {
        mStoreOutages[inInstance][inIndex].until = standins::wallSeconds();
    }

    void note(const std::string &inFault) { ++mInjected[inFault]; }

    void stopInstance(const std::string &inName, const std::string &inFault,
                      const std::function<void()> &inStop, std::chrono::milliseconds inDown)
    {
        if (!mBusy.insert(inName).second)
            return;
        if (!mFleet.process(inName).isRunning())
            mUnexpected.push_back(inName + " had ended by itself");
        note(inFault);
        inStop();
        later(inDown, [this, inName] { restart(inName); });
    }

    void linkFault(const std::vector<std::string> &inLinks, std::chrono::milliseconds inLength)
    {
        const std::vector<std::string> faults{"cut", "freeze", "half_open", "delay"};
        const std::string &fault = faults[pick(faults.size())];
        note("link: " + fault);
        json more{{"delay_ms", 20 + pick(150)}};
        if (pick(2) == 0)
            more["direction"] = pick(2) == 0 ? "forward" : "backward";
        mFleet.linkFault(inLinks, fault, more);
        later(inLength, [this, inLinks] { mFleet.linkFault(inLinks, "heal"); });
    }

    /// Adds a key to an account and, once it is in force, withdraws the former one.
    void changeKey()
    {
        if (mKeyChanging)
            return;
        mKeyChanging = true;
        note("key withdrawn");
        const std::size_t index = pick(2);
        json &account = mFleet.configuration()["tenants"][index];
        const std::string name = account["name"];
        const std::string former = account["api-keys"][0];
        const std::string next = name + "-" + std::to_string(++mKeys);
        account["api-keys"] = {former, next};
        mFleet.publish();
        later(std::chrono::milliseconds(static_cast<int>(cConfigurationBound * 1000)),
              [this, index, name, former, next] {
                  mCallers.setKey(name, next);
                  later(3s, [this, index, former, next] {
                      mWithdrawn[former] = standins::wallSeconds();
                      mFleet.configuration()["tenants"][index]["api-keys"] = {next};
                      mFleet.publish();
                      mKeyChanging = false;
                  });
              });
    }

public:
    /// The operator's bound of 2 s and that of an unstable store, 5 s.
    static constexpr double cConfigurationBound = 7;
    /// Bound of evacuations in the settings.
    static constexpr double cEvacuationBound = 5;

private:
    const soak_options &mOptions;
    site &mFleet;
    soak_callers &mCallers;
    std::mt19937_64 mRandom;
    std::multimap<steady::time_point, std::function<void()>> mEnds;
    std::set<std::string> mBusy;
    std::map<std::string, int> mInjected;
    std::map<std::string, double> mWithdrawn;
    std::vector<std::string> mUnexpected;
    std::map<std::string, std::vector<double>> mStarts;
    std::map<std::string, std::vector<double>> mKills;
    /// Endpoints that are to be started again.
    std::set<std::string> mDown;
    static constexpr double cNever = 1e12;
    std::set<std::string> mEvacuated;
    std::vector<corneltally::bench::soak_evacuation> mEvacuations;
    std::map<std::string, std::vector<corneltally::bench::soak_interval>> mStoreOutages;
    std::uint64_t mAdapterVersion = 1;
    int mKeys = 0;
    bool mKeyChanging = false;
};

bool servesAll(const soak_callers &inCallers)
{
    std::array<int, 4> before{};
    const std::array kinds{call_kind::look, call_kind::order, call_kind::chat,
                           call_kind::resumable};
    for (std::size_t index = 0; index < kinds.size(); ++index)
        before[index] = inCallers.served(kinds[index]);
    return site::waitFor(
        [&] {
            return std::ranges::all_of(kinds, [&](call_kind inKind) {
                return inCallers.served(inKind) > before[static_cast<std::size_t>(inKind)] + 10;
            });
        },
        cRecovery);
}

/// Seconds since 1970 of a time such as "2026-01-02T03:04:05.678Z".
double wallTime(const std::string &inText)
{
    std::tm parts{};
    const char *rest = strptime(inText.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
    return rest == nullptr ? 0 : static_cast<double>(timegm(&parts)) + std::atof(rest);
}

/// What endpoints said about further requests, from the logs of the instances that read it.
std::vector<corneltally::bench::soak_notice> noticesOf(const site &inFleet)
{
    std::vector<corneltally::bench::soak_notice> notices;
    for (const std::string &name : inFleet.names("edge-")) {
        for (const json &line : inFleet.logOf(name)) {
            if (line.value("event", "") != "endpoint_notice")
                continue;
            notices.push_back({.instance = name,
                               .endpoint = line.at("endpoint"),
                               .startedMs = line.at("started_ms"),
                               .at = wallTime(line.at("time")),
                               .pause = line.value("pause_ms", 0.0) / 1000,
                               .leaving = line.at("leaving")});
        }
    }
    return notices;
}

std::map<std::string, std::string> domainsOf(const site &inFleet)
{
    std::map<std::string, std::string> domains;
    for (const char *prefix : {"engine-", "app-"}) {
        for (const std::string &name : inFleet.names(prefix))
            domains[name] = inFleet.domainOf(name);
    }
    return domains;
}

int runSoak(const soak_options &inOptions)
{
    standins::site_options options{.binaries = inOptions.binaries,
                                   .folder = inOptions.folder,
                                   .instances = static_cast<int>(inOptions.instances),
                                   .engines = static_cast<int>(inOptions.engines),
                                   .applications = static_cast<int>(inOptions.applications),
                                   .proxied = true,
                                   .oneMachine = inOptions.breaks == "machine",
                                   .evacuateMs
                                   = static_cast<int>(soak_run::cEvacuationBound * 1000)};
    site fleet(options);
    if (!fleet.start()) {
        std::printf("the fleet did not start, see %s\n", inOptions.folder.c_str());
        return 1;
    }
    soak_callers callers(static_cast<std::uint64_t>(inOptions.seed),
                         static_cast<int>(inOptions.callers), static_cast<int>(inOptions.atOnce));
    for (const json &account : fleet.configuration().at("tenants"))
        callers.setKey(account.at("name"), account.at("api-keys").at(0));
    soak_run run(inOptions, fleet, callers);
    callers.setTargets(soak_run::sTargets(fleet));
    callers.setDeadlyCalls(inOptions.breaks == "identity"
                               ? corneltally::bench::deadly_calls::all_different
                               : corneltally::bench::deadly_calls::repeated);
    run.injectFaults();
    const bool recovered = servesAll(callers);
    callers.stop();
    soak_facts facts{.calls = callers.takeCalls(),
                     .runs = fleet.facts("run"),
                     .refused = fleet.facts("refused"),
                     .notices = noticesOf(fleet),
                     .starts = run.starts(),
                     .kills = run.kills(),
                     .orders = fleet.facts("order"),
                     .evacuations = run.evacuations(),
                     .domains = domainsOf(fleet),
                     .storeOutages = run.storeOutages(),
                     .evacuationBound = soak_run::cEvacuationBound,
                     .overfull = fleet.facts("overfull"),
                     .withdrawn = run.withdrawn(),
                     .configurationBound = soak_run::cConfigurationBound,
                     .holderPause = 3.0};
    auto verdict = corneltally::bench::checkSoak(facts);
    ++verdict.checked["served again after all faults"];
    if (!recovered)
        verdict.violations.emplace_back("served again after all faults: not within 30 s");
    for (const std::string &what : run.unexpected())
        verdict.violations.push_back("ends: " + what);
    const auto served = std::ranges::count_if(
        facts.calls, [](const auto &inCall) { return inCall.complete && inCall.status == 200; });
    std::printf("seed %lld, %.0f s, %zu calls, %td served, %zu runs, %zu orders\n", inOptions.seed,
                inOptions.seconds, facts.calls.size(), served, facts.runs.size(),
                facts.orders.size());
    for (const auto &[fault, count] : run.injected())
        std::printf("  fault %-50s %d\n", fault.c_str(), count);
    for (const auto &[promise, count] : verdict.checked)
        std::printf("  checked %-48s %lld\n", promise.c_str(), count);
    for (const std::string &violation : verdict.violations)
        std::printf("VIOLATION %s\n", violation.c_str());
    std::printf("seed %lld: %zu violations\n", inOptions.seed, verdict.violations.size());
    return verdict.violations.empty() ? 0 : 1;
}

} // namespace

int main(int inCount, char **inArguments)
{
    soak_options options;
    standins::flag_parser flags("fault soak of forwarding instances");
    flags.add("seed", "seed of faults and calls", options.seed);
    flags.add("seconds", "time with faults", options.seconds);
    flags.add("instances", "forwarding instances", options.instances);
    flags.add("engines", "engines", options.engines);
    flags.add("applications", "plain endpoints", options.applications);
    flags.add("callers", "callers, a thread each", options.callers);
    flags.add("at-once", "calls that some callers send without waiting for answers",
              options.atOnce);
    flags.add("binaries", "folder with the built programs", options.binaries);
    flags.add("folder", "folder of the run", options.folder);
    flags.add("break",
              "turns a guard off, to see that it is missed: machine, identity or evacuation",
              options.breaks);
    return flags.parse(inCount, inArguments) ? runSoak(options) : 2;
}
