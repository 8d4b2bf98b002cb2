// Guards the path of a caller's request through real entry processes: streams that break, repeat or
// lose parts when an instance is killed, paused or drained, and keys that work after their
// withdrawal.

#include "standins/fleet.h"

#include <csignal>
#include <filesystem>
#include <thread>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using nlohmann::json;
using standins::fleet;
namespace http = corneltally::http;
using namespace std::chrono_literals;

namespace {

constexpr int cTokens = 400;

std::string folder()
{
    static int sCount = 0;
    const auto path = std::filesystem::temp_directory_path()
        / ("corneltally-datapath-" + std::to_string(getpid()) + "-" + std::to_string(++sCount));
    std::filesystem::create_directories(path);
    return path.string();
}

standins::fleet_options options()
{
    return {.binaries = CORNELTALLY_BINARY_DIR,
            .folder = folder(),
            .instances = 3,
            .engines = 1,
            .applications = 1,
            .enginesWithoutFencing = 0,
            .adapters = 4,
            .proxied = false,
            .engineArguments = {"--token-ms", "5"}};
}

struct running_fleet
{
    fleet processes{options()};
    standins::http_probe probe;

    running_fleet()
    {
        const bool started = processes.start();
        INFO(processes.problem());
        REQUIRE(started);
        // Loads the adapter, so that the runs of the tests start at once. An instance admits
        // nothing in its first 2 s, because it may have lent tokens before it was restarted.
        for (const std::string &name : processes.names("entry-"))
            REQUIRE(waitFor([&] { return complete(name).status == 200; }));
    }

    unsigned short port(const std::string &inName, const std::string &inPort)
    {
        return processes.process(inName).port(inPort);
    }

    http::header_list headers() const
    {
        return {{"Authorization", "Bearer " + processes.plan().accounts().front().key}};
    }

    static std::string body(int inTokens, bool inStream)
    {
        return json{{"model", standins::deployment::sAdapterName(0)},
                    {"prompt", "hello"},
                    {"max_tokens", inTokens},
                    {"stream", inStream}}
            .dump();
    }

    http::response complete(const std::string &inName)
    {
        return probe.post(port(inName, "callers"), "/v1/completions", body(4, false), headers());
    }

    json dump(const std::string &inName)
    {
        return json::parse(probe.get(port(inName, "operators"), "/dump").body);
    }

    /// The instance that owns the engine, from the point of view of another one.
    std::string owner(const std::string &inName)
    {
        const json state = dump(inName);
        for (const json &endpoint : state["dispatch"]["endpoints"]) {
            if (endpoint["endpoint"] == "engine-1")
                return endpoint["owner"];
        }
        return "";
    }

    std::string otherThan(const std::string &inName) const
    {
        return inName == "entry-1" ? "entry-2" : "entry-1";
    }

    bool waitFor(const std::function<bool()> &inCondition)
    {
        const auto end = std::chrono::steady_clock::now() + 30s;
        while (!inCondition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(10ms);
        }
        return true;
    }
};

/// Answers of an instance whose first part was sent to the caller.
int startedAnswers(running_fleet &ioFleet, const std::string &inName)
{
    static const std::string sName = "\ncorneltally_first_part_seconds_count ";
    const std::string text = ioFleet.probe.get(ioFleet.port(inName, "operators"), "/metrics").body;
    const std::size_t position = text.find(sName);
    return position == std::string::npos ? 0 : std::stoi(text.substr(position + sName.size()));
}

/// A stream that a caller reads on a thread of its own.
class stream_caller
{
public:
    stream_caller(running_fleet &ioFleet, const std::string &inName)
        : mFleet(ioFleet)
        , mName(inName)
        , mStartedBefore(startedAnswers(ioFleet, inName))
        , mPort(ioFleet.port(inName, "callers"))
        , mHeaders(ioFleet.headers())
        , mThread([this] { read(); })
    { }

    ~stream_caller()
    {
        if (mThread.joinable())
            mThread.join();
    }

    /// Returns once the first part was sent; the stream then takes 2 s more.
    void waitStarted()
    {
        REQUIRE(mFleet.waitFor([&] { return startedAnswers(mFleet, mName) > mStartedBefore; }));
    }

    const http::response &finish()
    {
        mThread.join();
        return mResponse;
    }

private:
    void read()
    {
        standins::http_probe probe;
        mResponse = probe.call({.target = {"127.0.0.1", mPort},
                                .method = "POST",
                                .path = "/v1/completions",
                                .headers = mHeaders,
                                .body = running_fleet::body(cTokens, true),
                                .timeout = 60s});
    }

