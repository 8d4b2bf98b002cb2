// Guards against keys that work after their withdrawal and against settings that are late, differ
// between instances or revert.

#include "corneltally/core/digest.h"
#include "tests/promise/promise_fleet.h"
#include "tests/promise/stream_watch.h"

#include <atomic>
#include <cstdio>
#include <map>
#include <memory>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace promise;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

/// Time within which a change is in force everywhere, from section 2.1 of the design page.
constexpr double cInForceSeconds = 3;

standins::fleet_options settingsFleet()
{
    return {.engines = 3, .applications = 1, .enginesWithoutFencing = 0, .adapters = 10};
}

/// Repeats a cheap call at one instance on one connection and keeps status and time of sending.
class poller
{
public:
    struct sample
    {
        double sent = 0;
        int status = 0;
    };

    explicit poller(caller_request inRequest)
        : mThread([this, request = std::move(inRequest)] { run(request); })
    { }
    ~poller() { stop(); }

    std::vector<sample> samples() const
    {
        const std::lock_guard lock(mMutex);
        return mSamples;
    }
    void stop()
    {
        mStop = true;
        if (mThread.joinable())
            mThread.join();
    }

private:
    void run(const caller_request &inRequest)
    {
        standins::http_probe probe;
        while (!mStop) {
            const double sent = standins::wallSeconds();
            const caller_answer answer = callEntry(probe, inRequest);
            {
                const std::lock_guard lock(mMutex);
                mSamples.push_back({sent, answer.status});
            }
            std::this_thread::sleep_for(20ms);
        }
    }

    mutable std::mutex mMutex;
    std::vector<sample> mSamples;
    std::atomic<bool> mStop = false;
    std::thread mThread;
};

caller_request stockRequest(const std::string &inAddress, const std::string &inKey,
                            const std::string &inPath = "/stock")
{
    return {.address = inAddress,
            .path = inPath,
            .key = inKey,
            .body = R"({"item":"nails"})",
            .timeout = 10s};
}

/// Wall-clock time at which the last settings record was accepted by the log.
double lastAppendTime(const promise_fleet &inFleet)
{
    double last = 0;
    for (const json &fact : inFleet.facts("platform.ledger", "append")) {
        if (fact.value("stream", std::string()) == "settings")
            last = std::max(last, fact.value("time", 0.0));
    }
    return last;
}

/// First time at which a poller got a status for good: all later samples have it, too.
double steadySince(const std::vector<poller::sample> &inSamples, int inStatus)
{
    double since = -1;
    for (const poller::sample &entry : inSamples) {
        if (entry.status != inStatus)
            since = -1;
        else if (since < 0)
            since = entry.sent;
    }
    return since;
}

/// Cuts the domain of entry-1 off from the platform; its peers stay reachable.
void cutFromPlatform(promise_fleet &ioFleet, const std::string &inDomain)
{
    std::vector<std::string> links;
    for (const std::string &name : ioFleet.processes().names("entry-")) {
        if (ioFleet.processes().domainOf(name) == inDomain)
            links.push_back(standins::fleet::sLinkName(name, "platform"));
    }
    REQUIRE(ioFleet.processes().fault(links, R"({"fault":"cut"})"));
    inject("failure domain " + inDomain + " cut off from the platform, not from its peers");
}

std::map<std::string, std::unique_ptr<poller>> pollAll(promise_fleet &ioFleet,
                                                       const std::string &inKey)
{
    std::map<std::string, std::unique_ptr<poller>> pollers;
    for (const std::string &name : ioFleet.processes().names("entry-"))
        pollers[name] = std::make_unique<poller>(stockRequest(ioFleet.callers(name), inKey));
    return pollers;
}

/// Waits until well after the bound, so that a late effect is seen as such.
void waitPastBound(double inAccepted)
{
    while (standins::wallSeconds() < inAccepted + cInForceSeconds + 1.5)
        std::this_thread::sleep_for(50ms);
}

} // namespace

