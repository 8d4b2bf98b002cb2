// Guards against requests that reach the endpoints of an evacuated failure domain: those that wait
// for an adapter or a connection, repeats, resumed streams, and those of an instance that was
// paused when the evacuation began.

#include "corneltally/catalog/evacuation_messages.h"
#include "forwarding_front_fixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace corneltally;
using namespace corneltally::front_test;
using namespace std::chrono_literals;
using routing::repetition;

namespace {

const http1::header_fields cAdapter{{std::string(platform::cModelField), "base/a1"}};

/// The first endpoints are in the failure domain "north", the second ones in "south".
struct evacuation_fixture : front_fixture
{
    explicit evacuation_fixture(bool inConfirms = false)
        : front_fixture(400ms, inConfirms)
    { }

    void evacuate(const std::string &inDomain, bool inEvacuated = true)
    {
        registry.broadcast(catalog::evacuation_changed{inDomain, inEvacuated, {0, 1}});
        settle(50ms);
    }

    bool counts(const std::string &inLine) const
    {
        return metrics.toText().find("\ncorneltally_" + inLine + "\n") != std::string::npos;
    }
};

/// A listener whose queue is full, so that connections to it are never established.
struct full_listener
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    std::vector<int> fillers;
    http1::address address{"127.0.0.1", 0};

    full_listener()
    {
        sockaddr_in self{.sin_family = AF_INET};
        self.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t size = sizeof self;
        REQUIRE(bind(socket, reinterpret_cast<sockaddr *>(&self), size) == 0);
        REQUIRE(listen(socket, 0) == 0);
        REQUIRE(getsockname(socket, reinterpret_cast<sockaddr *>(&self), &size) == 0);
        address.port = ntohs(self.sin_port);
        for (int index = 0; index < 4; ++index) {
            fillers.push_back(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0));
            (void)connect(fillers.back(), reinterpret_cast<sockaddr *>(&self), size);
        }
    }

    ~full_listener()
    {
        for (const int filler : fillers)
            close(filler);
        close(socket);
    }
};

} // namespace

TEST_CASE("the endpoints of an evacuated failure domain get no requests until it returns")
{
    evacuation_fixture fixture;
    fixture.configure(repetition::repeatable, 2);
    fixture.first.answers = [](const std::string &) { return scripted_answer{cSealed}; };
    fixture.second.script = {{cSealed}, {cFailed}};
    fixture.evacuate("north");
    CHECK(fixture.call().status == 200);
    // A failed attempt is not repeated there either.
    CHECK(fixture.call().status == 500);
    CHECK(fixture.first.requests.empty());
    CHECK(fixture.front.dump().find(R"("evacuated":true)") != std::string::npos);
    // Without any other failure domain callers are told at once.
    fixture.evacuate("south");
    const core::time_point before = core::boot_clock::now();
    const caller_view refused = fixture.call();
    CHECK(core::boot_clock::now() - before < 200ms);
    CHECK(refused.status == 503);
    CHECK(http1::findField(refused.fields, "Retry-After").has_value());
    CHECK(refused.body.find("evacuated") != std::string::npos);
    CHECK(refused.body.find(R"("run":"not_run")") != std::string::npos);
    fixture.evacuate("north", false);
    CHECK(fixture.call().status == 200);
    CHECK(fixture.first.requests.size() == 1);
}

// Failure: a request waits until the load that was asked for does not begin, or until its
// connection is not established, or it is sent there after all.
TEST_CASE("a request that is not yet sent chooses another endpoint when its own one is evacuated")
{
    const bool waitsForAdapter = GENERATE(true, false);
    CAPTURE(waitsForAdapter);
    evacuation_fixture fixture;
    const full_listener full;
    fixture.configure(repetition::once_stream, 1, 4s);
    const std::string answer = cStreamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n";
    fixture.second.script = {{answer}};
    fixture.announce("m2", "models", fixture.second);
    if (waitsForAdapter) {
        fixture.registry.handle<orders::local_load_wanted>(
            "orders", [&](const orders::local_load_wanted &inWanted) {
                fixture.wanted[inWanted.wanted.endpoint] = inWanted.wanted;
            });
        fixture.engineState({});
    } else {
        fixture.registry.broadcast(catalog::endpoint_changed{{.id = "m1",
                                                              .service = "models",
                                                              .address = full.address,
                                                              .failureDomain = "north",
                                                              .capacity = 4,
                                                              .startedMs = 2}});
        fixture.settle(20ms);
        fixture.engineState({{{"base/a1", 1}}, {}}, "m1", 2);
    }
    fixture.settle(50ms);
    const auto caller = fixture.connect();
    caller_view view;
    fixture.send(*caller, view, "/lm/1", cAdapter);
    fixture.settle(60ms);
    CHECK(fixture.wanted.contains("m1") == waitsForAdapter);
    fixture.engineState({{{"base/a1", 1}}, {}}, "m2");
    fixture.settle(20ms);
    REQUIRE(fixture.second.requests.empty());
    const core::time_point evacuated = core::boot_clock::now();
    fixture.registry.broadcast(catalog::evacuation_changed{"north", true, {0, 1}});
    fixture.loop.run();
    CHECK(core::boot_clock::now() - evacuated < 300ms);
    CHECK(view.status == 200);
    CHECK(fixture.first.requests.empty());
    CHECK(fixture.counts("evacuation_rechoices_total 1"));
}

