// Guards against an owner that unloads an adapter in use, runs a request twice, reports "not run"
// for a request that ran, or keeps sending commands to an endpoint that another instance has taken
// over.

#include "corneltally/entry/owned_endpoint.h"
#include "corneltally/ownership/lease_table.h"
#include "tests/unit/ownership_mock_engine.h"

#include <random>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using namespace corneltally::entry;
using corneltally::tests::mock_endpoint;
using corneltally::tests::mock_engine;

namespace {

struct owner_fixture
{
    core::time_point &now;
    mock_engine engine;
    owned_endpoint<mock_engine> owner;
    std::vector<run_event> events;
    std::vector<resident_adapter> requestedLoads;
    int outstandingPermits = 0;
    bool admitsLoads = true;

    owner_fixture(mock_endpoint &inEndpoint, core::time_point &ioNow, std::uint64_t inSlot = 1,
                  std::size_t inMaxQueued = 100)
        : now(ioNow)
        , engine(inEndpoint, [&ioNow] { return ioNow; })
        , owner(engine, viewOf(inEndpoint), {.instance = "entry-" + std::to_string(inSlot)},
                hooks())
    {
        owner.configure(viewOf(inEndpoint), inMaxQueued, 20s, inSlot);
        owner.setAssigned(true);
    }

    static settings::endpoint_view viewOf(const mock_endpoint &inEndpoint)
    {
        return {.name = "engine",
                .checksFencing = inEndpoint.checksFence,
                .adapterSlots = static_cast<int>(inEndpoint.slots),
                .runSlots = 4};
    }

    owned_endpoint_hooks hooks()
    {
        return {.now = [this] { return now; },
                .sendEvent = [this](const std::string &,
                                    run_event inEvent) { events.push_back(std::move(inEvent)); },
                .accountWeight = [](const std::string &) { return 1.0; },
                .admitLoad =
                    [this](const std::string &inAdapter, const std::string &inVersion) {
                        requestedLoads.push_back({inAdapter, inVersion});
                    },
                .loadDone
                = [this](const std::string &, const std::string &) { --outstandingPermits; }};
    }

    void answerPermits()
    {
        for (const resident_adapter &entry : std::exchange(requestedLoads, {})) {
            outstandingPermits += admitsLoads ? 1 : 0;
            owner.loadAdmitted({"engine", entry.adapter, entry.version, admitsLoads, 500ms});
        }
    }

    /// Advances the clock, delivers all calls to the endpoint and answers requests for permits.
    void runFor(core::duration inTime = 1s)
    {
        for (const core::time_point end = now + inTime; now < end; now += 50ms) {
            owner.tick();
            answerPermits();
            engine.deliverAll();
        }
    }

    run_submit makeRun(const std::string &inId, const std::string &inAdapter, bool inStream = true)
    {
        run_submit submitted;
        submitted.endpoint = "engine";
        submitted.origin = "entry-9";
        submitted.request.requestId = inId;
        submitted.request.account = "account";
        submitted.request.adapter = inAdapter;
        submitted.request.version = "1";
        submitted.request.body = adapterName(inAdapter, "1");
        submitted.request.promptTokens = 10;
        submitted.request.maxTokens = 10;
        submitted.request.stream = inStream;
        submitted.request.deadline = now + 60s;
        return submitted;
    }

    void submit(const std::string &inId, const std::string &inAdapter, bool inStream = true)
    {
        owner.submit(makeRun(inId, inAdapter, inStream));
    }

    const run_end *endOf(const std::string &inId) const
    {
        const run_end *found = nullptr;
        for (const run_event &event : events) {
            if (event.requestId == inId && std::holds_alternative<run_end>(event.event)) {
                REQUIRE(found == nullptr);
                found = &std::get<run_end>(event.event);
            }
        }
        return found;
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
};

struct single_owner
{
    core::time_point now{1000s};
    mock_endpoint endpoint;
    owner_fixture fixture;

