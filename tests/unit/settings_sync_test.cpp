// Guards against an instance that keeps an old tree although the log or a peer has a newer one, and
// against confirmations that do not originate from a reader of the log.

#include "corneltally/entry/settings_sync_service.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/settings/change.h"

#include <functional>
#include <map>
#include <optional>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using settings::change;

namespace {

std::int64_t wallClockMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

/// The records of the log, shared by the mock clients of all instances.
struct shared_log
{
    std::vector<platform::log_record> records;
    std::uint64_t first = 1;

    std::uint64_t append(std::string inData)
    {
        records.push_back({records.size() + 1, wallClockMs(), std::move(inData)});
        return records.size();
    }
};

/// Log client without sockets. Answers every call after 10 ms, in place of the long poll.
class mock_log
{
public:
    mock_log(kernel::event_loop &inLoop, shared_log &inShared, bool &inReachable)
        : mLoop(inLoop)
        , mShared(inShared)
        , mReachable(inReachable)
    { }

    void append(const std::string &, std::string inRecord, platform::append_handler inHandler)
    {
        platform::append_result result;
        if (mReachable) {
            result.outcome = platform::append_outcome::appended;
            result.offset = mShared.append(std::move(inRecord));
        }
        answer([result, handler = std::move(inHandler)] { handler(result); });
    }

    void read(const platform::read_request &inRequest, platform::read_handler inHandler)
    {
        const core::time_point sentAt = core::boot_clock::now();
        answer([this, from = inRequest.from, sentAt, handler = std::move(inHandler)] {
            platform::read_result result{.sentAt = sentAt};
            if (!mReachable) {
                result.reason = {core::error_kind::unavailable, "down", "wait"};
            } else if (from < mShared.first) {
                result.outcome = platform::read_outcome::expired;
                result.first = mShared.first;
            } else {
                result.outcome = platform::read_outcome::records;
                result.first = mShared.first;
                result.next = mShared.records.size() + 1;
                for (std::uint64_t offset = from; offset < result.next; ++offset)
                    result.records.push_back(mShared.records[offset - 1]);
            }
            handler(result);
        });
    }

    void cancelAll() { mTimers.clear(); }

private:
    void answer(std::function<void()> inAnswer)
    {
        const int id = mNextId++;
        auto timer = std::make_unique<kernel::timer>(mLoop, [this, id, call = std::move(inAnswer)] {
            const auto self = mTimers.extract(id);
            call();
        });
        timer->startOnce(10ms);
        mTimers.emplace(id, std::move(timer));
    }

    kernel::event_loop &mLoop;
    shared_log &mShared;
    bool &mReachable;
    int mNextId = 0;
    std::map<int, std::unique_ptr<kernel::timer>> mTimers;
};

static_assert(platform::log_service<mock_log>);

using sync_service = entry::settings_sync_service<mock_log>;

/// An instance with the service and the messages that it broadcast.
struct instance
{
    std::string name;
    bool logReachable = true;
    bool peersReachable = true;
    /// Requests for records that were sent to one peer.
    int requests = 0;
    kernel::service_registry registry;
    sync_service *sync = nullptr;
    std::shared_ptr<const settings::settings_index> settingsIndex;
    std::vector<std::uint64_t> versions;
    std::optional<core::time_point> confirmed;

    instance(kernel::event_loop &inLoop, shared_log &inLog, std::string inName)
        : name(std::move(inName))
        , registry(inLoop)
    {
        entry::settings_sync_options options{.instance = name};
        options.minRetryDelay = 5ms;
        options.maxRetryDelay = 20ms;
        options.peerPeriod = 20ms;
        options.snapshotCheckPeriod = 20ms;
        sync = &registry.add(std::make_unique<sync_service>(
            registry, std::make_unique<mock_log>(inLoop, inLog, logReachable), options));
        registry.handle<entry::settings_changed>("observer", [this](const auto &inChange) {
            settingsIndex = inChange.settingsIndex;
            versions.push_back(settingsIndex->version());
        });
        registry.handle<entry::settings_confirmed>(
            "observer", [this](const auto &inMessage) { confirmed = inMessage.at; });
    }

    std::string adapterVersion() const
    {
        const auto *found = settingsIndex ? settingsIndex->findAdapter("tone") : nullptr;
        return found == nullptr ? "" : found->version;
    }
};

struct fleet
{
    kernel::event_loop loop;
    shared_log log;
    std::vector<std::unique_ptr<instance>> instances;
    settings::settings_replica operatorView;
    int nextChange = 0;

