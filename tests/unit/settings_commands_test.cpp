// Guards against subcommands that accept invalid input, exit with the wrong code or omit the
// remedy.

#include "apps/commands.h"
#include "corneltally/core/digest.h"
#include "corneltally/core/json_log.h"
#include "corneltally/http/exchange.h"
#include "corneltally/http/server.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <array>
#include <atomic>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <future>
#include <sstream>
#include <thread>

#include <catch2/catch.hpp>

using namespace corneltally;

namespace {

struct run_result
{
    int code = 0;
    std::string text;
    std::string errors;
};

run_result runWith(const std::vector<std::string> &inArguments)
{
    std::ostringstream text;
    std::ostringstream errors;
    const int code = apps::runProgram(inArguments, {text, errors});
    return {code, text.str(), errors.str()};
}

/// A temporary folder that is removed in the destructor.
class temporary_folder
{
public:
    temporary_folder()
    {
        std::string pattern
            = (std::filesystem::temp_directory_path() / "corneltally-XXXXXX").string();
        REQUIRE(mkdtemp(pattern.data()) != nullptr);
        mPath = pattern;
    }
    ~temporary_folder() { std::filesystem::remove_all(mPath); }
    temporary_folder(const temporary_folder &) = delete;
    temporary_folder &operator=(const temporary_folder &) = delete;

    std::string write(const std::string &inName, const std::string &inText) const
    {
        std::string path = mPath / inName;
        std::ofstream(path) << inText;
        return path;
    }

private:
    std::filesystem::path mPath;
};

/// Serves a log and an operator address on a separate thread, since the commands block in their own
/// event loops.
class test_platform
{
public:
    test_platform()
    {
        std::promise<unsigned short> ready;
        auto port = ready.get_future();
        mThread = std::thread([this, &ready] { serve(ready); });
        mPort = port.get();
    }
    ~test_platform()
    {
        mStop = true;
        mThread.join();
    }
    test_platform(const test_platform &) = delete;
    test_platform &operator=(const test_platform &) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(mPort); }

    std::atomic<int> loseAnswers = 0;
    std::atomic<int> appends = 0;

private:
    void serve(std::promise<unsigned short> &ioReady)
    {
        kernel::event_loop loop;
        http::server server(loop, [this](const auto &inExchange) { answer(*inExchange); });
        const bool isListening = server.listen({"127.0.0.1", 0});
        kernel::timer poll(loop, [&] {
            if (mStop)
                loop.stop();
        });
        poll.startRepeating(std::chrono::milliseconds(5));
        ioReady.set_value(isListening ? server.port() : 0);
        loop.run();
    }

    void answer(http::exchange &ioExchange)
    {
        if (ioExchange.path() == "/version") {
            ioExchange.replyJson(200,
                                 R"({"instance":"entry-1","settings_version":)"
                                     + std::to_string(mRecords.size()) + "}");
        } else if (ioExchange.path() == "/dump") {
            ioExchange.replyJson(200, R"({"settings_sync":{}})");
        } else if (ioExchange.method() == "POST") {
            ++appends;
            mRecords.push_back(ioExchange.body());
            if (loseAnswers > 0) {
                --loseAnswers;
                ioExchange.abort();
            } else {
                ioExchange.replyJson(200, "{\"offset\":" + std::to_string(mRecords.size()) + "}");
            }
        } else {
            readRecords(ioExchange);
        }
    }

    void readRecords(http::exchange &ioExchange) const
    {
        std::size_t from = std::stoul("0" + std::string(ioExchange.query("from")));
        std::string text
            = "{\"first\":1,\"next\":" + std::to_string(mRecords.size() + 1) + ",\"records\":[";
        bool isFirst = true;
        for (from = std::max<std::size_t>(from, 1); from <= mRecords.size(); ++from) {
            text.append(isFirst ? "" : ",").append("{\"offset\":").append(std::to_string(from));
            text.append(",\"time_ms\":1,\"data\":\"");
            text.append(core::jsonEscape(mRecords[from - 1])).append("\"}");
            isFirst = false;
        }
        ioExchange.replyJson(200, text + "]}");
    }

    std::vector<std::string> mRecords;
    std::atomic<bool> mStop = false;
    unsigned short mPort = 0;
    std::thread mThread;
};

/// Returns an address that has no listener.
std::string closedAddress()
{
    kernel::event_loop loop;
    http::server server(loop, [](const auto &) {});
    REQUIRE(server.listen({"127.0.0.1", 0}));
    return "127.0.0.1:" + std::to_string(server.port());
}

const std::string cSettings = R"([instance]
name = "entry-1"
failure_domain = "north"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
address = "127.0.0.1:7000"
)";