// Failure: answers in progress are cut, or a stream that breaks is resumed in the failure domain.
TEST_CASE("an answer in progress continues, and a broken one is resumed elsewhere")
{
    const bool breaks = GENERATE(false, true);
    CAPTURE(breaks);
    evacuation_fixture fixture;
    fixture.configure(repetition::resumable_stream, 3);
    fixture.announce("e3", "shop", fixture.first);
    fixture.first.script = {{cStreamHead + chunk("id: 1\ndata: a\n\n")}};
    fixture.second.script = {{cStreamHead + chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n"}};
    const auto caller = fixture.connect();
    caller_view view;
    fixture.send(*caller, view, "/a/1");
    fixture.settle(100ms);
    REQUIRE(fixture.first.requests.size() == 1);
    fixture.evacuate("north");
    if (breaks)
        fixture.first.streams.back()->close();
    else
        fixture.first.streams.back()->write(chunk("id: 2\ndata: b\n\n") + "0\r\n\r\n");
    fixture.loop.run();
    CHECK(view.body == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(view.end.outcome == http1::exchange_end::kind::complete);
    CHECK(fixture.first.requests.size() == 1);
    CHECK(fixture.second.requests.size() == (breaks ? 1 : 0));
}

// Failure: a request that an engine refuses for want of its adapter is sent there again.
TEST_CASE("a request that an evacuated engine refuses is not sent there again")
{
    evacuation_fixture fixture;
    fixture.configure(repetition::once_stream, 2, 4s);
    fixture.announce("m2", "models", fixture.second);
    fixture.engineState({{{"base/a1", 1}}, {}});
    fixture.settle(50ms);
    fixture.second.script = {{cStreamHead + chunk("id: 1\ndata: a\n\n") + "0\r\n\r\n"}};
    const auto caller = fixture.connect();
    caller_view view;
    fixture.send(*caller, view, "/lm/1", cAdapter);
    fixture.settle(50ms);
    REQUIRE(fixture.first.requests.size() == 1);
    fixture.engineState({{{"base/a1", 1}}, {}}, "m2");
    fixture.evacuate("north");
    fixture.first.streams.back()->write("HTTP/1.1 421 Misdirected\r\n"
                                        + std::string(platform::cNotExecutedField)
                                        + ": 1\r\nContent-Length: 0\r\n\r\n");
    fixture.loop.run();
    CHECK(view.status == 200);
    CHECK(fixture.first.requests.size() == 1);
}

// Failure: an instance that was paused while the evacuation began sends requests on what it knew
// before, or, if the store is out of reach, nothing at all.
TEST_CASE("after a process pause requests wait until the operator's records were read again")
{
    enum class store { evacuated, unchanged, silent };
    const store answer = GENERATE(store::evacuated, store::unchanged, store::silent);
    CAPTURE(static_cast<int>(answer));
    evacuation_fixture fixture(true);
    fixture.configure(repetition::once, 1);
    int polls = 0;
    fixture.registry.handle<catalog::operator_records_poll>(
        "catalog", [&](const catalog::operator_records_poll &) { ++polls; });
    fixture.first.script = {{cSealed}};
    fixture.second.script = {{cSealed}};
    fixture.front.paused();
    const core::time_point asOf = core::boot_clock::now();
    // The allowance of the account is empty after a pause.
    fixture.settle(20ms);
    const auto caller = fixture.connect();
    caller_view view;
    fixture.send(*caller, view, "/a/1");
    fixture.settle(100ms);
    CHECK(polls == 1);
    CHECK(fixture.first.requests.empty());
    // A read that began before the pause proves nothing.
    fixture.registry.broadcast(catalog::operator_records_confirmed{asOf - 1s});
    fixture.settle(50ms);
    CHECK(fixture.first.requests.empty());
    if (answer == store::evacuated)
        fixture.registry.broadcast(catalog::evacuation_changed{"north", true, {0, 1}});
    if (answer != store::silent)
        fixture.registry.broadcast(catalog::operator_records_confirmed{asOf});
    fixture.loop.run();
    CHECK(view.status == 200);
    CHECK(core::boot_clock::now() - asOf < 700ms);
    CHECK(fixture.first.requests.size() == (answer == store::evacuated ? 0 : 1));
}
