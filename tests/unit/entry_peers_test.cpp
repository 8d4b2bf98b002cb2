// Guards against peers that are wrongly considered live or lost: after invalid frames, restarts,
// two processes with one name, and silent connections.

#include "corneltally/entry/peer_codec.h"
#include "corneltally/entry/peers_service.h"
#include "corneltally/entry/settings_messages.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/peer/connection.h"
#include "corneltally/peer/listener.h"
#include "corneltally/settings/settings_index.h"
#include "corneltally/settings/settings_tree.h"

#include <optional>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace corneltally::entry;
using namespace std::chrono_literals;

namespace {

/// A connection by which the test acts as a peer.
struct raw_peer
{
    std::unique_ptr<peer::connection> connection;
    std::vector<wire_message> received;
    bool closed = false;

    explicit raw_peer(std::unique_ptr<peer::connection> inConnection)
        : connection(std::move(inConnection))
    {
        connection->setEvents({.onFrame =
                                   [this](std::string_view inBody) {
                                       auto message
                                           = decodePeerFrame(inBody, core::boot_clock::now());
                                       REQUIRE(message.hasValue());
                                       received.push_back(*message);
                                   },
                               .onClosed = [this](std::string_view) { closed = true; }});
    }

    void send(const wire_message &inMessage) const
    {
        connection->send(encodePeerFrame(inMessage, core::boot_clock::now()));
    }
};

struct fixture
{
    kernel::event_loop loop;
    kernel::service_registry registry{loop};
    kernel::timer limit{loop, [this] { loop.stop(); }};
    kernel::timer poll{loop, [this] {
                           if (condition())
                               loop.stop();
                       }};
    kernel::timer beat{loop, [this] { sendHeartbeats(); }};
    std::function<bool()> condition;
    std::vector<std::unique_ptr<raw_peer>> accepted;
    /// The listener of entry-2.
    peer::listener listener{loop, [this](std::unique_ptr<peer::connection> inConnection) {
                                accepted.push_back(
                                    std::make_unique<raw_peer>(std::move(inConnection)));
                            }};
    peers_service *peers = nullptr;
    std::optional<peers_changed> view;
    std::vector<std::string> lost;
    std::vector<std::string> connected;
    std::vector<settings_request> requests;
    bool isSuperseded = false;
    std::uint64_t heartbeatFrom = 0;
    /// Connections with an index below this one are silent.
    std::size_t silentBelow = 0;

