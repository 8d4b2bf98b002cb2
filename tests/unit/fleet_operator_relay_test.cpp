// Guards against operator records that instances relay to each other many times over. Long records
// then fill the links, and configurations come into force too late.

#include "corneltally/catalog/catalog_service.h"
#include "corneltally/fleet/fleet_records.h"
#include "corneltally/fleet/mesh_service.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "tests/unit/catalog_mock_store.h"

#include <charconv>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using catalog_test::mock_store;

namespace {

/// The catalog and the mesh of one instance.
struct relay_instance
{
    core::metrics metrics;
    kernel::service_registry registry;
    mock_store *store = nullptr;
    fleet::mesh_service *mesh = nullptr;
    std::uint64_t version = 0;
    std::size_t live = 0;
    /// Age and end of the fleet topic as this instance knows it.
    core::time_point confirmedAt;
    store::position fleetEnd;
    bool wasAhead = false;

    relay_instance(kernel::event_loop &inLoop, const std::string &inName,
                   const std::shared_ptr<mock_store::topic_map> &inTopics)
        : registry(inLoop)
    {
        mesh = &registry.add(std::make_unique<fleet::mesh_service>(
            registry, metrics,
            fleet::mesh_options{.self = {inName, inName, "", "z", 1}, .listen = {"127.0.0.1", 0}}));
        REQUIRE(mesh->listen());
        auto created = std::make_unique<mock_store>(inLoop, inTopics);
        store = created.get();
        registry.add(std::make_unique<catalog::catalog_service<mock_store>>(
            registry, metrics, std::move(created),
            catalog::catalog_options{.instance = inName,
                                     .operatorTopic = platform::cOperatorTopic,
                                     .endpointTopic = platform::cEndpointTopic,
                                     .fleetTopic = fleet::cFleetTopic,
                                     .catchUp = {.storeTime = 1s, .answerTimeout = 10s}}));
        registry.handle<catalog::configuration_changed>(
            "test", [this](const catalog::configuration_changed &inChanged) {
                version = inChanged.table->version();
            });
        registry.handle<catalog::fleet_topic_updated>(
            "test", [this](const catalog::fleet_topic_updated &inUpdated) {
                if (inUpdated.update.asOf > confirmedAt)
                    confirmedAt = inUpdated.update.asOf;
                fleetEnd = inUpdated.update.end;
                wasAhead = wasAhead || inUpdated.update.asOf > core::boot_clock::now();
            });
        registry.handle<fleet::heartbeat_due>("test", [this](const fleet::heartbeat_due &) {
            registry.post("mesh", fleet::heartbeat_part{});
        });
        registry.handle<fleet::instances_changed>(
            "test",
            [this](const fleet::instances_changed &inChanged) { live = inChanged.live.size(); });
    }

    std::uint64_t counter(const std::string &inName) const
    {
        const std::string text = metrics.toText();
        const std::string start = "\ncorneltally_" + inName + " ";
        const auto found = text.find(start);
        std::uint64_t value = 0;
        if (found != std::string::npos)
            std::from_chars(text.data() + found + start.size(), text.data() + text.size(), value);
        return value;
    }
};

/// Instances that share a store and are connected to each other over the loopback interface.
struct relay_fixture
{
    static constexpr int cInstances = 6;

    kernel::event_loop loop;
    std::shared_ptr<mock_store::topic_map> topics = std::make_shared<mock_store::topic_map>();
    std::vector<std::unique_ptr<relay_instance>> instances;

    relay_fixture()
    {
        putConfiguration(7, 0);
        for (int index = 0; index < cInstances; ++index)
            instances.push_back(
                std::make_unique<relay_instance>(loop, "i" + std::to_string(index), topics));
        for (const auto &instance : instances)
            instance->registry.startAll();
        REQUIRE(runUntil([this] {
            return std::ranges::all_of(instances, [](const auto &inInstance) {
                return inInstance->live == cInstances - 1 && inInstance->version == 7;
            });
        }));
    }

