// Guards against a release during which instances of the former release, which exchange heartbeats
// with all instances, lose sight of those of the current one: they would take over their engines.

#include "corneltally/core/metrics.h"
#include "corneltally/fleet/fleet_codec.h"
#include "corneltally/fleet/mesh_service.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/peer/connection.h"
#include "corneltally/peer/listener.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

/// An instance of the current release without a store.
struct current_instance
{
    core::metrics metrics;
    kernel::service_registry registry;
    fleet::mesh_service *mesh = nullptr;
    std::vector<fleet::live_candidate> live;
    std::vector<std::string> claimants;
    std::set<std::string> summarized;
    std::map<std::string, int> heartbeats;

    current_instance(kernel::event_loop &inLoop, const std::string &inName,
                     const std::string &inDomain, const std::vector<std::string> &inSeeds)
        : registry(inLoop)
    {
        mesh = &registry.add(std::make_unique<fleet::mesh_service>(
            registry, metrics,
            fleet::mesh_options{.self = {inName, inName, "", inDomain, 1},
                                .listen = {"127.0.0.1", 0},
                                .seeds = inSeeds}));
        REQUIRE(mesh->listen());
        registry.handle<fleet::heartbeat_due>("test", [this](const fleet::heartbeat_due &) {
            registry.post("mesh", fleet::heartbeat_part{});
        });
        registry.handle<fleet::instances_changed>(
            "test", [this](const fleet::instances_changed &inChanged) {
                live = inChanged.live;
                claimants = inChanged.claimants;
            });
        registry.handle<fleet::domain_summary_received>(
            "test", [this](const fleet::domain_summary_received &inReceived) {
                for (const fleet::summarized_instance &entry : inReceived.summary->instances)
                    summarized.insert(entry.instance);
            });
        registry.handle<fleet::mesh_received>(
            "test", [this](const fleet::mesh_received &inReceived) {
                if (std::holds_alternative<fleet::heartbeat>(inReceived.body))
                    ++heartbeats[inReceived.instance];
            });
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(mesh->port()); }

    bool sees(const std::string &inInstance) const
    {
        return std::ranges::find(live, inInstance, &fleet::live_candidate::name) != live.end();
    }
};

/// Speaks as an instance of the former release does.
struct former_instance
{
    kernel::event_loop &loop;
    peer::listener listener;
    std::vector<std::unique_ptr<peer::connection>> incoming;
    std::vector<std::unique_ptr<peer::connection>> outgoing;
    kernel::timer timer;
    /// Heartbeats by sender, and those whose sender hears this instance.
    std::map<std::string, int> heartbeats;
    std::map<std::string, int> reports;
    bool receivedSummary = false;
    bool receivedPermit = false;
    std::uint16_t protocol = 0;

    explicit former_instance(kernel::event_loop &inLoop)
        : loop(inLoop)
        , listener(inLoop,
                   [this](std::unique_ptr<peer::connection> inConnection) {
                       accept(std::move(inConnection));
                   })
        , timer(inLoop, [this] {
            for (const auto &connection : outgoing)
                connection->send(
                    fleet::encode(fleet::heartbeat{.receiverLive = true}, core::boot_clock::now()));
        })
    {
        REQUIRE(listener.listen("127.0.0.1", 0));
        timer.startRepeating(200ms);
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(listener.port()); }

    void accept(std::unique_ptr<peer::connection> inConnection)
    {
        const auto sender = std::make_shared<std::string>();
        inConnection->setEvents(
            {.onFrame =
                 [this, sender](std::string_view inBody) {
                     const auto decoded = fleet::decode(inBody, core::boot_clock::now());
                     REQUIRE(decoded);
                     if (const auto *first = std::get_if<fleet::hello>(&*decoded))
                         *sender = first->instance;
                     if (const auto *beat = std::get_if<fleet::heartbeat>(&*decoded)) {
                         ++heartbeats[*sender];
                         reports[*sender] += beat->receiverLive ? 1 : 0;
                     }
                     receivedSummary = receivedSummary
                         || std::holds_alternative<fleet::domain_summary>(*decoded);
                     receivedPermit = receivedPermit
                         || std::holds_alternative<fleet::permit_wanted>(*decoded)
                         || std::holds_alternative<fleet::permit_reply>(*decoded);
                 },
             .onClosed = {}});
        incoming.push_back(std::move(inConnection));
    }

