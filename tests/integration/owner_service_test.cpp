// Guards against an owner service that does not serve a real engine over HTTP: ownership, loads,
// streams, resumption, refusals, and the hand-over between two instances.

#include "corneltally/core/digest.h"
#include "corneltally/entry/drain_messages.h"
#include "corneltally/entry/owner_service.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/settings/settings_index.h"
#include "corneltally/settings/settings_tree.h"
#include "standins/child_process.h"
#include "standins/http_probe.h"

#include <algorithm>
#include <functional>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using namespace corneltally::entry;
using nlohmann::json;
using standins::child_process;

namespace {

child_process startProcess(const std::string &inProgram, std::vector<std::string> inArguments)
{
    child_process process(
        {.program = std::string(CORNELTALLY_BINARY_DIR) + "/standins/" + inProgram,
         .arguments = std::move(inArguments),
         .logFile = ""});
    REQUIRE(process.waitReady());
    return process;
}

std::shared_ptr<const settings::settings_index>
settingsIndexOf(const std::string &inEngineAddress, bool inChecksFencing, bool inLeaving = false)
{
    std::string text = R"(
[instances.entry-1]
failure_domain = "north"
peer_address = "127.0.0.1:1"
[instances.entry-2]
failure_domain = "north"
peer_address = "127.0.0.1:2"
[accounts.harbour]
rate_tokens_per_second = 1000
burst_tokens = 1000
[endpoints.engine-1]
kind = "model"
base_model = "base"
failure_domain = "north"
adapter_slots = 2
run_slots = 4
)";
    text.append("address = \"").append(inEngineAddress).append("\"\nchecks_fencing = ");
    text.append(inChecksFencing ? "true" : "false").append("\nleaving = ");
    text.append(inLeaving ? "true" : "false").append("\n");
    const auto tree = settings::settings_tree::sFromToml(text, "test");
    if (!tree)
        FAIL(tree.reason().message);
    return std::make_shared<const settings::settings_index>(*tree);
}

/// An instance with the owner service and recorders in place of the others.
struct instance
{
    kernel::event_loop &loop;
    kernel::service_registry registry;
    std::string name;
    std::vector<run_event> events;
    std::vector<endpoint_status> statuses;
    std::vector<peer_send> sent;
    int loadsAsked = 0;
    int loadsDone = 0;
    std::optional<endpoints_drained> drained;

    instance(kernel::event_loop &ioLoop, std::string inName, const std::string &inPlatform)
        : loop(ioLoop)
        , registry(ioLoop)
        , name(std::move(inName))
    {
        registry.add(std::make_unique<owner_service>(
            registry,
            owner_options{
                .instance = name, .incarnation = 1, .platform = http::parseAddress(inPlatform)}));
        registry.handle<run_event>("dispatch",
                                   [this](const run_event &inEvent) { events.push_back(inEvent); });
        registry.handle<endpoint_status>(
            "dispatch", [this](const endpoint_status &inStatus) { statuses.push_back(inStatus); });
        registry.handle<peer_send>("peers",
                                   [this](const peer_send &inSend) { sent.push_back(inSend); });
        registry.handle<weight_load_request>(
            "admission", [this](const weight_load_request &inAdmit) {
                ++loadsAsked;
                registry.post("owner",
                              weight_load_result{
                                  inAdmit.endpoint, inAdmit.adapter, inAdmit.version, true, {}});
            });
        registry.handle<weight_load_done>("admission",
                                          [this](const weight_load_done &) { ++loadsDone; });
        registry.handle<endpoints_drained>(
            "drain", [this](const endpoints_drained &inDrained) { drained = inDrained; });
        registry.startAll();
    }

    void submit(const std::string &inId, const std::string &inAdapter, int inTokens,
                std::uint64_t inResumeFrom = 0, const std::string &inOrigin = "")
    {
        run_submit message;
        message.endpoint = "engine-1";
        message.origin = inOrigin.empty() ? name : inOrigin;
        message.resumeFrom = inResumeFrom;
        run &request = message.request;
        request.requestId = inId;
        request.account = "harbour";
        request.adapter = inAdapter;
        request.version = "1";
        request.path = "/v1/completions";
        request.body = json{
            {"model", inAdapter + "@1"},
            {"prompt", "text"},
            {"max_tokens", inTokens},
            {"stream",
             true}}.dump();
        request.promptTokens = 2;
        request.maxTokens = inTokens;
        request.stream = true;
        request.deadline = core::boot_clock::now() + 30s;
        request.streamIdle = 5s;
        registry.post("owner", message);
    }