    explicit single_owner(std::set<std::string> inResident = {}, bool inChecksFence = true)
        : endpoint{.checksFence = inChecksFence, .resident = std::move(inResident)}
        , fixture(endpoint, now)
    { }
};

} // namespace

TEST_CASE("an owner accepts runs only after it has a fencing number and a report")
{
    single_owner test({"a@1"});
    owner_fixture &owner = test.fixture;
    owner.submit("early", "a");
    REQUIRE(owner.endOf("early") != nullptr);
    CHECK(owner.endOf("early")->outcome == run_outcome::not_run);
    CHECK_FALSE(owner.owner.status().has_value());
    owner.runFor();
    REQUIRE(owner.owner.status().has_value());
    CHECK(owner.owner.status()->accepting);
    CHECK(owner.owner.status()->fence == 1025);
    CHECK(owner.owner.status()->resident == std::vector<resident_adapter>{{"a", "1"}});
    CHECK(test.endpoint.highest == 1025);
}

TEST_CASE("a stream's parts and end reach the origin, in order and once")
{
    single_owner test({"a@1"});
    owner_fixture &owner = test.fixture;
    owner.runFor();
    owner.submit("r", "a");
    REQUIRE(owner.engine.runs.size() == 1);
    CHECK(owner.engine.runs[0].fence == 1025);
    owner.engine.deliverAll();
    owner.engine.advance("r", false);
    owner.engine.advance("r", false);
    owner.engine.advance("r", true);
    CHECK(owner.partsOf("r") == std::vector<std::uint64_t>{0, 1});
    REQUIRE(owner.endOf("r") != nullptr);
    CHECK(owner.endOf("r")->outcome == run_outcome::completed);
    CHECK(owner.endOf("r")->outputTokens == 2);
    CHECK_FALSE(owner.owner.hasRuns());
}

TEST_CASE("a missing adapter is loaded after admission, then the run starts")
{
    single_owner test;
    owner_fixture &owner = test.fixture;
    owner.runFor();
    owner.submit("r", "a");
    CHECK(owner.requestedLoads.size() == 1);
    CHECK_FALSE(owner.engine.has("load"));
    owner.answerPermits();
    CHECK(owner.engine.has("load"));
    owner.engine.deliverAll();
    CHECK(test.endpoint.resident.contains("a@1"));
    CHECK(test.endpoint.starts["r"] == 1);
    CHECK(owner.outstandingPermits == 0);
}

TEST_CASE("a refused admission delays the load")
{
    single_owner test;
    owner_fixture &owner = test.fixture;
    owner.runFor();
    owner.admitsLoads = false;
    owner.submit("r", "a");
    owner.answerPermits();
    owner.owner.tick();
    CHECK(owner.requestedLoads.empty());
    test.now += 500ms;
    owner.owner.tick();
    CHECK(owner.requestedLoads.size() == 1);
}

TEST_CASE("an adapter that an earlier owner's run uses is unloaded only after that run")
{
    single_owner test({"a@1", "b@1"});
    owner_fixture &owner = test.fixture;
    test.endpoint.streams["foreign"] = {"a@1", 0, 4, true};
    test.endpoint.streams["foreign too"] = {"b@1", 0, 4, true};
    owner.runFor();
    owner.submit("r", "c");
    owner.runFor(5s);
    CHECK(test.endpoint.resident == std::set<std::string>{"a@1", "b@1"});
    test.endpoint.streams["foreign"].running = false;
    owner.runFor(5s);
    CHECK(test.endpoint.resident == std::set<std::string>{"b@1", "c@1"});
    CHECK(test.endpoint.unloadsInUse == 0);
    CHECK(test.endpoint.starts["r"] == 1);
}

TEST_CASE("a report from before the fencing number was registered does not end a quarantine")
{
    single_owner test({"a@1", "b@1"});
    owner_fixture &owner = test.fixture;
    owner.engine.reportAge = 10s;
    owner.runFor();
    owner.submit("r", "c");
    owner.runFor(5s);
    CHECK(test.endpoint.resident == std::set<std::string>{"a@1", "b@1"});
    owner.runFor(10s);
    CHECK(test.endpoint.resident.contains("c@1"));
}

TEST_CASE("a run rejected for its fencing number ends ownership and is reported as not run")
{
    single_owner test({"a@1"});
    owner_fixture &owner = test.fixture;
    owner.runFor();
    test.endpoint.highest = 5000;
    owner.submit("r", "a");
    owner.engine.deliverAll();
    REQUIRE(owner.endOf("r") != nullptr);
    CHECK(owner.endOf("r")->outcome == run_outcome::not_run);
    CHECK_FALSE(owner.owner.isOwning());
    CHECK(test.endpoint.starts.empty());
    // The endpoint is still assigned to this instance, which acquires it with a greater number.
    owner.runFor(2s);
    CHECK(owner.owner.isOwning());
    CHECK(test.endpoint.highest > 5000);
}

TEST_CASE("an adapter that the endpoint does not have is reported as not run")
{
    single_owner test({"a@1"});
    owner_fixture &owner = test.fixture;
    owner.runFor();
    test.endpoint.resident.clear();
    owner.submit("r", "a");
    owner.engine.deliverKind("run");
    REQUIRE(owner.endOf("r") != nullptr);
    CHECK(owner.endOf("r")->outcome == run_outcome::not_run);
    CHECK(owner.owner.status()->resident.empty());
}

TEST_CASE("an interrupted stream is resumed at the first missing part")
{
    single_owner test({"a@1"});
    owner_fixture &owner = test.fixture;
    owner.runFor();
    owner.submit("r", "a");
    owner.engine.deliverAll();
    owner.engine.advance("r", false);
    owner.engine.breakConnection("r");
    CHECK(owner.endOf("r") == nullptr);
    test.now += 100ms;
    owner.owner.tick();
    REQUIRE(owner.engine.has("resume"));
    for (const mock_engine::call &call : owner.engine.calls) {
        if (call.kind == "resume")
            CHECK(call.fence == 1);
    }
    owner.engine.deliverAll();
    owner.engine.advance("r", false);
    owner.engine.advance("r", true);
    CHECK(owner.partsOf("r") == std::vector<std::uint64_t>{0, 1});
    CHECK(owner.endOf("r")->outcome == run_outcome::completed);
    CHECK(test.endpoint.starts["r"] == 1);
}

TEST_CASE("a run that was interrupted without an answer is unknown and renews the fencing number")
{
    single_owner test({"a@1", "b@1"});
    owner_fixture &owner = test.fixture;
    owner.runFor(3s);
    owner.submit("r", "a", false);
    const auto inFlight = owner.engine.interrupt(0);
    REQUIRE(inFlight.kind == "run");
    REQUIRE(owner.endOf("r") != nullptr);
    CHECK(owner.endOf("r")->outcome == run_outcome::unknown);
    // No adapter is unloaded before the new number is registered.
    owner.submit("s", "c");
    owner.submit("t", "d");
    CHECK_FALSE(owner.engine.has("unload"));
    owner.runFor(3s);
    CHECK(test.endpoint.highest > 1025);
    const auto reply = inFlight.perform();
    CHECK(test.endpoint.starts["r"] == 0);
    owner.runFor(5s);
    CHECK(test.endpoint.unloadsInUse == 0);
    CHECK(test.endpoint.starts["s"] == 1);
    CHECK(test.endpoint.starts["t"] == 1);
}

TEST_CASE("an unload whose answer was lost does not affect a run that starts later")
{
    single_owner test({"a@1", "b@1"});
    owner_fixture &owner = test.fixture;
    owner.runFor(3s);
    owner.submit("s", "c");
    owner.answerPermits();
    REQUIRE(owner.engine.has("unload"));
    std::optional<mock_engine::call> unload;
    for (std::size_t index = 0; index < owner.engine.calls.size(); ++index) {
        if (owner.engine.calls[index].kind == "unload") {
            unload = owner.engine.interrupt(index);
            break;
        }
    }
    REQUIRE(unload.has_value());
    const std::string adapter = unload->subject.substr(0, 1);
    owner.submit("r", adapter);
    CHECK_FALSE(owner.engine.has("run"));
    owner.runFor(1s);
    CHECK(test.endpoint.starts["r"] == 1);
    unload->perform();
    CHECK(test.endpoint.unloadsInUse == 0);
    CHECK(test.endpoint.staleRefusals == 1);
}

TEST_CASE("a cancelled run frees its slot and its adapter stays in use until a report")
{
    single_owner test({"a@1", "b@1"});
    owner_fixture &owner = test.fixture;
    owner.runFor(3s);
    owner.submit("keep", "b");
    owner.submit("r", "a");
    owner.engine.deliverAll();
    owner.owner.cancel("r", "another instance");
    CHECK(owner.owner.status()->running == 2);
    owner.owner.cancel("r", "entry-9");
    CHECK(owner.owner.status()->running == 1);
    CHECK(owner.engine.cancelled == std::vector<std::string>{"r"});
    // The cancellation has not reached the endpoint, and the last report precedes the run.
    owner.submit("s", "c");
    owner.answerPermits();
    CHECK_FALSE(owner.engine.has("unload"));
    owner.runFor(8s);
    CHECK(test.endpoint.unloadsInUse == 0);
    CHECK(test.endpoint.starts["s"] == 1);
    CHECK(test.endpoint.resident == std::set<std::string>{"b@1", "c@1"});
}

TEST_CASE("queued runs past their deadline or beyond the queue limit end as not run")
{
    core::time_point now(1000s);
    mock_endpoint endpoint{.resident = {"a@1"}};
    owner_fixture owner(endpoint, now, 1, 2);
    owner.admitsLoads = false;
    owner.runFor();
    owner.submit("r1", "cold");
    owner.submit("r2", "cold");
    CHECK_FALSE(owner.owner.status()->accepting);
    owner.submit("r3", "cold");
    REQUIRE(owner.endOf("r3") != nullptr);
    CHECK(owner.endOf("r3")->error.kind == core::error_kind::overloaded);
    now += 60s;
    owner.owner.tick();
    REQUIRE(owner.endOf("r1") != nullptr);
    CHECK(owner.endOf("r1")->outcome == run_outcome::not_run);
    CHECK(owner.endOf("r1")->error.kind == core::error_kind::timeout);
}

TEST_CASE("a draining owner returns queued runs and finishes running ones")
{
    single_owner test({"a@1"});
    owner_fixture &owner = test.fixture;
    owner.runFor();
    owner.admitsLoads = false;
    owner.submit("running", "a");
    owner.submit("waiting", "cold");
    owner.engine.deliverAll();
    CHECK(owner.owner.startDrain() == 1);
    CHECK(owner.endOf("waiting")->outcome == run_outcome::not_run);
    CHECK(owner.owner.hasRuns());
    owner.submit("late", "a");
    CHECK(owner.endOf("late")->outcome == run_outcome::not_run);
    owner.runFor();
    owner.engine.advance("running", true);
    CHECK(owner.endOf("running")->outcome == run_outcome::completed);
    CHECK_FALSE(owner.owner.hasRuns());
}

TEST_CASE("a new owner resumes a stream of the old one ahead of queued runs")
{
    core::time_point now(1000s);
    mock_endpoint endpoint{.resident = {"a@1"}};
    owner_fixture first(endpoint, now, 1);
    first.runFor();
    first.submit("r", "a");
    first.engine.deliverAll();
    first.engine.advance("r", false);
    owner_fixture second(endpoint, now, 2);
    second.runFor();
    CHECK(endpoint.highest == 2050);
    for (int run = 0; run < 10; ++run)
        second.submit("other " + std::to_string(run), "a");
    run_submit resumed = second.makeRun("r", "a");
    resumed.resumeFrom = 1;
    second.owner.submit(resumed);
    second.engine.deliverAll();
    second.engine.advance("r", false);
    second.engine.advance("r", true);
    CHECK(second.partsOf("r") == std::vector<std::uint64_t>{1});
    CHECK(second.endOf("r")->outcome == run_outcome::completed);
    CHECK(endpoint.starts["r"] == 1);
}

TEST_CASE("a pause drops ownership and queued runs; a new fencing number is acquired")
{
    single_owner test({"a@1"});
    owner_fixture &owner = test.fixture;
    owner.runFor();
    owner.admitsLoads = false;
    owner.submit("waiting", "cold");
    owner.owner.resumeAfterPause();
    CHECK(owner.endOf("waiting")->outcome == run_outcome::not_run);
    CHECK_FALSE(owner.owner.isOwning());
    owner.runFor();
    CHECK(owner.owner.isOwning());
    CHECK(test.endpoint.highest == 2049);
}

TEST_CASE("without a lease, an endpoint that ignores fencing numbers gets runs but no commands")
{
    single_owner test({"a@1"}, false);
    owner_fixture &owner = test.fixture;
    owner.runFor();
    owner.submit("warm", "a");
    owner.submit("cold", "b");
    owner.runFor(5s);
    CHECK(test.endpoint.starts["warm"] == 1);
    CHECK(owner.requestedLoads.empty());
    CHECK(test.endpoint.starts["cold"] == 0);
    ownership::lease_table table;
    const auto record = owner.owner.lease().propose(table, test.now);
    REQUIRE(record.has_value());
    table.apply(1, *record, test.now);
    owner.owner.lease().observe(table, test.now);
    owner.runFor(1s);
    CHECK(test.endpoint.starts["cold"] == 1);
    test.now += 20s;
    owner.submit("later", "c");
    owner.runFor(1s);
    CHECK(owner.requestedLoads.empty());
    CHECK_FALSE(test.endpoint.resident.contains("c@1"));
}

TEST_CASE("an endpoint that stops answering gets no runs until it answers again")
{
    single_owner test({"a@1"});
    owner_fixture &owner = test.fixture;
    owner.runFor();
    owner.admitsLoads = false;
    owner.submit("waiting", "cold");
    for (int round = 0; round < 3; ++round) {
        test.now += 300ms;
        owner.owner.tick();
        REQUIRE(owner.engine.has("state"));
        owner.engine.interrupt(0);
    }
    CHECK_FALSE(owner.owner.status()->accepting);
    CHECK(owner.endOf("waiting")->outcome == run_outcome::not_run);
    owner.runFor();
    CHECK(owner.owner.status()->accepting);
}

TEST_CASE("random schedules with two owners, lost answers and late commands violate no guarantee")
{
    int completedRuns = 0;
    int unloads = 0;
    for (unsigned seed = 0; seed < 300; ++seed) {
        std::mt19937 random(seed);
        core::time_point now(1000s);
        mock_endpoint endpoint{.resident = {"a@1", "b@1"}};
        owner_fixture first(endpoint, now, 1);
        owner_fixture second(endpoint, now, 2);
        std::vector<mock_engine::call> late;
        int nextRun = 0;
        for (int step = 0; step < 600; ++step) {
            now += std::chrono::milliseconds(random() % 60);
            for (owner_fixture *fixture : {&first, &second}) {
                owner_fixture &owner = *fixture;
                owner.owner.tick();
                owner.answerPermits();
                if (random() % 8 == 0)
                    owner.submit("r" + std::to_string(nextRun++),
                                 std::string(1, "abcd"[random() % 4]), random() % 2 == 0);
                if (random() % 200 == 0)
                    owner.owner.setAssigned(random() % 2 == 0);
                if (random() % 200 == 0)
                    owner.owner.resumeAfterPause();
                if (nextRun > 0 && random() % 40 == 0)
                    owner.owner.cancel("r" + std::to_string(random() % nextRun), "entry-9");
                while (!owner.engine.calls.empty() && random() % 3 != 0) {
                    const std::size_t index = random() % owner.engine.calls.size();
                    const unsigned action = random() % 40;
                    if (action == 0)
                        owner.engine.loseAnswer(index);
                    else if (action == 1)
                        late.push_back(owner.engine.interrupt(index));
                    else
                        owner.engine.deliver(index);
                }
                if (!owner.engine.open.empty() && random() % 3 == 0) {
                    const std::string id = owner.engine.open.begin()->first;
                    if (random() % 20 == 0)
                        owner.engine.breakConnection(id);
                    else
                        owner.engine.advance(id, random() % 2 == 0);
                }
            }
            // Streams whose connection is closed end after a random time.
            for (auto &[id, stream] : endpoint.streams) {
                if (stream.running && random() % 20 == 0 && !first.engine.open.contains(id)
                    && !second.engine.open.contains(id))
                    stream.running = false;
            }
            if (!late.empty() && random() % 10 == 0) {
                const std::size_t index = random() % late.size();
                late[index].perform();
                late.erase(late.begin() + static_cast<std::ptrdiff_t>(index));
            }
        }
        INFO("seed " << seed);
        REQUIRE(endpoint.unloadsInUse == 0);
        for (const auto &[id, starts] : endpoint.starts)
            REQUIRE(starts <= 1);
        for (const owner_fixture *owner : {&first, &second}) {
            for (const run_event &event : owner->events) {
                const auto *end = std::get_if<run_end>(&event.event);
                if (end == nullptr)
                    continue;
                completedRuns += end->outcome == run_outcome::completed ? 1 : 0;
                if (end->outcome == run_outcome::not_run) {
                    INFO("run " << event.requestId);
                    REQUIRE(endpoint.starts[event.requestId] == 0);
                }
            }
        }
        unloads += endpoint.resident != std::set<std::string>{"a@1", "b@1"} ? 1 : 0;
    }
    WARN("completed runs " << completedRuns << ", schedules with unloads " << unloads);
    CHECK(completedRuns > 1000);
    CHECK(unloads > 100);
}
