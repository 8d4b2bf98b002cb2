// Guards against evacuations of failure domains that end or begin again because of a late copy of a
// record, or that never end because their deletion is seen only by its absence.

#include "corneltally/catalog/catalog_service.h"
#include "corneltally/catalog/evacuation_records.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "tests/unit/catalog_mock_store.h"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using catalog::evacuation_records;
using catalog_test::mock_store;

namespace {

/// Records of an offset range, as a read, a listing or another instance delivers them.
struct delivery
{
    std::vector<store::record> records;
    store::position from;
    store::position end;
};

struct log_model
{
    std::vector<store::record> log;

    bool isEvacuated(const std::string &inDomain, store::position inEnd) const
    {
        bool evacuated = false;
        for (std::uint64_t offset = 0; offset < inEnd.offset(); ++offset) {
            if (log[offset].key == "evacuate/" + inDomain)
                evacuated = log[offset].value.has_value();
        }
        return evacuated;
    }

    store::position end() const { return {0, log.size()}; }

    delivery read(store::position inFrom) const
    {
        return {
            {log.begin() + static_cast<std::ptrdiff_t>(inFrom.offset()), log.end()}, inFrom, end()};
    }

    delivery listing() const
    {
        std::map<std::string, store::record> newest;
        for (const store::record &record : log)
            newest.insert_or_assign(record.key, record);
        delivery listed{.end = end()};
        for (const auto &[key, record] : newest) {
            if (record.value)
                listed.records.push_back(record);
        }
        return listed;
    }
};

const std::vector<std::string> cDomains{"north", "south", "west"};

/// What one instance knows: all before its end, and some records after it.
struct instance_model
{
    evacuation_records known;
    store::position end;
    /// End of the newest record that was delivered for each failure domain.
    std::map<std::string, store::position> seen;

    void apply(const delivery &inDelivery)
    {
        for (const store::record &record : inDelivery.records) {
            if (!record.key.starts_with("evacuate/"))
                continue;
            const std::string domain = record.key.substr(9);
            known.apply(domain, record);
            seen[domain] = std::max(seen[domain], record.position.next());
        }
        known.completeRange(inDelivery.records, inDelivery.from, inDelivery.end);
        if (inDelivery.from <= end)
            end = std::max(end, inDelivery.end);
    }

    delivery relay(store::position inFrom) const
    {
        delivery relayed{.from = inFrom, .end = end};
        for (const store::record &record : known.all()) {
            if (record.position >= inFrom)
                relayed.records.push_back(record);
        }
        return relayed;
    }
};

/// The catalog of one instance, with the changes that it told of.
struct catalog_instance
{
    core::metrics metrics;
    kernel::service_registry registry;
    mock_store *store = nullptr;
    catalog::catalog_service<mock_store> *service = nullptr;
    std::vector<std::string> changes;
    catalog::operator_progress progress;
    std::unique_ptr<kernel::timer> reports;

    catalog_instance(kernel::event_loop &inLoop,
                     const std::shared_ptr<mock_store::topic_map> &inTopics)
        : registry(inLoop)
    {
        auto created = std::make_unique<mock_store>(inLoop, inTopics);
        store = created.get();
        service = &registry.add(std::make_unique<catalog::catalog_service<mock_store>>(
            registry, metrics, std::move(created),
            catalog::catalog_options{.operatorTopic = platform::cOperatorTopic,
                                     .endpointTopic = platform::cEndpointTopic,
                                     .fleetTopic = "keyed.fleet",
                                     .endpointPause = 20ms,
                                     .firstPause = 20ms}));
        registry.handle<catalog::evacuation_changed>(
            "test", [this](const catalog::evacuation_changed &inChanged) {
                changes.push_back((inChanged.evacuated ? "+" : "-") + inChanged.failureDomain);
            });
    }

    /// Reports its end to another instance five times as often as heartbeats do, and relays the
    /// records that the other one asks for.
    void connectTo(catalog_instance &ioOther)
    {
        ioOther.registry.handle<catalog::operator_records_request>(
            "test", [this](const catalog::operator_records_request &inRequest) {
                registry.post("catalog",
                              catalog::operator_records_requested{"other", inRequest.from});
            });
        registry.handle<catalog::operator_records_relay>(
            "test", [&ioOther](const catalog::operator_records_relay &inRelay) {
                ioOther.registry.post(
                    "catalog",
                    catalog::operator_records_received{inRelay.records, inRelay.from, inRelay.end});
            });
        registry.handle<catalog::operator_progress_changed>(
            "test", [this](const catalog::operator_progress_changed &inChanged) {
                progress = inChanged.progress;
            });
        reports = std::make_unique<kernel::timer>(registry.loop(), [this, &ioOther] {
            ioOther.registry.post("catalog", catalog::operator_progress_reported{"this", progress});
        });
        reports->startRepeating(40ms);
    }
};

struct evacuation_fixture
{
    kernel::event_loop loop;
    std::shared_ptr<mock_store::topic_map> topics = std::make_shared<mock_store::topic_map>();

    void put(const std::string &inKey, std::optional<std::string> inValue)
    {
        (*topics)[platform::cOperatorTopic].put(inKey, std::move(inValue));
    }

    void forget()
    {
        mock_store::topic &target = (*topics)[platform::cOperatorTopic];
        target.first = target.end;
    }

    void run(core::duration inTime)
    {
        kernel::timer end(loop, [this] { loop.stop(); });
        end.startOnce(inTime);
        loop.run();
    }
};

} // namespace