    std::vector<std::uint64_t> partsOf(const std::string &inId) const
    {
        std::vector<std::uint64_t> parts;
        for (const run_event &event : events) {
            if (event.requestId == inId && std::holds_alternative<run_chunk>(event.event))
                parts.push_back(std::get<run_chunk>(event.event).index);
        }
        return parts;
    }

    std::optional<run_end> endOf(const std::string &inId) const
    {
        for (const run_event &event : events) {
            if (event.requestId == inId && std::holds_alternative<run_end>(event.event))
                return std::get<run_end>(event.event);
        }
        return std::nullopt;
    }

    bool isAccepting() const { return !statuses.empty() && statuses.back().accepting; }
};

struct owner_test
{
    kernel::event_loop loop;
    standins::http_probe probe;
    child_process platform;
    child_process engine;

    explicit owner_test(std::vector<std::string> inEngineArguments = {})
        : platform(startProcess("standin_platform", {}))
        , engine(startProcess("standin_engine", std::move(inEngineArguments)))
    { }

    std::string platformAddress() const { return platform.address("http"); }

    void waitFor(const std::function<bool()> &inCondition, core::duration inLimit = 20s)
    {
        bool met = false;
        kernel::timer check(loop, [&] {
            met = inCondition();
            if (met)
                loop.stop();
        });
        kernel::timer limit(loop, [&] { loop.stop(); });
        check.startRepeating(5ms);
        limit.startOnce(inLimit);
        loop.run();
        REQUIRE(met);
    }

    void control(const json &inCommand)
    {
        REQUIRE(probe.post(engine.port("http"), "/control/engine", inCommand.dump()).status == 200);
    }
};

std::vector<std::uint64_t> upTo(std::uint64_t inCount)
{
    std::vector<std::uint64_t> all;
    for (std::uint64_t index = 0; index < inCount; ++index)
        all.push_back(index);
    return all;
}

} // namespace

TEST_CASE("an owner loads adapters within the slots and streams every token once")
{
    owner_test test({"--adapter-slots", "2", "--token-ms", "1", "--load-ms", "20"});
    instance entry(test.loop, "entry-1", test.platformAddress());
    entry.registry.broadcast(settings_changed{settingsIndexOf(test.engine.address("http"), true)});
    entry.registry.broadcast(peers_changed{{"entry-1"}, {}});
    test.waitFor([&] { return entry.isAccepting(); });
    CHECK(entry.statuses.back().fence >= 1024);
    for (int index = 0; index < 24; ++index)
        entry.submit("r" + std::to_string(index), std::string(1, "abcd"[index % 4]), 10);
    test.waitFor([&] {
        for (int index = 0; index < 24; ++index) {
            if (!entry.endOf("r" + std::to_string(index)))
                return false;
        }
        return true;
    });
    for (int index = 0; index < 24; ++index) {
        const std::string id = "r" + std::to_string(index);
        INFO(id << " " << entry.endOf(id)->error.message);
        CHECK(entry.endOf(id)->outcome == run_outcome::completed);
        CHECK(entry.endOf(id)->outputTokens == 10);
        CHECK(entry.partsOf(id) == upTo(10));
    }
    CHECK(entry.loadsAsked >= 4);
    CHECK(entry.loadsDone == entry.loadsAsked);
    CHECK(json::parse(entry.registry.dumpAll()).at("owner").at("endpoints").size() == 1);
}

TEST_CASE("a stream whose connection breaks is continued without a gap or a repetition")
{
    owner_test test({"--resident", "a@1", "--token-ms", "10"});
    instance entry(test.loop, "entry-1", test.platformAddress());
    entry.registry.broadcast(settings_changed{settingsIndexOf(test.engine.address("http"), true)});
    entry.registry.broadcast(peers_changed{{"entry-1"}, {}});
    test.waitFor([&] { return entry.isAccepting(); });
    entry.submit("r", "a", 60);
    for (const std::size_t parts : {5U, 20U, 35U}) {
        test.waitFor([&] { return entry.partsOf("r").size() >= parts; });
        test.control({{"drop_callers", true}});
    }
    test.waitFor([&] { return entry.endOf("r").has_value(); });
    CHECK(entry.endOf("r")->outcome == run_outcome::completed);
    CHECK(entry.partsOf("r") == upTo(60));
}

