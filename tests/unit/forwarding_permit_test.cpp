// Guards against requests that reach a cold endpoint without a valid permit, or that wait for one
// instead of using another endpoint.

#include "forwarding_front_fixture.h"

#include <cerrno>
#include <thread>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace corneltally;
using namespace corneltally::front_test;
using namespace std::chrono_literals;
using routing::repetition;

namespace {

/// Two cold plain endpoints, whose holder replies as told.
struct cold_fixture : front_fixture
{
    /// Replies by endpoint; none for others.
    std::map<std::string, fleet::permit_reply> replies;
    std::map<std::string, int> asked;
    core::duration busyTime{};

    cold_fixture()
    {
        coldPerSecond = 4;
        registry.handle<orders::local_permit_wanted>(
            "orders", [this](const orders::local_permit_wanted &inLocal) {
                ++asked[inLocal.wanted.endpoint];
                const auto reply = replies.find(inLocal.wanted.endpoint);
                if (reply == replies.end())
                    return;
                std::this_thread::sleep_for(busyTime);
                reply->second.number = inLocal.wanted.number;
                registry.post("front", orders::local_permit_reply{reply->second});
            });
        first.answers = [](const std::string &) { return scripted_answer{cSealed}; };
        second.answers = first.answers;
        configure(repetition::once, 2);
    }

    void hold()
    {
        engineState({}, "e1");
        engineState({}, "e2");
        settle(20ms);
    }
};

/// A listener that accepts no connection, so that further ones are not established.
struct full_listener
{
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{.sin_family = AF_INET};
    std::vector<int> callers;