    instance &add(bool inLogReachable = true)
    {
        instances.push_back(
            std::make_unique<instance>(loop, log, "entry-" + std::to_string(instances.size() + 1)));
        instance &added = *instances.back();
        added.logReachable = inLogReachable;
        added.registry.handle<entry::peer_send>(
            "peers", [this, &added](const entry::peer_send &inSend) { deliver(added, inSend); });
        added.registry.startAll();
        return added;
    }

    void deliver(instance &inSource, const entry::peer_send &inSend)
    {
        if (!inSend.instance.empty()
            && std::holds_alternative<entry::settings_request>(inSend.message))
            ++inSource.requests;
        for (const auto &target : instances) {
            if (target.get() == &inSource || !inSource.peersReachable || !target->peersReachable
                || (!inSend.instance.empty() && inSend.instance != target->name))
                continue;
            std::visit(
                [&]<typename Message>(const Message &inMessage) {
                    target->registry.broadcast(
                        entry::peer_received<Message>{inSource.name, inMessage});
                },
                inSend.message);
        }
    }

    std::string publish(const std::string &inVersion)
    {
        const auto &tree = operatorView.tree();
        const change edit{.id = "c" + std::to_string(++nextChange),
                          .author = "operator",
                          .base = {{"/adapters/tone", tree.nodeVersion("/adapters/tone")}},
                          .set = {{"/adapters/tone", "version", inVersion},
                                  {"/adapters/tone", "base_model", "base"}},
                          .remove = {}};
        const std::uint64_t offset = log.append(edit.toJson());
        operatorView.addLogRecord(offset, edit.toJson(), 0);
        return inVersion;
    }

    /// Runs the loop until a condition holds; fails after 20 s.
    void waitFor(const std::function<bool()> &inCondition)
    {
        bool isMet = false;
        kernel::timer check(loop, [&] {
            isMet = inCondition();
            if (isMet)
                loop.stop();
        });
        kernel::timer limit(loop, [&] { loop.stop(); });
        check.startRepeating(2ms);
        limit.startOnce(20s);
        loop.run();
        REQUIRE(isMet);
    }

    void runFor(core::duration inTime)
    {
        kernel::timer limit(loop, [&] { loop.stop(); });
        limit.startOnce(inTime);
        loop.run();
    }
};

} // namespace

TEST_CASE("an instance broadcasts the tree at the end of the log first, then each change")
{
    fleet test;
    test.publish("1");
    test.publish("2");
    instance &reader = test.add();
    test.waitFor([&] { return reader.adapterVersion() == "2"; });
    CHECK(reader.versions == std::vector<std::uint64_t>{2});
    test.publish("3");
    test.waitFor([&] { return reader.adapterVersion() == "3"; });
    CHECK(reader.versions == std::vector<std::uint64_t>{2, 3});
    test.waitFor([&] { return reader.confirmed.has_value(); });
    CHECK(reader.sync->dump().find("\"version\":3") != std::string::npos);
}