const std::string cTree = R"([accounts.harbour]
rate_tokens_per_second = 5
burst_tokens = 10
[accounts.harbour.desk]
weight = 2
[instances.entry-1]
failure_domain = "north"
)";

bool contains(const std::string &inText, const std::string &inPart)
{
    INFO(inText);
    CHECK(inText.find(inPart) != std::string::npos);
    return inText.find(inPart) != std::string::npos;
}

} // namespace

TEST_CASE("help and version go to standard output, wrong usage to standard error with code 2")
{
    CHECK(runWith({"--version"}).text.starts_with("corneltally "));
    CHECK(runWith({"--help"}).code == 0);
    for (const std::string command : {"entry", "check", "publish", "status", "dump", "keygen"}) {
        const run_result help = runWith({command, "--help"});
        CHECK(help.code == 0);
        contains(help.text, "Usage: corneltally " + command);
        CHECK(help.errors.empty());
        for (const std::string wrong : {"--unknown", "word"}) {
            const run_result result = runWith({command, wrong});
            CHECK(result.code == 2);
            CHECK(result.text.empty());
            contains(result.errors, "--help");
        }
    }
    CHECK(runWith({}).code == 2);
    CHECK(runWith({"serve"}).code == 2);
    for (const std::string command : {"entry", "check", "publish", "status", "dump"})
        CHECK(runWith({command}).code == 2);
}

TEST_CASE("check reports every problem of both files and exits with 2")
{
    const temporary_folder folder;
    const std::string good = folder.write("good.toml", cSettings);
    const std::string tree = folder.write("tree.toml", cTree);
    CHECK(runWith({"check", "--settings", good, "--tree", tree}).code == 0);

    const std::string bad = folder.write("bad.toml", "[instance]\nname = 5\n");
    const std::string badTree = folder.write("bad-tree.toml", "max_queue = 0\nmax_quue = 1\n");
    const run_result result = runWith({"check", "--settings", bad, "--tree", badTree});
    CHECK(result.code == 2);
    contains(result.errors, bad + ":2: instance.name: wrong type; ");
    contains(result.errors, "listen.callers: required key is missing; ");
    contains(result.errors, badTree + ":1: / max_queue: 0 is out of range; ");
    contains(result.errors,
             badTree
                 + ":2: / max_quue: unknown key at this node; did you mean "
                   "\"max_queue\"?");
    const run_result missing = runWith({"check", "--tree", "/nonexistent/tree.toml"});
    CHECK(missing.code == 2);
    contains(missing.errors, "cannot be read; ");
}

TEST_CASE("check compares the process settings with the tree")
{
    const temporary_folder folder;
    const std::string settings = folder.write(
        "entry.toml", cSettings + "[peer_addresses]\nentry-9 = \"127.0.0.1:7109\"\n");
    const std::string tree
        = folder.write("tree.toml",
                       "[instances.entry-1]\nfailure_domain = \"south\"\n[instances.entry-2]\n"
                       "failure_domain = \"north\"\n");
    const run_result result = runWith({"check", "--settings", settings, "--tree", tree});
    CHECK(result.code == 2);
    contains(result.errors, "instance.failure_domain: the tree has \"south\"");
    contains(result.errors, "peer_addresses.entry-2: the tree has no peer_address");
    contains(result.errors, "peer_addresses.entry-9: the tree does not contain this instance");
}

TEST_CASE("check explains where an effective value comes from")
{
    const temporary_folder folder;
    const std::string tree = folder.write("tree.toml", cTree);
    const auto explain = [&](const std::string &inPath, const std::string &inKey) {
        return runWith({"check", "--tree", tree, "--explain", inPath, inKey});
    };
    CHECK(explain("/accounts/harbour/desk", "burst_tokens").text
          == "/accounts/harbour/desk burst_tokens = 10, inherited from /accounts/harbour (" + tree
              + ":3)\n");
    CHECK(explain("/accounts/harbour/desk", "weight").text
          == "/accounts/harbour/desk weight = 2, set at /accounts/harbour/desk (" + tree + ":5)\n");
    CHECK(explain("/accounts/harbour", "weight").text
          == "/accounts/harbour weight = 1, the default\n");
    CHECK(explain("/accounts/harbour", "colour").code == 2);
    CHECK(runWith({"check", "--tree", tree, "--explain", "/accounts/harbour"}).code == 2);
}

TEST_CASE("keygen prints a key and the digest that goes into the tree")
{
    const run_result first = runWith({"keygen"});
    CHECK(first.code == 0);
    const std::size_t keyStart = first.text.find('"') + 1;
    const std::string key = first.text.substr(keyStart, first.text.find('"', keyStart) - keyStart);
    CHECK(key.size() == 67);
    contains(first.text, "digest = \"" + core::sha256Hex(key) + "\"");
    CHECK(runWith({"keygen"}).text != first.text);
}