TEST_CASE("an owner that is not wanted any more hands a stream over to the next one")
{
    owner_test test({"--resident", "a@1", "--token-ms", "10"});
    const auto settingsIndex = settingsIndexOf(test.engine.address("http"), true);
    instance first(test.loop, "entry-1", test.platformAddress());
    instance second(test.loop, "entry-2", test.platformAddress());
    for (instance *entry : {&first, &second})
        entry->registry.broadcast(settings_changed{settingsIndex});
    first.registry.broadcast(peers_changed{{"entry-1"}, {}});
    test.waitFor([&] { return first.isAccepting(); });
    first.submit("r", "a", 100);
    test.waitFor([&] { return first.partsOf("r").size() >= 5; });
    // The first instance is cut off; the second one takes the endpoint over.
    second.registry.broadcast(peers_changed{{"entry-2"}, {}});
    test.waitFor([&] { return second.isAccepting(); });
    CHECK(second.statuses.back().fence > first.statuses.front().fence);
    second.submit("r", "a", 100, 5);
    test.waitFor([&] { return second.endOf("r").has_value(); });
    CHECK(second.endOf("r")->outcome == run_outcome::completed);
    CHECK(second.partsOf("r").front() == 5);
    CHECK(second.partsOf("r").size() == 95);
    // The first one learns that it lost the endpoint and refuses runs truthfully.
    first.registry.broadcast(peers_changed{{"entry-2"}, {}});
    first.submit("late", "a", 5);
    test.waitFor([&] { return first.endOf("late").has_value(); });
    CHECK(first.endOf("late")->outcome == run_outcome::not_run);
}

TEST_CASE("events of a run for a peer's caller go to that peer")
{
    owner_test test({"--resident", "a@1", "--token-ms", "1"});
    instance entry(test.loop, "entry-1", test.platformAddress());
    entry.registry.broadcast(settings_changed{settingsIndexOf(test.engine.address("http"), true)});
    entry.registry.broadcast(peers_changed{{"entry-1", "entry-2"}, {}});
    instance other(test.loop, "entry-2", test.platformAddress());
    other.registry.broadcast(settings_changed{settingsIndexOf(test.engine.address("http"), true)});
    other.registry.broadcast(peers_changed{{"entry-1", "entry-2"}, {}});
    test.waitFor([&] { return entry.isAccepting() || other.isAccepting(); });
    // Exactly one of two instances with the same view owns the endpoint.
    CHECK(entry.isAccepting() != other.isAccepting());
    instance &owner = entry.isAccepting() ? entry : other;
    owner.submit("r", "a", 3, 0, "entry-9");
    const auto eventsForPeer = [&] {
        return std::ranges::count_if(owner.sent, [](const peer_send &inSend) {
            return inSend.instance == "entry-9"
                && std::holds_alternative<run_event>(inSend.message);
        });
    };
    test.waitFor([&] { return eventsForPeer() == 5; });
    CHECK(owner.events.empty());
    CHECK(std::ranges::any_of(owner.sent, [](const peer_send &inSend) {
        return inSend.instance.empty() && std::holds_alternative<endpoint_status>(inSend.message);
    }));
}

TEST_CASE("without fencing, runs are served at once and loads wait for the lease")
{
    owner_test test({"--ignore-fence", "--resident", "a@1", "--token-ms", "1", "--load-ms", "10"});
    instance entry(test.loop, "entry-1", test.platformAddress());
    entry.registry.broadcast(settings_changed{settingsIndexOf(test.engine.address("http"), false)});
    entry.registry.broadcast(peers_changed{{"entry-1"}, {}});
    test.waitFor([&] { return entry.isAccepting(); });
    entry.submit("warm", "a", 3);
    entry.submit("cold", "b", 3);
    test.waitFor([&] { return entry.endOf("warm") && entry.endOf("cold"); });
    CHECK(entry.endOf("warm")->outcome == run_outcome::completed);
    CHECK(entry.endOf("cold")->outcome == run_outcome::completed);
    const auto records
        = test.probe.get(test.platform.port("http"), "/v1/log/leases/records?from=1");
    CHECK_FALSE(json::parse(records.body).at("records").empty());
}

