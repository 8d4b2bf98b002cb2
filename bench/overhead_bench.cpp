// Measures what an entry instance adds to a call: the same completion goes to the engine stand-in
// directly and through the instance, in turn, so that both see the same load of the machine.

#include "standins/fleet.h"
#include "standins/http_probe.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <string>
#include <vector>

using namespace corneltally;

namespace {

constexpr int cPairs = 2'000;
constexpr int cWarmUp = 50;
constexpr const char *cAdapter = "a0001";

standins::fleet_options benchFleet(const std::string &inBinaries)
{
    // One instance holds the whole rate of the account; tokens take no time at the engine.
    return {.binaries = inBinaries,
            .folder = inBinaries + "/overhead_run",
            .instances = 1,
            .engines = 1,
            .applications = 1,
            .enginesWithoutFencing = 0,
            .adapters = 3'000,
            .proxied = false,
            .engineArguments = {"--token-ms", "0", "--prefill-us", "0"}};
}

class measured_call
{
public:
    measured_call(unsigned short inPort, std::string inPath, std::string inModel,
                  http::header_list inHeaders)
        : mPort(inPort)
        , mPath(std::move(inPath))
        , mBody("{\"model\":\"" + inModel
                + R"(","messages":[{"role":"user","content":"hi"}],"max_tokens":1})")
        , mHeaders(std::move(inHeaders))
    {
        mHeaders.emplace_back("Content-Type", "application/json");
    }

    /// Makes one call; returns false if it was not answered with 200.
    bool call(bool inCounted)
    {
        const auto start = std::chrono::steady_clock::now();
        const http::response answer = mProbe.post(mPort, mPath, mBody, mHeaders);
        const auto took = std::chrono::steady_clock::now() - start;
        if (answer.status != 200) {
            mLastProblem = std::to_string(answer.status) + " " + answer.body;
            return false;
        }
        if (inCounted)
            mMilliseconds.push_back(std::chrono::duration<double, std::milli>(took).count());
        return true;
    }

    double percentile(double inShare)
    {
        std::ranges::sort(mMilliseconds);
        const auto last = static_cast<double>(mMilliseconds.size() - 1);
        return mMilliseconds[static_cast<std::size_t>(inShare * last)];
    }

    const std::string &lastProblem() const { return mLastProblem; }

private:
    standins::http_probe mProbe;
    unsigned short mPort;
    std::string mPath;
    std::string mBody;
    http::header_list mHeaders;
    std::vector<double> mMilliseconds;
    std::string mLastProblem;
};

/// Repeats a call until it succeeds, since the adapter has to be loaded and the rates to be filled.
bool warmUp(measured_call &ioCall)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(60);
    int succeeded = 0;
    while (succeeded < cWarmUp && std::chrono::steady_clock::now() < end)
        succeeded += ioCall.call(false) ? 1 : 0;
    return succeeded == cWarmUp;
}

} // namespace

int main(int inCount, char **inArguments)
{
    const std::string binaries = inCount > 1 ? inArguments[1] : "build";
    std::filesystem::remove_all(binaries + "/overhead_run");
    standins::fleet fleet(benchFleet(binaries));
    if (!fleet.start()) {
        std::printf("the fleet did not start: %s\n", fleet.problem().c_str());
        return 1;
    }
    const auto &calls = fleet.plan().calls();
    const auto chat
        = std::ranges::find(calls, standins::call_kind::chat, &standins::deployment_call::kind);
    const std::string version = standins::deployment::sAdapterVersion(1);
    measured_call direct(fleet.process("engine-1").port("http"), "/v1/chat/completions",
                         std::string(cAdapter) + "@" + version, {});
    measured_call through(fleet.process("entry-1").port("callers"), chat->path, cAdapter,
                          {{"Authorization", "Bearer " + fleet.plan().accounts().front().key}});
    if (!warmUp(through) || !warmUp(direct)) {
        std::printf("no answers: through the instance %s; direct %s\n",
                    through.lastProblem().c_str(), direct.lastProblem().c_str());
        return 1;
    }
    int failed = 0;
    for (int pair = 0; pair < cPairs; ++pair) {
        failed += direct.call(true) ? 0 : 1;
        failed += through.call(true) ? 0 : 1;
    }
    std::printf("%d pairs, %d calls not answered with 200\n", cPairs, failed);
    std::printf("%-22s %8s %8s %8s\n", "milliseconds", "p50", "p95", "p99");
    for (const auto &[name, call] :
         {std::pair("direct", &direct), std::pair("through the instance", &through)}) {
        std::printf("%-22s %8.3f %8.3f %8.3f\n", name, call->percentile(0.5),
                    call->percentile(0.95), call->percentile(0.99));
    }
    std::printf("%-22s %8.3f %8.3f %8.3f\n", "added",
                through.percentile(0.5) - direct.percentile(0.5),
                through.percentile(0.95) - direct.percentile(0.95),
                through.percentile(0.99) - direct.percentile(0.99));
    return failed == 0 ? 0 : 1;
}