    running_fleet &mFleet;
    std::string mName;
    int mStartedBefore;
    unsigned short mPort;
    http::header_list mHeaders;
    http::response mResponse;
    std::thread mThread;
};

/// Checks that each part came once and in order, and that the stream was ended by its last part.
void checkComplete(const http::response &inResponse)
{
    CHECK(inResponse.outcome == http::call_outcome::completed);
    CHECK(inResponse.status == 200);
    int next = 0;
    std::string last;
    std::size_t start = 0;
    for (std::size_t end = inResponse.body.find("\n\n"); end != std::string::npos;
         end = inResponse.body.find("\n\n", start)) {
        last = inResponse.body.substr(start, end - start);
        start = end + 2;
        if (last == "data: [DONE]")
            break;
        REQUIRE(last.starts_with("data: "));
        const json event = json::parse(last.substr(6));
        REQUIRE(event.contains("index"));
        CHECK(event["index"] == next++);
    }
    CHECK(next == cTokens);
    CHECK(last == "data: [DONE]");
}

} // namespace

TEST_CASE("a stream survives the death of the instance that owns its engine")
{
    running_fleet test;
    const std::string owner = test.owner("entry-1");
    const std::string origin = test.otherThan(owner);
    stream_caller caller(test, origin);
    caller.waitStarted();
    test.processes.process(owner).kill();
    checkComplete(caller.finish());
    CHECK(test.complete(origin).status == 200);
}

TEST_CASE("a stream survives a pause of the instance that owns its engine")
{
    running_fleet test;
    const std::string owner = test.owner("entry-1");
    const std::string origin = test.otherThan(owner);
    stream_caller caller(test, origin);
    caller.waitStarted();
    test.processes.process(owner).pause();
    checkComplete(caller.finish());
    test.processes.process(owner).resume();
    REQUIRE(test.waitFor([&] { return test.complete(owner).status == 200; }));
}

TEST_CASE("draining the owner or the caller's instance interrupts no stream")
{
    running_fleet test;
    const std::string owner = test.owner("entry-1");
    const bool drainOwner = GENERATE(true, false);
    const std::string origin = test.otherThan(owner);
    const std::string drained = drainOwner ? owner : origin;
    stream_caller caller(test, origin);
    caller.waitStarted();
    CHECK(test.processes.process(drained).terminate() == 0);
    checkComplete(caller.finish());
    CHECK(test.complete(drainOwner ? origin : owner).status == 200);
}

TEST_CASE("an order that is sent to all instances at once under one key runs once")
{
    running_fleet test;
    std::vector<http::response> answers(6);
    {
        std::vector<std::jthread> callers;
        for (std::size_t index = 0; index < answers.size(); ++index) {
            const std::string name = "entry-" + std::to_string(index % 3 + 1);
            callers.emplace_back([&, index, port = test.port(name, "callers")] {
                standins::http_probe probe;
                http::header_list headers = test.headers();
                headers.emplace_back("Idempotency-Key", "key-1");
                answers[index] = probe.post(port, "/orders", R"({"order":"o-1"})", headers);
            });
        }
    }
    for (const http::response &answer : answers) {
        CHECK(answer.status == 200);
        CHECK(answer.body == answers.front().body);
        CHECK(json::parse(answer.body, nullptr, false).value("runs", 0) == 1);
    }
}

TEST_CASE("a withdrawn key stops working within three seconds, also for a running stream")
{
    running_fleet test;
    stream_caller caller(test, "entry-1");
    caller.waitStarted();
    const std::string account = test.processes.plan().accounts().front().name;
    const auto start = std::chrono::steady_clock::now();
    standins::child_process publisher(
        {.program = CORNELTALLY_BINARY_DIR "/corneltally",
         .arguments = {"publish", "--platform", test.processes.platformAddress(), "--set",
                       "/accounts/" + account + "/keys/k1", "withdrawn=true"},
         .logFile = ""});
    REQUIRE(publisher.waitExit(30s) == 0);
    const http::response &ended = caller.finish();
    CHECK(std::chrono::steady_clock::now() - start < 3s);
    CHECK(ended.body.find(R"("type":"unauthorized")") != std::string::npos);
    for (const char *name : {"entry-1", "entry-2", "entry-3"})
        CHECK(test.waitFor([&] { return test.complete(name).status == 401; }));
    CHECK(std::chrono::steady_clock::now() - start < 3s);
}

TEST_CASE("an endpoint that the platform lists as leaving gets no new work after three seconds")
{
    running_fleet test;
    const auto start = std::chrono::steady_clock::now();
    const json list{{"instances", {{{"name", "engine-1"}, {"state", "leaving"}}}}};
    REQUIRE(test.probe
                .post(test.processes.process("platform").port("http"), "/control/instances",
                      list.dump())
                .status
            == 200);
    std::this_thread::sleep_until(start + 3s);
    for (const std::string &name : test.processes.names("entry-")) {
        const http::response refused = test.complete(name);
        CHECK(refused.status == 503);
        CHECK(refused.body.find(R"("run":"not_run")") != std::string::npos);
    }
}
