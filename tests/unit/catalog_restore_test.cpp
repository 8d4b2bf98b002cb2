// Guards against configurations, evacuations and endpoints that are hidden, replaced or dropped
// after the store was restored from an older copy, which gives offsets out again.

#include "corneltally/catalog/catalog_service.h"
#include "corneltally/catalog/evacuation_tracker.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "tests/unit/catalog_mock_store.h"

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using catalog_test::mock_store;

namespace {

std::string configuration(int inVersion)
{
    return R"({"version":)" + std::to_string(inVersion) + R"(,"routes":[]})";
}

const std::string cEntry = R"({"service":"s","address":"10.0.0.9:80","zone":"z","capacity":1,)"
                           R"("state":"ready"})";

/// The catalog of an instance whose store was restored before, so that its era is told.
struct restored_catalog
{
    kernel::event_loop loop;
    core::metrics metrics;
    kernel::service_registry registry{loop};
    mock_store *store = nullptr;
    std::vector<std::uint64_t> versions;
    std::vector<std::uint64_t> adapterVersions;
    std::vector<catalog::operator_records_request> requests;
    std::vector<catalog::operator_records_relay> relays;
    std::vector<catalog::endpoints_listed> listings;
    catalog::operator_progress progress;

    explicit restored_catalog(std::uint64_t inEra = 1)
    {
        auto created = std::make_unique<mock_store>(loop);
        store = created.get();
        for (const std::string &topic :
             {platform::cOperatorTopic, platform::cEndpointTopic, std::string("keyed.fleet")})
            store->topics[topic].era = inEra;
        registry.add(std::make_unique<catalog::catalog_service<mock_store>>(
            registry, metrics, std::move(created),
            catalog::catalog_options{.instance = "a",
                                     .operatorTopic = platform::cOperatorTopic,
                                     .endpointTopic = platform::cEndpointTopic,
                                     .fleetTopic = "keyed.fleet",
                                     .endpointPause = 20ms,
                                     .firstPause = 20ms}));
        registry.handle<catalog::configuration_changed>(
            "test", [this](const catalog::configuration_changed &inChanged) {
                versions.push_back(inChanged.table->version());
            });
        registry.handle<catalog::adapter_version_named>(
            "test", [this](const catalog::adapter_version_named &inNamed) {
                adapterVersions.push_back(inNamed.version);
            });
        registry.handle<catalog::operator_records_request>(
            "test", [this](const catalog::operator_records_request &inRequest) {
                requests.push_back(inRequest);
            });
        registry.handle<catalog::operator_records_relay>(
            "test",
            [this](const catalog::operator_records_relay &inRelay) { relays.push_back(inRelay); });
        registry.handle<catalog::endpoints_listed>(
            "test",
            [this](const catalog::endpoints_listed &inListed) { listings.push_back(inListed); });
        registry.handle<catalog::operator_progress_changed>(
            "test", [this](const catalog::operator_progress_changed &inChanged) {
                progress = inChanged.progress;
            });
    }

    mock_store::topic &operatorTopic() { return store->topics[platform::cOperatorTopic]; }

    void putConfiguration(int inVersion)
    {
        operatorTopic().put("config", configuration(inVersion));
    }

    void nameVersion(int inVersion)
    {
        operatorTopic().put("version/m.a",
                            R"({"model":"m","adapter":"a","version":)" + std::to_string(inVersion)
                                + "}");
    }

    /// The operator's records with the versions 1 to 5, each read at once.
    void start()
    {
        registry.startAll();
        registry.broadcast(catalog::reader_changed{.reads = true});
        for (int version = 1; version <= 5; ++version) {
            putConfiguration(version);
            nameVersion(version);
            run(30ms);
        }
        REQUIRE(versions.back() == 5);
    }

    void run(core::duration inTime)
    {
        kernel::timer end(loop, [this] { loop.stop(); });
        end.startOnce(inTime);
        loop.run();
    }
};

} // namespace

// Failure: records at offsets that the store gave out before are taken for known ones, and
// instances work by an older configuration until the former offsets are reached again.
TEST_CASE("records written after a restore are in force, wherever the topic ends by then")
{
    // Records that the copy has, and configurations written before the next read.
    for (const auto &[copied, written] : {std::pair(2U, 1), std::pair(2U, 7), std::pair(2U, 8),
                                          std::pair(2U, 20), std::pair(9U, 1)}) {
        for (const std::uint64_t era : {1U, 0U}) {
            CAPTURE(copied, written, era);
            restored_catalog instance(era);
            instance.start();
            // No answer shows that a store was restored that does not tell its era and has as many
            // records as before.
            if (era == 0 && copied + written + 1 >= instance.operatorTopic().end)
                continue;
            instance.operatorTopic().restore(copied);
            instance.operatorTopic().era = era == 0 ? 0 : 2;
            for (int index = 0; index < written; ++index)
                instance.putConfiguration(6 + index);
            instance.nameVersion(6);
            instance.run(500ms);
            CHECK(instance.versions.back() == 5U + written);
            CHECK(instance.adapterVersions.back() == 6);
            instance.putConfiguration(40);
            instance.nameVersion(7);
            instance.run(500ms);
            CHECK(instance.versions.back() == 40);
            CHECK(instance.adapterVersions.back() == 7);
        }
    }
}

