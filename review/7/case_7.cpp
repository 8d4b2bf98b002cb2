// Case 7: requests with a part that crashes engines reach engines again and again if all processes
// are killed at the same moment, since what is in quarantine is kept in their memory alone.

#include "review/harness-2/deployment.h"
#include "review/harness-2/open_caller.h"

#include <algorithm>
#include <cstddef>
#include <cstdio>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using review::caller_call;
using review::steady;

/// Bounds of the rule and of the disruption, as claim.txt quotes them.
constexpr auto cStable = 3000ms;
constexpr int cAllowedAfter = 3;
constexpr std::size_t cCrashes = 5;
constexpr auto cDown = 1s;
constexpr auto cEngineDown = 2s;

constexpr int cMachines = 4;
constexpr auto cWarmUp = 4s;
constexpr auto cSoundPeriod = 60ms;
constexpr auto cDeadlyPeriod = 4s;
/// When all processes are killed, after the start of the traffic.
const std::vector<steady::duration> cKills{20'500ms, 44'500ms, 68'500ms};
constexpr auto cLength = 88s;
constexpr int cEvents = 13;

class quarantine_case
{
public:
    quarantine_case(const std::string &inFolder, const std::string &inRecord)
        : mRecord(inRecord)
        , mSite({.folder = inFolder,
                 .subnet = 7,
                 .machines = cMachines,
                 .engines = 6,
                 .applications = 1,
                 .engineFlags = {"--events", std::to_string(cEvents), "--event-ms", "40"}})
        , mCallers(review::deployment::cHost)
    { }

    int run()
    {
        if (!mSite.start())
            return 2;
        mCallers.run(steady::now() + cWarmUp);
        mStart = steady::now();
        mRecord.note("traffic starts");
        std::vector<steady::duration> kills;
        if (review::hasTrouble())
            kills = cKills;
        auto nextSound = mStart;
        auto nextDeadly = mStart + 1s;
        std::size_t kill = 0;
        std::optional<steady::time_point> backAt;
        while (steady::now() < mStart + cLength) {
            mCallers.run(steady::now() + 2ms);
            const auto now = steady::now();
            for (; now >= nextSound; nextSound += cSoundPeriod)
                send(false);
            for (; now >= nextDeadly; nextDeadly += cDeadlyPeriod)
                send(true);
            if (kill < kills.size() && now >= mStart + kills[kill]) {
                ++kill;
                backAt = now + cDown;
                mRecord.note("herd_kill: all machines");
                for (int machine = 1; machine <= cMachines; ++machine)
                    mSite.killMachine(machine);
            }
            if (backAt && now >= *backAt) {
                backAt.reset();
                for (int machine = 1; machine <= cMachines; ++machine)
                    mSite.startMachine(machine);
                mRecord.note("all machines start again");
            }
            reviveEngines(now);
        }
        mCallers.run(steady::now() + 1s);
        return judge();
    }

private:
    void send(bool inDeadly)
    {
        const int machine = 1 + static_cast<int>(mSent++ % cMachines);
        const std::string number = std::to_string(mSent);
        const std::string id = (inDeadly ? "deadly-" : "sound-") + number;
        std::string parts = "c0ffee:40,ca11e4:40";
        if (inDeadly) {
            parts += ",dead:40";
            if (mSite.isRunning(machine) && mSite.hasRunFor(machine, cStable, steady::now()))
                mByMachineInTouch.insert(id);
        }
        mCallers.send(
            {.id = id,
             .method = "POST",
             .path = "/spec-review/" + number,
             .key = review::deployment::cKey,
             .model = std::string(review::deployment::cModel) + "/a" + std::to_string(mSent % 6),
             .tokens = "130,52",
             .parts = parts + "," + "5e" + std::to_string(100'000 + mSent) + ":50",
             .body = "prompt " + number,
             .patience = 3000ms},
            machine, mSite.addressOf(machine), mSite.callerPort());
    }

    /// Engines that a deadly part has ended are back after some seconds.
    void reviveEngines(steady::time_point inNow)
    {
        for (const std::string &name : mSite.endedEndpoints()) {
            const auto [known, isNew] = mEnded.try_emplace(name, inNow);
            if (isNew)
                mRecord.note("crash: " + name);
            if (inNow - known->second < cEngineDown)
                continue;
            mEnded.erase(known);
            mSite.startEndpoint(name);
        }
    }

    int judge()
    {
        std::map<std::string, const caller_call *> calls;
        for (const caller_call &call : mCallers.calls()) {
            calls[call.request.id] = &call;
            mRecord.noteAt(call.sentAt,
                           "sent " + call.request.id + " to machine " + std::to_string(call.machine)
                               + ": " + std::to_string(call.status)
                               + (call.complete ? " complete" : " not complete"));
        }
        // A deadly request ends its engine as soon as that begins to answer, so that each run is a
        // crash. The runs are in the order of the ledger.
        std::vector<const caller_call *> runs;
        for (const json &run : mSite.facts("run")) {
            const auto call = calls.find(run.value("request", ""));
            if (!run.value("deadly", false) || call == calls.end())
                continue;
            runs.push_back(call->second);
            mRecord.noteAt(call->second->sentAt,
                           "ran " + call->first + " at " + run.value("process", "") + ", crash "
                               + std::to_string(runs.size()));
        }
        int late = 0;
        for (const caller_call *call : runs) {
            if (runs.size() < cCrashes || call->sentAt <= runs[cCrashes - 1]->sentAt + cStable)
                continue;
            late += mByMachineInTouch.contains(call->request.id) ? 1 : 0;
        }
        const auto lost = std::ranges::count_if(mCallers.calls(), [&](const caller_call &inCall) {
            return inCall.request.id.starts_with("sound") && inCall.status == 200
                && !inCall.complete && runs.size() >= cCrashes
                && inCall.sentAt > runs[cCrashes - 1]->sentAt;
        });
        const std::string result = std::to_string(runs.size())
            + " requests with the part reached engines, " + std::to_string(late)
            + " of them sent by machines in touch later than 3 s after the fifth crash (3 are "
              "allowed); sound answers cut after the fifth crash: "
            + std::to_string(lost);
        mRecord.note(result);
        std::puts(result.c_str());
        return late > cAllowedAfter ? 1 : 0;
    }

    review::call_record mRecord;
    review::deployment mSite;
    review::open_caller mCallers;
    steady::time_point mStart;
    std::size_t mSent = 0;
    std::set<std::string> mByMachineInTouch;
    std::map<std::string, steady::time_point> mEnded;
};

} // namespace

int main(int inCount, char **inArguments)
{
    if (inCount != 3)
        return 2;
    return quarantine_case(inArguments[1], inArguments[2]).run();
}