    fixture()
    {
        REQUIRE(listener.listen("127.0.0.1", 0));
        peers = &registry.add(std::make_unique<peers_service>(
            registry, peers_options{"entry-1", 1'000, {"127.0.0.1", 0}, {}}));
        REQUIRE(peers->listen());
        registry.handle<peers_changed>("test",
                                       [this](const peers_changed &inView) { view = inView; });
        registry.handle<peer_lost>(
            "test", [this](const peer_lost &inLost) { lost.push_back(inLost.instance); });
        registry.handle<peer_connected>("test", [this](const peer_connected &inConnected) {
            connected.push_back(inConnected.instance);
        });
        registry.handle<instance_superseded>(
            "test", [this](const instance_superseded &) { isSuperseded = true; });
        registry.handle<peer_received<settings_request>>(
            "test", [this](const peer_received<settings_request> &inReceived) {
                requests.push_back(inReceived.message);
            });
        const std::string text = "[instances]\nfailure_domain = \"north\"\n"
                                 "[instances.entry-1]\npeer_address = \"127.0.0.1:1\"\n"
                                 "[instances.entry-2]\npeer_address = \"127.0.0.1:"
            + std::to_string(listener.port()) + "\"\n";
        const auto tree = settings::settings_tree::sFromToml(text, "tree.toml");
        REQUIRE(tree.hasValue());
        registry.broadcast(
            settings_changed{std::make_shared<const settings::settings_index>(*tree)});
        registry.startAll();
    }

    ~fixture() { accepted.clear(); }

    bool waitFor(std::function<bool()> inCondition)
    {
        condition = std::move(inCondition);
        poll.startRepeating(1ms);
        limit.startOnce(20s);
        loop.run();
        poll.cancel();
        limit.cancel();
        return condition();
    }

    /// Answers on all connections of entry-2 that are not silent.
    void sendHeartbeats()
    {
        for (std::size_t index = silentBelow; index < accepted.size(); ++index) {
            raw_peer &link = *accepted[index];
            if (link.closed || link.received.empty())
                continue;
            if (link.received.size() == 1)
                link.send(peer_hello{"entry-2", heartbeatFrom, 1'000});
            link.send(peer_heartbeat{heartbeatFrom, 1, false, 1'000});
        }
    }

    void startPeer(std::uint64_t inIncarnation)
    {
        heartbeatFrom = inIncarnation;
        beat.startRepeating(50ms);
        REQUIRE(waitFor([&] { return view && view->live.size() == 2; }));
    }

    std::unique_ptr<raw_peer> dial()
    {
        return std::make_unique<raw_peer>(
            std::make_unique<peer::connection>(loop, "127.0.0.1", peers->port()));
    }
};

} // namespace

TEST_CASE("an instance without peers publishes its view only after the peers had time to connect")
{
    fixture test;
    const core::time_point start = core::boot_clock::now();
    REQUIRE(test.waitFor([&] { return test.view.has_value(); }));
    CHECK(core::boot_clock::now() - start > 2s);
    CHECK(test.view->live == std::vector<std::string>{"entry-1"});
}

TEST_CASE("messages pass in both directions and a silent peer is reported as down")
{
    fixture test;
    test.startPeer(500);
    CHECK(test.connected == std::vector<std::string>{"entry-2"});
    test.accepted.back()->send(peer_message(settings_request{7}));
    test.registry.post("peers", peer_send{"entry-2", settings_request{9}});
    REQUIRE(test.waitFor([&] { return !test.requests.empty(); }));
    CHECK(test.requests.front().afterOffset == 7);
    REQUIRE(test.waitFor([&] {
        const auto *message = std::get_if<peer_message>(&test.accepted.back()->received.back());
        return message != nullptr && std::holds_alternative<settings_request>(*message);
    }));
    test.beat.cancel();
    REQUIRE(test.waitFor([&] { return test.view->live.size() == 1; }));
    CHECK(test.lost.front() == "entry-2");
}

TEST_CASE("a silent connection is replaced while its peer stays live")
{
    fixture test;
    test.startPeer(500);
    test.silentBelow = test.accepted.size();
    REQUIRE(test.waitFor([&] { return test.connected.size() == 2; }));
    CHECK(test.lost == std::vector<std::string>{"entry-2"});
    CHECK(test.view->live.size() == 2);
}

TEST_CASE("a connection that sends an invalid frame or no hello is closed")
{
    fixture test;
    const auto invalidFrame = test.dial();
    invalidFrame->send(peer_hello{"entry-2", 500, 0});
    invalidFrame->connection->send("not a frame");
    const auto withoutHello = test.dial();
    withoutHello->send(peer_message(settings_request{1}));
    REQUIRE(test.waitFor([&] { return invalidFrame->closed && withoutHello->closed; }));
    CHECK(test.requests.empty());
}

TEST_CASE("messages of an instance that the tree does not name are ignored")
{
    fixture test;
    const auto unnamed = test.dial();
    unnamed->send(peer_hello{"entry-9", 500, 0});
    unnamed->send(peer_message(settings_request{1}));
    REQUIRE(test.waitFor([&] { return unnamed->closed; }));
    CHECK(test.requests.empty());
}

TEST_CASE("a newer process of a peer replaces the older one")
{
    fixture test;
    test.startPeer(500);
    const auto restarted = test.dial();
    restarted->send(peer_hello{"entry-2", 600, 0});
    restarted->send(peer_message(settings_request{1}));
    REQUIRE(test.waitFor([&] { return test.requests.size() == 1; }));
    const auto outdated = test.dial();
    outdated->send(peer_hello{"entry-2", 550, 0});
    outdated->send(peer_message(settings_request{2}));
    REQUIRE(test.waitFor([&] { return !outdated->received.empty(); }));
    // The outdated process learns from the hello which incarnation replaced it.
    CHECK(std::get<peer_hello>(outdated->received.front()).receiverIncarnation == 600);
    REQUIRE(test.waitFor([&] { return outdated->closed; }));
    CHECK(test.requests.size() == 1);
}

TEST_CASE("a process is notified that a newer process has its name")
{
    fixture test;
    const auto reporter = test.dial();
    reporter->send(peer_hello{"entry-2", 500, 999});
    reporter->send(peer_heartbeat{500, 1, false, 1'001});
    REQUIRE(test.waitFor([&] { return test.isSuperseded; }));
}