TEST_CASE("a drain finishes running runs and reports the waiting ones as handed over")
{
    owner_test test({"--resident", "a@1", "--token-ms", "10"});
    instance entry(test.loop, "entry-1", test.platformAddress());
    entry.registry.broadcast(settings_changed{settingsIndexOf(test.engine.address("http"), true)});
    entry.registry.broadcast(peers_changed{{"entry-1"}, {}});
    test.waitFor([&] { return entry.isAccepting(); });
    for (int index = 0; index < 6; ++index)
        entry.submit("r" + std::to_string(index), "a", 40);
    test.waitFor([&] { return entry.partsOf("r0").size() >= 5; });
    entry.registry.broadcast(drain_started{});
    test.waitFor([&] { return entry.drained.has_value(); });
    CHECK(entry.drained->handedOver == 2);
    int completed = 0;
    for (int index = 0; index < 6; ++index) {
        const auto end = entry.endOf("r" + std::to_string(index));
        REQUIRE(end.has_value());
        completed += end->outcome == run_outcome::completed ? 1 : 0;
        if (end->outcome != run_outcome::completed)
            CHECK(end->outcome == run_outcome::not_run);
    }
    CHECK(completed == 4);
}

TEST_CASE("a leaving endpoint gets no new run while running ones finish")
{
    owner_test test({"--resident", "a@1", "--token-ms", "10"});
    instance entry(test.loop, "entry-1", test.platformAddress());
    entry.registry.broadcast(settings_changed{settingsIndexOf(test.engine.address("http"), true)});
    entry.registry.broadcast(peers_changed{{"entry-1"}, {}});
    test.waitFor([&] { return entry.isAccepting(); });
    entry.submit("r", "a", 40);
    test.waitFor([&] { return entry.partsOf("r").size() >= 5; });
    entry.registry.broadcast(
        settings_changed{settingsIndexOf(test.engine.address("http"), true, true)});
    test.waitFor([&] { return !entry.isAccepting(); });
    entry.submit("late", "a", 5);
    test.waitFor([&] { return entry.endOf("r") && entry.endOf("late"); });
    CHECK(entry.endOf("r")->outcome == run_outcome::completed);
    CHECK(entry.endOf("late")->outcome == run_outcome::not_run);
}

TEST_CASE("an engine that is killed and restarted is owned anew and serves again")
{
    owner_test test({"--resident", "a@1", "--token-ms", "10"});
    const std::string address = test.engine.address("http");
    const std::string port = address.substr(address.rfind(':') + 1);
    instance entry(test.loop, "entry-1", test.platformAddress());
    entry.registry.broadcast(settings_changed{settingsIndexOf(address, true)});
    entry.registry.broadcast(peers_changed{{"entry-1"}, {}});
    test.waitFor([&] { return entry.isAccepting(); });
    entry.submit("lost", "a", 400);
    test.waitFor([&] { return entry.partsOf("lost").size() >= 5; });
    test.engine.kill();
    test.waitFor([&] { return entry.endOf("lost").has_value(); });
    CHECK(entry.endOf("lost")->outcome == run_outcome::unknown);
    test.waitFor([&] { return !entry.isAccepting(); });
    entry.submit("refused", "a", 5);
    test.waitFor([&] { return entry.endOf("refused").has_value(); });
    CHECK(entry.endOf("refused")->outcome == run_outcome::not_run);
    // A replacement has another address, which the tree names.
    child_process replacement
        = startProcess("standin_engine", {"--token-ms", "1", "--load-ms", "10"});
    entry.registry.broadcast(settings_changed{settingsIndexOf(replacement.address("http"), true)});
    test.waitFor([&] { return entry.isAccepting(); });
    entry.submit("again", "a", 5);
    test.waitFor([&] { return entry.endOf("again").has_value(); });
    INFO(entry.endOf("again")->error.message);
    CHECK(entry.endOf("again")->outcome == run_outcome::completed);
}