TEST_CASE("a configuration that the store has lost stays in force until a newer one is written")
{
    restored_catalog instance;
    instance.start();
    const std::vector<std::uint64_t> before = instance.versions;
    instance.operatorTopic().restore(3);
    instance.run(300ms);
    instance.putConfiguration(4);
    instance.run(300ms);
    CHECK(instance.versions == before);
    CHECK(instance.progress == catalog::operator_progress{{2, 4}, 5});
    instance.putConfiguration(5);
    instance.putConfiguration(6);
    instance.run(300ms);
    CHECK(instance.versions.back() == 6);
}

// Failure: a record that another instance read before the restore has the offset that the store
// gives to a newer configuration.
TEST_CASE("a record from before a restore does not hide a newer one at its offset")
{
    restored_catalog instance;
    instance.start();
    instance.operatorTopic().restore(4);
    instance.run(300ms);
    instance.registry.post("catalog",
                           catalog::operator_records_received{
                               {{"config", configuration(8), {1, 5}}}, {1, 0}, {1, 30}});
    instance.run(50ms);
    CHECK(instance.versions.back() == 8);
    CHECK(instance.progress.end == store::position(2, 4));
    instance.putConfiguration(9);
    instance.putConfiguration(10);
    instance.run(300ms);
    CHECK(instance.versions.back() == 10);
}

// Failure: an instance that starts after a restore reads an older configuration than the others
// have, and nothing tells it of theirs until the operator writes again.
TEST_CASE("a configuration that the store has lost is relayed to instances that lack it")
{
    restored_catalog holder;
    holder.start();
    holder.operatorTopic().restore(2);
    holder.run(300ms);
    restored_catalog started(2);
    started.putConfiguration(1);
    started.registry.startAll();
    started.run(50ms);
    CHECK(started.versions.back() == 1);
    started.registry.post("catalog", catalog::operator_progress_reported{"b", {{1, 10}, 5}});
    // Another one with records that the store may still deliver.
    started.registry.post("catalog", catalog::operator_progress_reported{"c", {{2, 3}, 1}});
    started.run(20ms);
    REQUIRE(started.requests.size() == 1);
    CHECK(started.requests.front().instance == "b");
    holder.registry.post("catalog",
                         catalog::operator_records_requested{"a", started.requests.front().from});
    holder.run(20ms);
    REQUIRE(holder.relays.size() == 1);
    const catalog::operator_records_relay &relay = holder.relays.front();
    started.registry.post("catalog",
                          catalog::operator_records_received{relay.records, relay.from, relay.end});
    started.run(20ms);
    CHECK(started.versions.back() == 5);
    CHECK(started.adapterVersions.back() == 5);
    CHECK(started.progress.configuration == 5);
}

// Failure: the read of one topic waits at a process of the store that is gone, while those of the
// other topics show that the store was restored.
TEST_CASE("all topics are read anew as soon as the answer to one read shows a restore")
{
    restored_catalog instance;
    instance.start();
    instance.store->silentTopics = {platform::cOperatorTopic};
    instance.run(100ms);
    REQUIRE(instance.store->silentTopics.empty());
    for (auto &[name, topic] : instance.store->topics)
        topic.restore(std::min<std::uint64_t>(topic.end, 3));
    instance.putConfiguration(6);
    instance.run(300ms);
    CHECK(instance.versions.back() == 6);
    CHECK(instance.metrics.toText().find("store_era 2") != std::string::npos);
}

// Failure: an instance whose topics another one reads keeps the records of before a restore until
// the other one's next relay, or its silence.
TEST_CASE("a late relay from before a restore does not end the reading of the topic anew")
{
    restored_catalog instance;
    mock_store::topic &fleet = instance.store->topics["keyed.fleet"];
    instance.store->put("keyed.fleet", "engine/e1", "{}");
    store::position end;
    instance.registry.handle<catalog::fleet_topic_updated>(
        "test",
        [&end](const catalog::fleet_topic_updated &inUpdated) { end = inUpdated.update.end; });
    instance.start();
    instance.registry.broadcast(catalog::reader_changed{.reads = false});
    instance.run(400ms);
    REQUIRE(end == store::position(1, 1));
    const int newestReads = instance.store->newestReads;
    instance.store->answerTime = 100ms;
    fleet.restore(0);
    for (int wait = 0; wait < 100 && instance.store->newestReads == newestReads; ++wait)
        instance.run(10ms);
    instance.registry.post(
        "catalog",
        catalog::fleet_records_received{
            {.records = {}, .asOf = core::boot_clock::now(), .from = {1, 1}, .end = {1, 2}}});
    instance.run(300ms);
    CHECK(end == store::position(2, 0));
}

