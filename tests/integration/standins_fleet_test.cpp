// Guards against a launcher that leaves processes behind or cuts the wrong links, and against a
// load tool that passes wrong answers.

#include "standins/answer_verifier.h"
#include "standins/fleet.h"

#include <array>
#include <csignal>
#include <filesystem>
#include <thread>

#include <nlohmann/json.hpp>
#include <sys/wait.h>
#include <unistd.h>

#include <catch2/catch.hpp>

using nlohmann::json;
using namespace std::chrono_literals;

namespace {

std::string folderFor(const std::string &inTest)
{
    std::string folder = std::string(CORNELTALLY_BINARY_DIR) + "/fleet_test/" + inTest;
    std::filesystem::remove_all(folder);
    return folder;
}

standins::fleet_options smallFleet(const std::string &inTest)
{
    return {.binaries = CORNELTALLY_BINARY_DIR,
            .folder = folderFor(inTest),
            .instances = 2,
            .engines = 3,
            .applications = 1,
            .withEntries = false};
}

standins::planned_call quoteCall(const standins::deployment &inPlan)
{
    return {.kind = inPlan.calls().data(),
            .account = inPlan.accounts().data(),
            .adapter = "a0001",
            .version = "2",
            .user = "u1",
            .promptTokens = 4,
            .outputTokens = 2};
}

std::string streamEvent(const std::string &inText)
{
    return "data: " + json{{"choices", {{{"delta", {{"content", inText}}}}}}}.dump() + "\n\n";
}

/// The problem that the verifier reports for a streamed answer; "complete" if there is none.
std::string verify(const std::vector<std::string> &inEvents)
{
    const standins::deployment plan = standins::deployment::sNamed("strengvegur");
    standins::answer_verifier verifier(quoteCall(plan));
    verifier.setHead(200, "r1");
    for (const std::string &part : inEvents)
        verifier.addData(part);
    verifier.finish();
    return verifier.isComplete() ? "complete" : verifier.problem();
}

} // namespace

TEST_CASE("a fleet starts, forwards through its links, restarts parts and stops")
{
    standins::fleet fleet(smallFleet("links"));
    REQUIRE(fleet.start());
    CHECK(fleet.names("engine-").size() == 3);
    CHECK(fleet.domainOf("engine-2") == fleet.domainOf("entry-2"));

    standins::http_probe probe;
    const auto linkPort = [&](const std::string &inFrom, const std::string &inTo) {
        const json links
            = json::parse(probe.get(fleet.process("proxy").port("http"), "/control/links").body);
        return links.at("links")
            .at(standins::fleet::sLinkName(inFrom, inTo))
            .at("port")
            .get<unsigned short>();
    };
    const auto reaches = [&](const std::string &inFrom, const std::string &inTo) {
        return probe
                   .call({.target = {"127.0.0.1", linkPort(inFrom, inTo)},
                          .path = "/v1/state",
                          .timeout = 5s,
                          .freshConnection = true})
                   .status
            == 200;
    };
    CHECK(reaches("entry-1", "engine-1"));
    CHECK(reaches("entry-1", "engine-2"));
    REQUIRE(fleet.cutDomain(fleet.domainOf("entry-1")));
    CHECK(reaches("entry-1", "engine-1"));
    CHECK_FALSE(reaches("entry-1", "engine-2"));
    CHECK_FALSE(reaches("entry-2", "engine-1"));
    CHECK(reaches("entry-2", "engine-2"));
    CHECK_FALSE(reaches("entry-1", "platform"));
    REQUIRE(fleet.healAll());
    CHECK(reaches("entry-1", "engine-2"));

    REQUIRE(fleet.restart("engine-2"));
    CHECK(reaches("entry-1", "engine-2"));
    CHECK(fleet.stop());
}

TEST_CASE("children end when their launcher is killed")
{
    std::array<int, 2> channel{};
    REQUIRE(pipe(channel.data()) == 0);
    const pid_t launcher = fork();
    if (launcher == 0) {
        const standins::child_process child(
            {.program = CORNELTALLY_BINARY_DIR "/standins/standin_application",
             .arguments = {},
             .logFile = ""});
        const pid_t pid = child.pid();
        const bool sent = write(channel[1], &pid, sizeof(pid)) == sizeof(pid);
        for (int round = 0; sent && round < 600; ++round)
            std::this_thread::sleep_for(100ms);
        _exit(0);
    }
    pid_t child = 0;
    REQUIRE(read(channel[0], &child, sizeof(child)) == sizeof(child));
    kill(launcher, SIGKILL);
    waitpid(launcher, nullptr, 0);
    // The write end in the launcher is closed by its death; the one here is closed explicitly.
    close(channel[1]);
    close(channel[0]);
    const auto deadline = std::chrono::steady_clock::now() + 20s;
    const auto isGone = [&] {
        // A killed process may stay as an entry without a program until it is reaped.
        std::error_code failure;
        const auto program
            = std::filesystem::read_symlink("/proc/" + std::to_string(child) + "/exe", failure);
        return failure || program.empty();
    };
    while (!isGone()) {
        REQUIRE(std::chrono::steady_clock::now() < deadline);
        std::this_thread::sleep_for(5ms);
    }
    SUCCEED();
}

TEST_CASE("the verifier accepts a whole answer and names what is wrong with others")
{
    const std::string done = "data: [DONE]\n\n";
    const std::string first = streamEvent("a0001@2 r1 0 u1;");
    const std::string second = streamEvent("a0001@2 r1 1 u1;");
    CHECK(verify({first, second, done}) == "complete");
    CHECK(verify({first.substr(0, 9), first.substr(9) + second, done}) == "complete");
    CHECK(verify({first, done}) == "1 tokens of 2");
    CHECK(verify({first, second}) == "the stream ended without [DONE] and without an error");
    CHECK(verify({second, first, done}) == "token 1 in place of 0");
    CHECK(verify({first, first, second, done}) == "token 0 in place of 1");
    CHECK(verify({streamEvent("a0001@1 r1 0 u1;"), second, done})
          == "ran on a0001@1 in place of a0001@2");
    CHECK(verify({first, streamEvent("a0001@2 r2 1 u1;"), done})
          == "tokens of two runs: r1 and r2");
    CHECK(verify({streamEvent("a0001@2 r1 0 u2;"), second, done}) == "a token of call u2");
    // An error that is reported as such is a failure, but not a wrong answer.
    CHECK(verify({first, "data: {\"error\":{\"run\":\"unknown\"}}\n\n"}).empty());
}