    full_listener()
    {
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof address;
        REQUIRE(bind(listener, reinterpret_cast<sockaddr *>(&address), size) == 0);
        REQUIRE(listen(listener, 0) == 0);
        REQUIRE(getsockname(listener, reinterpret_cast<sockaddr *>(&address), &size) == 0);
        for (int count = 0; count < 3; ++count) {
            callers.push_back(socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            CHECK((connect(callers.back(), reinterpret_cast<sockaddr *>(&address), size) == 0
                   || errno == EINPROGRESS));
        }
    }
    ~full_listener()
    {
        for (const int caller : callers)
            close(caller);
        close(listener);
    }
    full_listener(const full_listener &) = delete;
    full_listener &operator=(const full_listener &) = delete;
};

} // namespace

TEST_CASE("without a holder a cold endpoint receives nothing and the refusal names the time")
{
    cold_fixture fixture;
    const auto start = core::boot_clock::now();
    const caller_view view = fixture.call();
    CHECK(view.status == 503);
    CHECK(view.body.find("not_run") != std::string::npos);
    CHECK(view.body.find("cold") != std::string::npos);
    CHECK(core::boot_clock::now() - start < 100ms);
    // The cold time of the fixture is 10 s.
    CHECK(std::stod(std::string(http1::findField(view.fields, "Retry-After").value_or("0"))) > 5);
    CHECK(fixture.asked.empty());
    CHECK(fixture.first.requests.empty());
}

TEST_CASE("a cold endpoint receives a request with a permit, and none while a permit is denied")
{
    cold_fixture fixture;
    fixture.hold();
    fixture.replies = {{"e1", {0, true}}, {"e2", {0, true}}};
    CHECK(fixture.call().status == 200);
    CHECK(fixture.asked == std::map<std::string, int>{{"e1", 1}});
    fixture.replies["e1"] = {0, false, 400ms};
    CHECK(fixture.call().status == 200);
    CHECK(fixture.call().status == 200);
    CHECK(fixture.asked == std::map<std::string, int>{{"e1", 2}, {"e2", 2}});
    CHECK(fixture.first.requests.size() == 1);
    CHECK(fixture.second.requests.size() == 2);
    fixture.replies["e2"] = {0, false, 400ms};
    const caller_view view = fixture.call();
    CHECK(view.status == 503);
    CHECK(std::stod(std::string(http1::findField(view.fields, "Retry-After").value_or("9"))) < 1.2);
    fixture.settle(450ms);
    fixture.replies["e1"] = {0, true};
    CHECK(fixture.call().status == 200);
    CHECK(fixture.first.requests.size() == 2);
}

TEST_CASE("a request without a reply in time is not sent, and others do not ask this holder")
{
    cold_fixture fixture;
    fixture.hold();
    const bool isLate = GENERATE(false, true);
    CAPTURE(isLate);
    if (isLate) {
        fixture.replies = {{"e1", {0, true}}, {"e2", {0, true}}};
        // The reply arrives when the process has been busy or suspended for longer than the term.
        fixture.busyTime = 200ms;
    }
    const auto start = core::boot_clock::now();
    CHECK(fixture.call().status == 503);
    CHECK(core::boot_clock::now() - start < 400ms);
    CHECK(fixture.call().status == 503);
    CHECK(fixture.asked == std::map<std::string, int>{{"e1", 1}});
    CHECK(fixture.first.requests.empty());
    CHECK(fixture.second.requests.empty());
}

TEST_CASE(
    "a request whose connection is not established within the permit's term is not sent there")
{
    cold_fixture fixture;
    const full_listener full;
    fixture.registry.broadcast(
        catalog::endpoint_changed{{.id = "e1",
                                   .service = "shop",
                                   .address = {"127.0.0.1", ntohs(full.address.sin_port)},
                                   .failureDomain = "north",
                                   .capacity = 4,
                                   .startedMs = 1}});
    fixture.hold();
    fixture.replies = {{"e1", {0, true}}, {"e2", {0, true}}};
    const auto start = core::boot_clock::now();
    CHECK(fixture.call().status == 200);
    const core::duration took = core::boot_clock::now() - start;
    CHECK(took > 100ms);
    CHECK(took < 300ms);
    CHECK(fixture.asked == std::map<std::string, int>{{"e1", 1}, {"e2", 1}});
    CHECK(fixture.second.requests.size() == 1);
}

TEST_CASE("a request that waits for a permit chooses again when the endpoint leaves")
{
    cold_fixture fixture;
    fixture.hold();
    fixture.replies = {{"e2", {0, true}}};
    kernel::timer leaving(fixture.loop, [&] {
        fixture.registry.broadcast(engines::endpoint_noticed{"e1", 1, {.leaving = true}});
    });
    leaving.startOnce(40ms);
    const auto start = core::boot_clock::now();
    CHECK(fixture.call().status == 200);
    CHECK(core::boot_clock::now() - start < 120ms);
    CHECK(fixture.first.requests.empty());
}

// Failure: a request that is cut off from many holders waits for each of them in turn.
TEST_CASE("a request is refused after two holders did not reply")
{
    cold_fixture fixture;
    fixture.announce("e3", "shop", fixture.second);
    for (const std::string number : {"1", "2", "3"})
        fixture.registry.broadcast(fleet::mesh_received{
            "holder-" + number, 1,
            fleet::engine_state{.endpoint = "e" + number, .startedMs = 1, .ready = true}});
    fixture.settle(20ms);
    const auto start = core::boot_clock::now();
    CHECK(fixture.call().status == 503);
    const core::duration took = core::boot_clock::now() - start;
    CHECK(took >= 290ms);
    CHECK(took < 420ms);
}

// Failure: a late reply to the former process of a restarted instance grants a permit that another
// endpoint's holder was asked for.
TEST_CASE("replies to the requests of a former process grant nothing")
{
    forwarding::permit_requests former;
    const std::uint64_t number = former.add([](const fleet::permit_reply &) {});
    const core::time_point restartAt = core::boot_clock::now() + 2ms;
    while (core::boot_clock::now() < restartAt) { }
    forwarding::permit_requests restarted;
    bool granted = false;
    restarted.add([&](const fleet::permit_reply &inReply) { granted = inReply.granted; });
    restarted.replied({number, true});
    CHECK_FALSE(granted);
}