TEST_CASE("endpoints that a restored store lacks may return")
{
    restored_catalog instance;
    instance.store->put(platform::cEndpointTopic, "e1", cEntry);
    instance.store->put(platform::cEndpointTopic, "e2", cEntry);
    instance.start();
    instance.store->topics[platform::cEndpointTopic].restore(1);
    instance.run(200ms);
    REQUIRE(instance.listings.size() == 2);
    CHECK(instance.listings.back().ids == std::vector<std::string>{"e1"});
    CHECK(instance.listings.back().mayReturn);
}

// Failure: an endpoint that leaves, or is gone, gets requests again since the copy has its entry of
// before.
TEST_CASE("entries that a restored store has from before a departure are not used at once")
{
    restored_catalog instance;
    std::vector<std::string> events;
    instance.registry.handle<catalog::endpoint_changed>(
        "test", [&events](const catalog::endpoint_changed &inChanged) {
            events.push_back(inChanged.entry.id + (inChanged.entry.leaving ? " leaves" : " ready"));
        });
    const std::string leaving
        = R"({"service":"s","address":"10.0.0.9:80","zone":"z","capacity":1,"state":"draining"})";
    const std::string restarted
        = R"({"service":"s","address":"10.0.0.9:81","zone":"z","capacity":1,"state":"ready"})";
    for (const char *id : {"gone", "leaving", "other", "stays"})
        instance.store->put(platform::cEndpointTopic, id, cEntry);
    instance.start();
    instance.store->put(platform::cEndpointTopic, "leaving", leaving);
    instance.store->put(platform::cEndpointTopic, "gone", std::nullopt);
    instance.store->put(platform::cEndpointTopic, "other", std::nullopt);
    instance.run(100ms);
    events.clear();
    instance.store->topics[platform::cEndpointTopic].restore(4);
    instance.run(100ms);
    CHECK(events.empty());
    // One writes its entry again, another one starts anew, and the third is gone.
    instance.store->put(platform::cEndpointTopic, "leaving", leaving);
    instance.store->put(platform::cEndpointTopic, "other", restarted);
    instance.store->put(platform::cEndpointTopic, "gone", std::nullopt);
    instance.run(3s);
    CHECK(events == std::vector<std::string>{"other ready"});
    // An entry that is still there after that time is in force.
    instance.store->put(platform::cEndpointTopic, "other", std::nullopt);
    instance.run(100ms);
    instance.store->topics[platform::cEndpointTopic].restore(7);
    instance.run(3s);
    CHECK(events == std::vector<std::string>{"other ready", "other ready"});
}

// Failure: an append that was decided on records of before a restore takes effect after others.
TEST_CASE("an append is refused if the store was restored since the read that it rests on")
{
    restored_catalog instance;
    instance.store->put("keyed.fleet", "engine/e1", "{}");
    instance.start();
    std::vector<store::append_result::status> outcomes;
    instance.registry.handle<catalog::fleet_topic_append_ended>(
        "test", [&](const catalog::fleet_topic_append_ended &inEnded) {
            outcomes.push_back(inEnded.result.outcome);
        });
    for (auto &[name, topic] : instance.store->topics)
        topic.restore(0);
    instance.store->put("keyed.fleet", "engine/e1", "{}");
    instance.run(300ms);
    for (const std::uint64_t era : {1U, 2U})
        instance.registry.post(
            "catalog",
            catalog::fleet_topic_append{"test", {{"engine/e1", "{}"}}, store::position(era, 1)});
    instance.run(50ms);
    using status = store::append_result::status;
    CHECK(outcomes == std::vector<status>{status::conflict, status::accepted});
}

// Failure: an evacuation ends with the restore that loses its record, or never ends since its
// deletion was lost as well.
TEST_CASE("an evacuation whose record is lost stays in force while the operator may write it again")
{
    for (const bool isWrittenAgain : {true, false}) {
        CAPTURE(isWrittenAgain);
        kernel::event_loop loop;
        kernel::service_registry registry(loop);
        core::metrics metrics;
        catalog::evacuation_tracker tracker(registry, metrics);
        core::time_point now{1h};
        tracker.apply({{"evacuate/north", "{}", {1, 7}}}, {1, 7}, {1, 8}, "store", now);
        CHECK(tracker.records().isEvacuated("north"));
        tracker.apply({{"config", "{}", {2, 3}}}, {}, {2, 4}, "store", now);
        if (isWrittenAgain)
            tracker.apply({{"evacuate/north", "{}", {2, 4}}}, {2, 4}, {2, 5}, "store", now);
        now += catalog::evacuation_tracker::sRewriteTime;
        tracker.update(now);
        CHECK(tracker.records().isEvacuated("north"));
        tracker.update(now + 1ms);
        CHECK(tracker.records().isEvacuated("north") == isWrittenAgain);
        // A late copy of the record from before.
        tracker.apply({{"evacuate/north", "{}", {1, 7}}}, {1, 7}, {1, 8}, "instance", now);
        CHECK(tracker.records().isEvacuated("north") == isWrittenAgain);
        tracker.apply({{"evacuate/north", {}, {2, 5}}}, {2, 5}, {2, 6}, "store", now);
        CHECK_FALSE(tracker.records().isEvacuated("north"));
    }
}