// Failure: records that arrive late, twice, in any order, or only by their absence, from the store
// or from instances that know a deletion themselves only by its absence.
TEST_CASE("instances never return to an older state of an evacuation, and all reach the newest")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto below = [&](std::size_t inBound) { return random() % inBound; };
        log_model model;
        std::vector<instance_model> instances(3);
        std::vector<delivery> delayed;
        const auto check = [&](instance_model &ioInstance) {
            for (const std::string &domain : cDomains) {
                bool isSomeState = false;
                for (store::position end = std::max(ioInstance.end, ioInstance.seen[domain]);
                     end <= model.end(); end = end.next())
                    isSomeState = isSomeState
                        || model.isEvacuated(domain, end) == ioInstance.known.isEvacuated(domain);
                CAPTURE(domain, ioInstance.end.offset(), model.log.size());
                REQUIRE(isSomeState);
            }
        };
        for (int step = 0; step < 60; ++step) {
            const std::size_t what = below(10);
            instance_model &target = instances[below(instances.size())];
            if (what < 4) {
                store::record record{"evacuate/" + cDomains[below(cDomains.size())], std::nullopt,
                                     model.end()};
                if (below(2) == 0)
                    record.value = "{}";
                else if (below(4) == 0)
                    record = {"config", "{}", model.end()};
                model.log.push_back(std::move(record));
                continue;
            }
            delivery next = what == 4 ? model.listing()
                : what == 5
                ? model.read(target.end)
                : instances[below(instances.size())].relay(target.known.firstInForce(target.end));
            // A record that is relayed alone, as to an instance that asks for a load.
            if (what == 6 && !model.log.empty())
                next = {{model.log[below(model.log.size())]}};
            if (what == 8)
                delayed.push_back(next);
            if (what == 9 && !delayed.empty())
                next = delayed[below(delayed.size())];
            if (what == 7 && below(4) == 0)
                target = {};
            target.apply(next);
            check(target);
        }
        // One instance reads a listing, the others hear of it alone.
        instances[0].apply(model.listing());
        for (instance_model &other : instances) {
            other.apply(instances[0].relay(other.known.firstInForce(other.end)));
            for (const std::string &domain : cDomains)
                REQUIRE(other.known.isEvacuated(domain) == model.isEvacuated(domain, model.end()));
        }
    }
}

// Failure: a deletion is ignored, or is noticed only as a record without value.
TEST_CASE("an evacuation ends with its record's deletion, also if it is only absent from a listing")
{
    evacuation_fixture fixture;
    catalog_instance one(fixture.loop, fixture.topics);
    fixture.put("evacuate/north", "{}");
    one.registry.startAll();
    fixture.run(50ms);
    CHECK(one.changes == std::vector<std::string>{"+north"});
    CHECK(one.service->dump().find("\"failure_domain\":\"north\"") != std::string::npos);
    fixture.put("evacuate/south", R"({"why":"water"})");
    fixture.run(50ms);
    fixture.put("evacuate/north", std::nullopt);
    fixture.run(50ms);
    CHECK(one.changes == std::vector<std::string>{"+north", "+south", "-north"});
    CHECK(one.metrics.toText().find("evacuated_failure_domains 1") != std::string::npos);
    fixture.put("evacuate/north", "{}");
    fixture.put("evacuate/south", std::nullopt);
    fixture.forget();
    fixture.run(50ms);
    one.changes.erase(one.changes.begin(), one.changes.begin() + 3);
    CHECK(one.changes == std::vector<std::string>{"+north", "-south"});
    // Late copies of older records, from the store or another instance.
    one.registry.post(
        "catalog",
        catalog::operator_records_received{
            {{"evacuate/south", "{}", {0, 1}}, {"evacuate/north", {}, {0, 2}}}, {0, 1}, {0, 3}});
    fixture.run(20ms);
    CHECK(one.changes.size() == 2);
    CHECK(one.service->dump().find("south") == std::string::npos);
}

// Failure: an instance that can't read the store never learns that an evacuation began, or that it
// ended while the only other instance knows of that by the absence of the record.
TEST_CASE("an instance that starts without the store learns of evacuations from another one")
{
    evacuation_fixture fixture;
    catalog_instance cutOff(fixture.loop, fixture.topics);
    cutOff.store->unavailable = true;
    fixture.put("evacuate/north", "{}");
    fixture.put("evacuate/south", "{}");
    // Records that exceed one part of a relay.
    fixture.put("version/m.a", std::string(300'000, 'x'));
    fixture.put("version/m.b", std::string(300'000, 'x'));
    cutOff.registry.startAll();
    catalog_instance other(fixture.loop, fixture.topics);
    other.connectTo(cutOff);
    other.registry.startAll();
    fixture.run(500ms);
    CHECK(cutOff.changes == std::vector<std::string>{"+north", "+south"});
    // The record moves to the end of the topic, while the receiver has its former copy.
    fixture.put("evacuate/north", std::nullopt);
    fixture.put("evacuate/north", "{}");
    fixture.run(500ms);
    CHECK(cutOff.changes == std::vector<std::string>{"+north", "+south"});
    other.reports->cancel();
    fixture.put("evacuate/south", std::nullopt);
    fixture.forget();
    catalog_instance restarted(fixture.loop, fixture.topics);
    restarted.connectTo(cutOff);
    restarted.registry.startAll();
    fixture.run(500ms);
    CHECK(cutOff.changes == std::vector<std::string>{"+north", "+south", "-south"});
}