    void connectTo(const current_instance &inTarget, const std::string &inDomain)
    {
        auto connection
            = std::make_unique<peer::connection>(loop, "127.0.0.1", inTarget.mesh->port());
        connection->send(
            fleet::encode(fleet::hello{"former", "former", address(), inDomain, 1, {}, protocol},
                          core::boot_clock::now()));
        outgoing.push_back(std::move(connection));
    }
};

} // namespace

TEST_CASE("instances of the former and the current release see each other across domains")
{
    kernel::event_loop loop;
    current_instance north(loop, "north-1", "north", {});
    current_instance south(loop, "south-1", "south", {north.address()});
    former_instance former(loop);
    north.registry.startAll();
    south.registry.startAll();
    former.connectTo(north, "north");
    former.connectTo(south, "north");
    const auto run = [&](core::duration inTime) {
        kernel::timer end(loop, [&] { loop.stop(); });
        end.startOnce(inTime);
        loop.run();
    };
    const core::time_point limit = core::boot_clock::now() + 20s;
    const auto isConnected = [&] {
        return north.sees("former") && south.sees("former") && north.sees("south-1")
            && south.sees("north-1") && former.reports["north-1"] > 5
            && former.reports["south-1"] > 5;
    };
    while (!isConnected() && core::boot_clock::now() < limit)
        run(50ms);
    CHECK(north.sees("former"));
    CHECK(south.sees("former"));
    CHECK(former.reports["north-1"] > 5);
    CHECK(former.reports["south-1"] > 5);
    CHECK_FALSE(former.receivedSummary);
    // The two of the current release know each other through summaries, which leave out what the
    // former one reports to all itself.
    CHECK(north.sees("south-1"));
    CHECK(south.sees("north-1"));
    CHECK(south.summarized == std::set<std::string>{"north-1"});
    CHECK(south.heartbeats["north-1"] == 0);
    CHECK(south.heartbeats["former"] > 5);
    // A holder needs the reports of an instance that may claim by the former rules.
    CHECK(std::ranges::find(south.claimants, "former") != south.claimants.end());
    CHECK(std::ranges::find(south.claimants, "north-1") == south.claimants.end());
}

// Failure: an instance asks a holder of the former release for a permit, and that one closes the
// connection on which it receives the unknown message.
TEST_CASE("permits are asked only of instances whose release knows them")
{
    const std::uint16_t protocol = GENERATE(0, 1, 2);
    CAPTURE(protocol);
    kernel::event_loop loop;
    current_instance north(loop, "north-1", "north", {});
    former_instance former(loop);
    former.protocol = protocol;
    north.registry.startAll();
    former.connectTo(north, "north");
    const auto run = [&](core::duration inTime) {
        kernel::timer end(loop, [&] { loop.stop(); });
        end.startOnce(inTime);
        loop.run();
    };
    const core::time_point limit = core::boot_clock::now() + 20s;
    while (!north.sees("former") && core::boot_clock::now() < limit)
        run(50ms);
    REQUIRE(north.sees("former"));
    north.registry.post("mesh", fleet::mesh_send{"former", fleet::permit_wanted{"e1", 1}});
    north.registry.post("mesh", fleet::mesh_send{"former", fleet::permit_reply{1, true}});
    const int before = former.heartbeats["north-1"];
    while (former.heartbeats["north-1"] < before + 3 && core::boot_clock::now() < limit)
        run(50ms);
    CHECK(former.heartbeats["north-1"] >= before + 3);
    CHECK(former.receivedPermit == (protocol >= fleet::cPermitProtocol));
}