    void putConfiguration(int inVersion, std::size_t inBytes)
    {
        (*topics)[platform::cOperatorTopic].put("config",
                                                R"({"version":)" + std::to_string(inVersion)
                                                    + R"(,"routes":[],"comment":")"
                                                    + std::string(inBytes, 'x') + "\"}");
    }

    void run(core::duration inTime)
    {
        kernel::timer end(loop, [this] { loop.stop(); });
        end.startOnce(inTime);
        loop.run();
    }

    template <typename Condition>
    bool runUntil(Condition inCondition)
    {
        const core::time_point end = core::boot_clock::now() + 20s;
        while (!inCondition() && core::boot_clock::now() < end)
            run(20ms);
        return inCondition();
    }

    /// Reads of a topic that the instances other than the first sent to the store.
    std::size_t readsOfOthers(const std::string &inTopic) const
    {
        std::size_t sum = 0;
        for (std::size_t index = 1; index < instances.size(); ++index)
            sum += instances[index]->store->waits[inTopic].size();
        return sum;
    }

    std::uint64_t relayed() const
    {
        std::uint64_t sum = 0;
        for (const auto &instance : instances)
            sum += instance->counter("operator_records_relayed_total");
        return sum;
    }
};

} // namespace

// Failure: each instance that has a record relays it to one that lacks it, with each heartbeat.
TEST_CASE("an instance that the store does not answer gets a record from one other instance")
{
    relay_fixture fixture;
    relay_instance &silent = *fixture.instances.back();
    // Once the reader relays, it reads the store only when it is told of a long record.
    fixture.run(500ms);
    silent.store->silentTopics = {platform::cOperatorTopic};
    const std::uint64_t before = fixture.relayed();
    fixture.putConfiguration(8, 300'000);
    CHECK(fixture.runUntil([&] { return silent.version == 8; }));
    CHECK(silent.store->silentTopics.empty());
    // Relays that are still on their way are counted as well.
    fixture.run(500ms);
    CHECK(fixture.relayed() - before == 1);
}

// Failure: a record beyond the size limit of a frame is dropped without notice.
TEST_CASE("a long record is relayed as well")
{
    relay_fixture fixture;
    relay_instance &silent = *fixture.instances.back();
    fixture.run(500ms);
    silent.store->silentTopics = {platform::cOperatorTopic};
    fixture.putConfiguration(8, 3'000'000);
    CHECK(fixture.runUntil([&] { return silent.version == 8; }));
    CHECK(silent.store->silentTopics.empty());
}

// Failure: instances that read a record from the store a little later are sent it as well.
TEST_CASE("instances with slower links to the store are relayed nothing")
{
    relay_fixture fixture;
    for (int index = 0; index < relay_fixture::cInstances; index += 2)
        fixture.instances[index]->store->answerTime = 250ms;
    fixture.run(500ms);
    const std::uint64_t before = fixture.relayed();
    fixture.putConfiguration(8, 300'000);
    CHECK(fixture.runUntil([&] {
        return std::ranges::all_of(fixture.instances,
                                   [](const auto &inInstance) { return inInstance->version == 8; });
    }));
    fixture.run(500ms);
    CHECK(fixture.relayed() == before);
}

// Failure: an instance that the store turns away, or one that relies on the reader of its failure
// domain, compares its position before a restore with the offsets after it.
TEST_CASE("a configuration written after a restore of the store reaches all instances")
{
    relay_fixture fixture;
    for (int version = 8; version <= 12; ++version)
        fixture.putConfiguration(version, 0);
    const auto inForce = [&](std::uint64_t inVersion) {
        return fixture.runUntil([&] {
            return std::ranges::all_of(fixture.instances, [&](const auto &inInstance) {
                return inInstance->version == inVersion;
            });
        });
    };
    REQUIRE(inForce(12));
    for (auto &[name, topic] : *fixture.topics)
        topic.restore(std::min<std::uint64_t>(topic.end, 2));
    fixture.instances.back()->store->unavailable = true;
    fixture.putConfiguration(13, 0);
    const core::time_point put = core::boot_clock::now();
    CHECK(inForce(13));
    // The operator's bound for an instance that reaches the store or another one.
    CHECK(core::boot_clock::now() - put < 2s);
}

// Failure: each instance reads all topics, and each record ends the waiting reads of all.
TEST_CASE("one instance of a failure domain reads the topics, and the others stay as recent")
{
    relay_fixture fixture;
    fixture.run(2s);
    const std::vector<std::string> topics{platform::cOperatorTopic, platform::cEndpointTopic,
                                          fleet::cFleetTopic};
    std::vector<std::size_t> before;
    before.reserve(topics.size());
    for (const std::string &topic : topics)
        before.push_back(fixture.readsOfOthers(topic));
    const store::position end = fixture.instances.front()->fleetEnd;
    (*fixture.topics)[fleet::cFleetTopic].put("engine/e1", "{}");
    CHECK(fixture.runUntil([&] {
        return std::ranges::all_of(
            fixture.instances, [&](const auto &inInstance) { return inInstance->fleetEnd > end; });
    }));
    fixture.run(2s);
    for (std::size_t index = 0; index < topics.size(); ++index)
        CHECK(fixture.readsOfOthers(topics[index]) == before[index]);
    for (const auto &instance : fixture.instances) {
        CHECK(core::boot_clock::now() - instance->confirmedAt < 4s);
        CHECK_FALSE(instance->wasAhead);
    }
}

// Failure: the reader is turned away by the store while it still serves the others, or answers
// nobody, and its failure domain works with old records.
TEST_CASE("another instance reads the topics when the store turns the reader away")
{
    relay_fixture fixture;
    fixture.run(1s);
    relay_instance &reader = *fixture.instances.front();
    reader.store->unavailable = true;
    fixture.run(3s);
    fixture.putConfiguration(8, 100);
    const core::time_point put = core::boot_clock::now();
    CHECK(fixture.runUntil([&] {
        return std::ranges::all_of(fixture.instances,
                                   [](const auto &inInstance) { return inInstance->version == 8; });
    }));
    CHECK(core::boot_clock::now() - put < 2s);
    for (std::size_t index = 1; index < fixture.instances.size(); ++index)
        CHECK(core::boot_clock::now() - fixture.instances[index]->confirmedAt < 4s);
}

// Failure: the reader's connection for the operator records is dead while its other reads work, and
// no instance of the failure domain learns of a new configuration.
TEST_CASE("a configuration comes into force although the reader's reads of it are not answered")
{
    relay_fixture fixture;
    fixture.run(1s);
    relay_instance &reader = *fixture.instances.front();
    reader.store->silentTopics = {platform::cOperatorTopic};
    REQUIRE(fixture.runUntil([&] { return reader.store->silentTopics.empty(); }));
    fixture.putConfiguration(8, 100);
    const core::time_point put = core::boot_clock::now();
    CHECK(fixture.runUntil([&] {
        return std::ranges::all_of(fixture.instances,
                                   [](const auto &inInstance) { return inInstance->version == 8; });
    }));
    CHECK(core::boot_clock::now() - put < 8s);
}

// Failure: the age of relayed records is taken from when they arrive, so that a holder whose reader
// was frozen or slow orders on claims that are old.
TEST_CASE("relayed records of the instances are as old as the heartbeat that preceded their read")
{
    relay_fixture fixture;
    fixture.run(1s);
    relay_instance &reader = *fixture.instances.front();
    // The store answers the reader late: what it then relays was read when the answer began.
    reader.store->answerTime = 1200ms;
    fixture.run(500ms);
    relay_instance &receiver = *fixture.instances.back();
    int relayed = 0;
    for (int step = 0; step < 80; ++step) {
        const core::time_point before = receiver.confirmedAt;
        const std::size_t reads = receiver.store->waits[fleet::cFleetTopic].size();
        fixture.run(50ms);
        // Updates that the receiver has not read itself were relayed.
        if (receiver.confirmedAt == before
            || receiver.store->waits[fleet::cFleetTopic].size() != reads)
            continue;
        ++relayed;
        CHECK(core::boot_clock::now() - receiver.confirmedAt >= 1100ms);
    }
    CHECK(relayed >= 2);
}
