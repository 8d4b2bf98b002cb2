// Guards against orders to engines of an evacuated failure domain, and against requests for loads
// there that are left waiting.

#include "corneltally/catalog/evacuation_messages.h"
#include "corneltally/core/metrics.h"
#include "corneltally/fleet/fleet_records.h"
#include "corneltally/orders/order_service.h"
#include "corneltally/routing/routing_table.h"
#include "forwarding_front_fixture.h"

#include <algorithm>

using namespace corneltally;
using namespace std::chrono_literals;
using front_test::endpoint_server;
using front_test::scripted_answer;

namespace {

std::string jsonAnswer(int inStatus, const std::string &inBody)
{
    return "HTTP/1.1 " + std::to_string(inStatus)
        + " X\r\nContent-Length: " + std::to_string(inBody.size()) + "\r\n\r\n" + inBody;
}

/// An order service that holds the engine "e1" in the failure domain "north".
struct order_fixture
{
    kernel::event_loop loop;
    core::metrics metrics;
    kernel::service_registry registry{loop};
    endpoint_server engine{loop};
    int orders = 0;
    std::uint64_t topicEnd = 0;
    std::vector<std::string> informed;
    std::vector<fleet::engine_state> states;

    orders::order_service *service = nullptr;

    order_fixture()
    {
        engine.answers = [this](const std::string &inRequest) {
            if (inRequest.starts_with("GET"))
                return scripted_answer{jsonAnswer(200,
                                                  R"({"born":1,"sequence":)"
                                                      + std::to_string(orders)
                                                      + R"(,"models":[{"name":"base"}]})")};
            ++orders;
            return scripted_answer{jsonAnswer(202, "{}")};
        };
        orders::order_options options{.self = {"a", "machine", 1, 0, "north"},
                                      .failureDomain = "north"};
        options.claims.handoverPause = 0ms;
        options.claims.handoverMargin = 0ms;
        options.claims.firstClaimDelay = 50ms;
        options.confirmsEvacuations = true;
        service = &registry.add(
            std::make_unique<orders::order_service>(registry, metrics, std::move(options)));
        registry.handle<catalog::fleet_topic_append>(
            "catalog", [this](const catalog::fleet_topic_append &inAppend) {
                append(inAppend.records);
                registry.post("orders",
                              catalog::fleet_topic_append_ended{
                                  {store::append_result::status::accepted, {}}});
            });
        registry.handle<catalog::fleet_topic_poll>(
            "catalog", [this](const catalog::fleet_topic_poll &) { append({}); });
        registry.handle<catalog::evacuation_unknown>(
            "catalog", [this](const catalog::evacuation_unknown &inUnknown) {
                informed.push_back(inUnknown.instance);
            });
        registry.handle<fleet::mesh_send>("mesh", [this](const fleet::mesh_send &inSend) {
            if (const auto *state = std::get_if<fleet::engine_state>(&inSend.body))
                states.push_back(*state);
        });
        service->start();
        registry.broadcast(catalog::configuration_changed{
            std::make_shared<const routing::routing_table>(routing::configuration{
                .version = 1,
                .services
                = {{.name = "models",
                    .engine = routing::engine_profile{.batch = 64,
                                                      .memoryTokens = 200'000,
                                                      .weightsMb = 1000,
                                                      .adapterSlots = 4,
                                                      .models = {{"base", 500, 100, 1}}}}}})});
        registry.broadcast(catalog::endpoint_changed{
            {.id = "e1",
             .service = "models",
             .address = {"127.0.0.1", engine.listener.port()},
             .failureDomain = "north",
             .capacity = 4,
             .startedMs = 1,
             .models = {{.name = "base", .version = 1, .adapters = {}}}}});
        append({fleet::memberRecord({"a", "machine", "127.0.0.1:1", "north", 1})});
    }

    void append(std::vector<store::record> inRecords)
    {
        const std::uint64_t from = topicEnd;
        for (store::record &record : inRecords)
            record.position = {0, topicEnd++};
        registry.broadcast(catalog::fleet_topic_updated{{.records = std::move(inRecords),
                                                         .asOf = core::boot_clock::now(),
                                                         .from = {0, from},
                                                         .end = {0, topicEnd}}});
    }

    void want(const std::string &inAdapter)
    {
        registry.broadcast(
            fleet::mesh_received{"b", 1, fleet::load_wanted{"e1", 1, "base", inAdapter, 0, 100}});
    }

    void run(core::duration inTime)
    {
        kernel::timer end(loop, [this] { loop.stop(); });
        end.startOnce(inTime);
        loop.run();
    }

    bool runUntil(const std::function<bool()> &inCondition)
    {
        const core::time_point end = core::boot_clock::now() + 8s;
        while (!inCondition() && core::boot_clock::now() < end)
            run(20ms);
        return inCondition();
    }

    bool isReady() const { return !states.empty() && states.back().ready; }
};

} // namespace

TEST_CASE("engines of an evacuated failure domain get no orders, and loads there are declined")
{
    order_fixture fixture;
    REQUIRE(fixture.runUntil([&] { return fixture.isReady(); }));
    fixture.want("a1");
    REQUIRE(fixture.runUntil([&] { return fixture.orders == 1; }));
    // This load waits at the holder when the evacuation begins.
    fixture.want("a2");
    fixture.registry.broadcast(catalog::evacuation_changed{"north", true, {0, 5}});
    fixture.run(100ms);
    const int before = fixture.orders;
    CHECK_FALSE(fixture.isReady());
    CHECK(fixture.informed.empty());
    fixture.want("a3");
    fixture.registry.broadcast(catalog::adapter_version_named{"base", "a1", 2});
    fixture.run(1500ms);
    CHECK(fixture.orders == before);
    // The instance that asked did not know of the evacuation.
    CHECK(fixture.informed == std::vector<std::string>{"b"});
    fixture.registry.broadcast(catalog::evacuation_changed{"north", false, {0, 6}});
    CHECK(fixture.runUntil([&] { return fixture.isReady(); }));
    fixture.want("a4");
    CHECK(fixture.runUntil([&] { return fixture.orders > before; }));
}

// Failure: a holder that was paused when the evacuation began gives orders on what it knew before.
TEST_CASE("after a process pause a holder gives no orders until it has read the operator's records")
{
    order_fixture fixture;
    REQUIRE(fixture.runUntil([&] { return fixture.isReady(); }));
    fixture.service->processPaused();
    const core::time_point paused = core::boot_clock::now();
    fixture.want("a1");
    fixture.run(200ms);
    CHECK(fixture.orders == 0);
    fixture.registry.broadcast(catalog::operator_records_confirmed{paused});
    fixture.run(100ms);
    CHECK(fixture.orders == 1);
}