TEST_CASE("an instance that cannot reach the log loads and updates the tree from its peers")
{
    fleet test;
    test.publish("1");
    instance &reader = test.add();
    instance &isolated = test.add(false);
    test.waitFor([&] { return isolated.adapterVersion() == "1"; });
    test.publish("2");
    test.waitFor([&] { return isolated.adapterVersion() == "2"; });
    test.waitFor([&] { return isolated.confirmed.has_value(); });
    // Only a peer that can read the log confirms the tree.
    reader.logReachable = false;
    test.runFor(2'200ms);
    const auto before = isolated.confirmed;
    test.runFor(200ms);
    CHECK(isolated.confirmed == before);
    CHECK(*isolated.confirmed < core::boot_clock::now() - 4s);
}

// Failure: each of the peers that report a newer version, several times a second, is asked for the
// same records.
TEST_CASE("an instance that lacks a version asks one of the peers that report it, then the next")
{
    fleet test;
    test.publish("1");
    instance &isolated = test.add();
    test.waitFor([&] { return isolated.adapterVersion() == "1"; });
    isolated.peersReachable = false;
    const auto report = [&] {
        for (const char *peer : {"p1", "p2", "p3", "p4", "p5"})
            isolated.registry.broadcast(entry::peer_settings_version{peer, 2});
        test.runFor(20ms);
    };
    for (int round = 0; round < 3; ++round)
        report();
    CHECK(isolated.requests == 1);
    test.runFor(entry::settings_sync_options().peerAnswerTime);
    report();
    CHECK(isolated.requests == 2);
}

TEST_CASE("an instance that loses the log and its peers keeps its tree and catches up later")
{
    fleet test;
    test.publish("1");
    test.add();
    instance &cutOff = test.add();
    test.waitFor([&] { return cutOff.adapterVersion() == "1"; });
    cutOff.logReachable = false;
    cutOff.peersReachable = false;
    test.publish("2");
    test.waitFor([&] { return test.instances[0]->adapterVersion() == "2"; });
    test.runFor(100ms);
    CHECK(cutOff.adapterVersion() == "1");
    SECTION("from the log")
    {
        cutOff.logReachable = true;
    }
    SECTION("from its peers")
    {
        cutOff.peersReachable = true;
    }
    test.waitFor([&] { return cutOff.adapterVersion() == "2"; });
}

TEST_CASE("after records expired without a snapshot a new instance loads the tree from a peer")
{
    fleet test;
    test.publish("1");
    test.publish("2");
    instance &reader = test.add();
    test.waitFor([&] { return reader.adapterVersion() == "2"; });
    test.log.first = 2;
    // Keeps the first instance from writing a snapshot to the log while the new one starts.
    reader.logReachable = false;
    instance &late = test.add();
    test.waitFor([&] { return late.adapterVersion() == "2"; });
    test.publish("3");
    test.waitFor([&] { return late.adapterVersion() == "3"; });
    test.waitFor([&] { return reader.adapterVersion() == "3"; });
    CHECK(late.sync->replica().tree().toJson() == reader.sync->replica().tree().toJson());
}

TEST_CASE("a snapshot is written before records expire, and a new instance starts from it alone")
{
    fleet test;
    test.publish("1");
    // The first record is older than half of the retention.
    test.log.records[0].timeMs = wallClockMs() - 20 * 3'600'000;
    instance &writer = test.add();
    test.waitFor([&] { return test.log.records.size() == 2; });
    test.runFor(150ms);
    CHECK(test.log.records.size() == 2);
    CHECK(writer.sync->replica().logRetention().snapshotOffset() == 1);
    test.log.first = 2;
    writer.peersReachable = false;
    instance &late = test.add();
    test.waitFor([&] { return late.adapterVersion() == "1"; });
    CHECK(late.sync->replica().nextOffset() == 3);
}

TEST_CASE("a rejected change is not broadcast and its reason is in the dump")
{
    fleet test;
    test.publish("1");
    instance &reader = test.add();
    test.waitFor([&] { return reader.adapterVersion() == "1"; });
    test.log.append(
        R"({"id":"late","author":"x","base":{"/adapters/tone":9},)"
        R"("set":[{"path":"/adapters/tone","key":"version","value":"7"}],"remove":[]})");
    test.waitFor([&] { return reader.sync->replica().nextOffset() == 3; });
    CHECK(reader.versions == std::vector<std::uint64_t>{1});
    CHECK(reader.sync->dump().find("late: /adapters/tone is at version 1") != std::string::npos);
}

TEST_CASE("a log that ends before the tree does not confirm it")
{
    fleet test;
    test.publish("1");
    test.publish("2");
    instance &reader = test.add();
    test.waitFor([&] { return reader.confirmed.has_value(); });
    // The new instance reads a log that was replaced by a shorter one. After 2 s without the log
    // the first instance forwards no confirmation.
    reader.logReachable = false;
    test.runFor(2'200ms);
    test.log.records.resize(1);
    instance &late = test.add();
    test.waitFor([&] { return late.adapterVersion() == "2"; });
    const auto before = late.confirmed;
    test.runFor(100ms);
    CHECK(late.adapterVersion() == "2");
    CHECK(late.confirmed == before);
}

TEST_CASE("a read that was in flight during a pause is sent again")
{
    fleet test;
    test.publish("1");
    instance &reader = test.add();
    test.waitFor([&] { return reader.adapterVersion() == "1"; });
    reader.registry.post("settings_sync", entry::process_paused{3s});
    test.publish("2");
    test.waitFor([&] { return reader.adapterVersion() == "2"; });
}