TEST_CASE("entry rejects invalid settings with code 2")
{
    const temporary_folder folder;
    const run_result result
        = runWith({"entry", "--settings", folder.write("bad.toml", "[instance]\n")});
    CHECK(result.code == 2);
    contains(result.errors, "instance.name: required key is missing");
}

TEST_CASE("entry rejects a disabled guard without --allow-test-settings")
{
    const temporary_folder folder;
    const run_result result
        = runWith({"entry", "--settings",
                   folder.write("broken.toml", cSettings + "[test]\nbreak = \"claim\"\n")});
    CHECK(result.code == 2);
    contains(result.errors, "the settings file disables a safety check");
}

TEST_CASE("publish creates a tree, changes it and reports rejections")
{
    const temporary_folder folder;
    test_platform platform;
    const std::string tree = folder.write("tree.toml", cTree);
    const std::vector<std::string> base{"publish", "--platform", platform.address()};
    const auto publish = [&](const std::vector<std::string> &inMore) {
        std::vector<std::string> arguments = base;
        arguments.insert(arguments.end(), inMore.begin(), inMore.end());
        return runWith(arguments);
    };
    run_result result = publish({"--tree", tree});
    CHECK(result.code == 0);
    contains(result.text, "is version 1");
    CHECK(publish({"--tree", tree}).code == 1);

    result = publish({"--set", "/accounts/harbour", "weight=3", "--set", "/adapters/tone",
                      "version=4", "--set", "/adapters/tone", "base_model=b"});
    CHECK(result.code == 0);
    contains(result.text, "is version 2");
    CHECK(publish({"--unset", "/accounts/harbour", "weight"}).code == 0);
    CHECK(publish({"--remove", "/adapters/tone"}).code == 0);
    CHECK(platform.appends == 4);

    // Invalid changes are rejected before they are appended.
    result = publish({"--set", "/accounts/harbour", "weight=heavy"});
    CHECK(result.code == 2);
    result = publish({"--set", "/accounts/harbour", "weight=-1"});
    CHECK(result.code == 2);
    contains(result.errors, "out of range");
    const std::string outdated
        = folder.write("change.json",
                       R"({"base":{"/accounts/harbour":1},"set":[{"path":"/accounts/harbour",)"
                       R"("key":"weight","value":9}]})");
    result = publish({"--change", outdated});
    CHECK(result.code == 1);
    contains(result.errors, "/accounts/harbour is at version 3");
    CHECK(publish({"--change", folder.write("bad.toml", "[sett.x]\ny = 1\n")}).code == 2);
    CHECK(publish({"--set", "/accounts/harbour", "weight=1", "--tree", tree}).code == 2);
    CHECK(publish({"--set", "/accounts/harbour", "weight=1", "--timeout", "0"}).code == 2);
    CHECK(platform.appends == 4);

    const std::string change = folder.write("change.toml", "[set.accounts.harbour]\nweight = 4\n");
    platform.loseAnswers = 1;
    result = publish({"--change", change, "--id", "once"});
    CHECK(result.code == 0);
    contains(result.text, "accepted: change once is version 5");
    result = publish({"--change", change, "--id", "once"});
    CHECK(result.code == 0);
    CHECK(platform.appends == 5);
}

TEST_CASE("publish fails with a remedy if the platform does not answer")
{
    const run_result result = runWith(
        {"publish", "--platform", closedAddress(), "--timeout", "1", "--remove", "/adapters/tone"});
    CHECK(result.code == 1);
    contains(result.errors, "not published: the log does not accept connections; check");
}

TEST_CASE("status and dump query the operator address")
{
    const temporary_folder folder;
    test_platform platform;
    run_result result = runWith({"status", "--operators", platform.address()});
    // Version 0 means that the instance has no tree yet.
    CHECK(result.code == 1);
    CHECK(runWith({"publish", "--platform", platform.address(), "--tree",
                   folder.write("tree.toml", cTree)})
              .code
          == 0);
    result
        = runWith({"status", "--operators", platform.address(), "--operators", platform.address()});
    CHECK(result.code == 0);
    contains(result.text, platform.address() + " entry-1 version 1\n");
    const std::string closed = closedAddress();
    result = runWith({"status", "--operators", platform.address(), "--operators", closed});
    CHECK(result.code == 1);
    contains(result.errors, closed + ": no connection; check");
    CHECK(runWith({"dump", "--operators", platform.address()}).text == "{\"settings_sync\":{}}\n");
    CHECK(runWith({"dump", "--operators", closed}).code == 1);
    CHECK(runWith({"dump", "--operators", "nowhere"}).code == 2);
}