TEST_CASE("P05_withdrawal_stops_open_connections_and_running_streams_everywhere")
{
    promise_fleet fleet("P05_withdrawal", settingsFleet());
    const standins::deployment_account &victim = fleet.account(0);
    const standins::deployment_account &other = fleet.account(1);
    for (const std::string &name : fleet.processes().names("engine-"))
        fleet.control(name, "engine", R"({"token_ms":60})");
    cutFromPlatform(fleet, fleet.processes().domainOf("entry-1"));
    auto pollers = pollAll(fleet, victim.key);
    auto bystanders = pollAll(fleet, other.key);
    std::map<std::string, std::unique_ptr<stream_watch>> streams;
    long long adapter = 1;
    for (const std::string &name : fleet.processes().names("entry-")) {
        streams[name] = std::make_unique<stream_watch>(
            caller_request{.address = fleet.callers(name),
                           .path = "/v1/chat/completions",
                           .key = victim.key,
                           .body = chatBody(adapter++, "stream-" + name, 250, true),
                           .timeout = 60s});
    }
    REQUIRE(waitFor([&] {
        for (const auto &[name, stream] : streams) {
            if (!stream->hasBegun() || pollers.at(name)->samples().size() < 5)
                return false;
        }
        return true;
    }));
    REQUIRE(fleet.publish({"--set", "/accounts/" + victim.name + "/keys/k1", "withdrawn=true"})
            == 0);
    const double accepted = lastAppendTime(fleet);
    inject("key of " + victim.name + " withdrawn");
    waitPastBound(accepted);
    for (const auto &[name, entry] : pollers) {
        INFO(name);
        entry->stop();
        int before = 0;
        for (const poller::sample &sample : entry->samples()) {
            if (sample.sent < accepted)
                before += sample.status == 200 ? 1 : 0;
            if (sample.sent > accepted + cInForceSeconds)
                CHECK(sample.status == 401);
        }
        CHECK(before > 0);
        std::printf("%s: refused %.3f s after acceptance\n", name.c_str(),
                    steadySince(entry->samples(), 401) - accepted);
    }
    for (const auto &[name, stream] : streams) {
        INFO(name);
        CHECK(stream->hasEnded());
        CHECK(stream->endTime() > accepted);
        CHECK(stream->lastData() <= accepted + cInForceSeconds);
        const std::string &text = stream->text();
        // The stream was not complete, and its caller is not told that nothing ran.
        CHECK(text.find("[DONE]") == std::string::npos);
        CHECK(text.find("not_run") == std::string::npos);
        std::printf("%s: stream ended %.3f s after acceptance\n", name.c_str(),
                    stream->endTime() - accepted);
    }
    // Other keys are not affected.
    for (const auto &[name, entry] : bystanders) {
        INFO(name);
        entry->stop();
        // A fresh instance refuses with 429 until it may spend its share.
        for (const poller::sample &sample : entry->samples())
            CHECK((sample.status == 200 || sample.status == 429));
        CHECK(entry->samples().back().status == 200);
    }
}

