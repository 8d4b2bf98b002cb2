// Guards what callers of a stopping forwarding instance get: requests that run or arrive are
// answered or refused, also where the process is late.

#include "standins/caller_connection.h"
#include "standins/site.h"
#include "tests/integration/site_fixture.h"

#include <array>
#include <csignal>
#include <map>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <sys/socket.h>
#include <unistd.h>

using namespace std::chrono_literals;
namespace http = corneltally::http;
using standins::site;

TEST_CASE("SIGTERM takes an instance out of rotation, ends no stream and serves what arrives")
{
    site_fixture fixture({.engineFlags = {"--events", "80"}});
    REQUIRE(fixture.call({.path = "/chat/1", .adapter = "a1"}).status == 200);
    http::response stream;
    std::thread caller(
        [&stream, call = fixture.makeCall({.path = "/chat/1", .id = "s1", .adapter = "a1"})] {
            standins::http_probe probe;
            stream = probe.call(call);
        });
    REQUIRE(site::waitFor([&] { return !fixture.runsOf("s1").empty(); }));
    fixture.fleet.process("edge-1").signal(SIGTERM);
    CHECK(fixture.fleet.waitReady("edge-1", false));
    const http::response late = fixture.call();
    CHECK(late.status == 200);
    CHECK(http::findHeader(late.headers, "Connection") == "close");
    caller.join();
    CHECK(stream.body == wholeStream("s1", 80));
    CHECK(fixture.fleet.process("edge-1").waitExit(10s) == 0);
}

// Failure: orders that a stopping instance accepts late are cut off without an answer when it
// exits.
TEST_CASE("orders that arrive until a stopping instance exits are answered or refused")
{
    site_fixture fixture(
        {.instances = 1, .applicationFlags = {"--work-ms", "2000", "--slots", "50"}});
    standins::child_process &instance = fixture.fleet.process("edge-1");
    std::vector<std::thread> callers;
    std::map<std::string, http::response> answers;
    const auto place = [&](const std::string &inId) {
        const http::call_request call = fixture.makeCall({.path = "/order/1", .id = inId});
        callers.emplace_back([call, &answer = answers[inId]] {
            standins::http_probe probe;
            answer = probe.call(call);
        });
    };
    place("before");
    REQUIRE(site::waitFor([&] { return !fixture.runsOf("before").empty(); }));
    instance.signal(SIGTERM);
    for (int order = 0; instance.isRunning(); ++order) {
        place("order-" + std::to_string(order));
        std::this_thread::sleep_for(100ms);
    }
    for (std::thread &caller : callers)
        caller.join();
    CHECK(instance.waitExit(10s) == 0);
    CHECK(answers["before"].status == 200);
    int served = 0;
    int refused = 0;
    for (const auto &[id, answer] : answers) {
        INFO(id << " got " << answer.status);
        if (answer.outcome != http::call_outcome::completed) {
            // The listener closed before the instance read the order.
            CHECK(fixture.runsOf(id).empty());
            continue;
        }
        served += answer.status == 200 ? 1 : 0;
        refused += answer.status == 503 ? 1 : 0;
        CHECK(fixture.runsOf(id).size() == (promisesNotRun(answer.status) ? 0 : 1));
    }
    CHECK(served > 0);
    CHECK(refused > 0);
}

// Failure: the process does not run while the requests are to be ended, ends them in the step in
// which it exits, and their answers are not sent.
TEST_CASE("an order that a late instance ends before it exits is answered")
{
    site_fixture fixture({.instances = 1,
                          .applicationFlags = {"--work-ms", "3800", "--slots", "50"},
                          .stopMs = 3000});
    standins::child_process &instance = fixture.fleet.process("edge-1");
    http::response answer;
    std::thread caller([&answer, call = fixture.makeCall({.path = "/order/1", .id = "long"})] {
        standins::http_probe probe;
        answer = probe.call(call);
    });
    CHECK(site::waitFor([&] { return !fixture.runsOf("long").empty(); }));
    instance.signal(SIGTERM);
    std::this_thread::sleep_for(2500ms);
    instance.signal(SIGSTOP);
    std::this_thread::sleep_for(400ms);
    instance.signal(SIGCONT);
    caller.join();
    CHECK(answer.outcome == http::call_outcome::completed);
    CHECK(answer.status == 502);
    CHECK(instance.waitExit(10s) == 0);
}

// Failure: the process does not run while its idle connections are to be closed, and exits in the
// step in which it reads a request that has waited in the socket.
TEST_CASE("a request that reaches a late instance on a kept connection is answered before the exit")
{
    site_fixture fixture({.instances = 1, .stopMs = 3000});
    standins::child_process &instance = fixture.fleet.process("edge-1");
    const http::call_request call = fixture.makeCall({.path = "/order/1"});
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : call.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{.sin_family = AF_INET, .sin_port = htons(call.target.port)};
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(caller, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0);
    REQUIRE(write(caller, text.data(), text.size()) == std::ssize(text));
    std::array<char, 4096> bytes{};
    REQUIRE(read(caller, bytes.data(), bytes.size()) > 0);
    instance.signal(SIGTERM);
    std::this_thread::sleep_for(2300ms);
    instance.signal(SIGSTOP);
    REQUIRE(write(caller, text.data(), text.size()) == std::ssize(text));
    std::this_thread::sleep_for(600ms);
    instance.signal(SIGCONT);
    CHECK(read(caller, bytes.data(), bytes.size()) > 0);
    close(caller);
    CHECK(instance.waitExit(10s) == 0);
}

// Failure: the process does not run just before it exits, and exits in the iteration of its event
// loop in which it reads a request that has waited in the socket.
TEST_CASE("a request that reaches a late instance just before its exit is answered")
{
    site_fixture fixture({.instances = 1, .stopMs = 3000});
    standins::child_process &instance = fixture.fleet.process("edge-1");
    const http::call_request call = fixture.makeCall({.path = "/order/1"});
    std::string text = call.method + " " + call.path + " HTTP/1.1\r\n";
    for (const auto &[name, value] : call.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "Content-Length: " + std::to_string(call.body.size()) + "\r\n\r\n" + call.body;
    instance.signal(SIGTERM);
    std::this_thread::sleep_for(1900ms);
    const int caller = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in target{.sin_family = AF_INET, .sin_port = htons(call.target.port)};
    target.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(caller, reinterpret_cast<const sockaddr *>(&target), sizeof target) == 0);
    std::this_thread::sleep_for(820ms);
    instance.signal(SIGSTOP);
    REQUIRE(write(caller, text.data(), text.size()) == std::ssize(text));
    std::this_thread::sleep_for(140ms);
    instance.signal(SIGCONT);
    std::array<char, 4096> bytes{};
    CHECK(read(caller, bytes.data(), bytes.size()) > 0);
    close(caller);
    CHECK(instance.waitExit(10s) == 0);
}