TEST_CASE("P12_settings_take_effect_everywhere_and_never_revert")
{
    promise_fleet fleet("P12_settings", settingsFleet());
    const standins::deployment_account &account = fleet.account(0);
    const std::string newKey = "key-issued-77e1";
    const std::string path = "/accounts/" + account.name + "/keys/k2";
    cutFromPlatform(fleet, fleet.processes().domainOf("entry-1"));
    auto pollers = pollAll(fleet, newKey);
    REQUIRE(waitFor([&] { return pollers.at("entry-1")->samples().size() > 3; }));
    REQUIRE(fleet.publish({"--set", path, "digest=" + corneltally::core::sha256Hex(newKey)}) == 0);
    double accepted = lastAppendTime(fleet);
    inject("key issued for " + account.name);
    waitPastBound(accepted);
    for (const auto &[name, entry] : pollers) {
        INFO(name);
        const auto samples = entry->samples();
        CHECK(samples.front().status == 401);
        const double since = steadySince(samples, 200);
        CHECK(since >= 0);
        CHECK(since <= accepted + cInForceSeconds);
        std::printf("%s: in force %.3f s after acceptance\n", name.c_str(), since - accepted);
    }
    REQUIRE(fleet.publish({"--set", path, "withdrawn=true"}) == 0);
    accepted = lastAppendTime(fleet);
    inject("key withdrawn");
    waitPastBound(accepted);
    const auto checkRefused = [&](const std::string &inName) {
        INFO(inName);
        const double since = steadySince(pollers.at(inName)->samples(), 401);
        CHECK(since >= 0);
        CHECK(since <= accepted + cInForceSeconds);
    };
    for (const auto &[name, entry] : pollers)
        checkRefused(name);
    const auto version = fleet.dump("entry-3", "settings_sync").value("in_force", 0LL);
    REQUIRE(version > 0);

    // A restarted instance must not serve an older tree, also if only a peer can give it one.
    REQUIRE(fleet.processes().healAll());
    fleet.control("platform", "outage", R"({"part":"all","mode":"refuse"})");
    REQUIRE(fleet.processes().restart("entry-2"));
    inject("entry-2 restarted while the platform is down");
    CHECK(waitFor(
        [&] { return fleet.dump("entry-2", "settings_sync").value("version", 0LL) >= version; }));
    standins::http_probe probe;
    CHECK(waitFor([&] {
        return callEntry(probe, stockRequest(fleet.callers("entry-2"), account.key)).status == 200;
    }));
    fleet.control("platform", "outage", R"({"part":"all","mode":"none"})");
    REQUIRE(fleet.processes().restart("entry-4"));
    inject("entry-4 restarted with the platform up");
    CHECK(waitFor([&] { return fleet.isReady("entry-4"); }));
    std::this_thread::sleep_for(500ms);
    for (const auto &[name, entry] : pollers) {
        INFO(name);
        entry->stop();
        // Also while an instance restarted, the withdrawn key never worked again.
        for (const poller::sample &sample : entry->samples()) {
            if (sample.sent > accepted + cInForceSeconds)
                CHECK(sample.status != 200);
        }
        CHECK(fleet.dump(name, "settings_sync").value("in_force", 0LL) >= version);
    }
}

TEST_CASE("P12_settings_of_racing_operators_are_the_same_everywhere")
{
    promise_fleet fleet("P12_racing", settingsFleet());
    const standins::deployment_account &account = fleet.account(0);
    cutFromPlatform(fleet, fleet.processes().domainOf("entry-1"));
    fleet.control("platform", "log", R"({"stream":"settings","lose_answers":2})");
    constexpr int cOperators = 6;
    std::vector<standins::child_process> operators;
    operators.reserve(cOperators);
    for (int index = 0; index < cOperators; ++index) {
        operators.push_back(
            fleet.startPublish({"--set", "/routes/stock", "path=/stock-" + std::to_string(index)}));
    }
    inject(std::to_string(cOperators) + " operators change one node at the same time");
    std::string winner;
    long long winnerVersion = 0;
    int accepted = 0;
    for (int index = 0; index < cOperators; ++index) {
        standins::child_process &entry = operators.at(static_cast<std::size_t>(index));
        const std::string output = entry.readOutput(60s);
        const std::size_t found = output.find(" is version ");
        if (entry.waitExit(60s) != 0 || found == std::string::npos)
            continue;
        ++accepted;
        const long long version = std::atoll(output.c_str() + found + 12);
        CHECK(version != winnerVersion);
        if (version > winnerVersion) {
            winnerVersion = version;
            winner = "/stock-" + std::to_string(index);
        }
    }
    const double acceptedAt = lastAppendTime(fleet);
    REQUIRE(accepted >= 1);
    std::printf("%d of %d changes accepted, the last one is %s at version %lld\n", accepted,
                cOperators, winner.c_str(), winnerVersion);
    waitPastBound(acceptedAt);
    standins::http_probe probe;
    for (const std::string &name : fleet.processes().names("entry-")) {
        for (int index = 0; index < cOperators; ++index) {
            const std::string path = "/stock-" + std::to_string(index);
            INFO(name << " " << path);
            const int status
                = callEntry(probe, stockRequest(fleet.callers(name), account.key, path)).status;
            CHECK((status == 200) == (path == winner));
        }
    }
}
