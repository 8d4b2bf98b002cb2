// Guards against an order that runs twice, and against "not run" answers to orders that ran, while
// applications close without answering, answers of the log are lost, the log is down and an entry
// instance is killed and restarted.

#include "tests/promise/promise_fleet.h"

#include <array>
#include <atomic>
#include <cstdio>
#include <map>
#include <mutex>
#include <set>
#include <thread>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace promise;
using namespace std::chrono_literals;
using nlohmann::json;

namespace {

constexpr int cWorkers = 6;
constexpr int cOrdersOfWorker = 10;
constexpr int cMaxAttempts = 40;
/// An order whose outcome is unknown stays so; a few repeats show that it does not run again.
constexpr int cRepeatsAfterUnknown = 3;

standins::fleet_options orderFleet()
{
    return {.engines = 1, .applications = 3, .enginesWithoutFencing = 0, .adapters = 10};
}

/// All answers that the callers of orders got.
struct order_book
{
    struct entry
    {
        std::vector<caller_answer> answers;
    };

    void add(const std::string &inOrder, const caller_answer &inAnswer)
    {
        const std::lock_guard lock(mutex);
        orders[inOrder].answers.push_back(inAnswer);
    }

    std::mutex mutex;
    std::map<std::string, entry> orders;
};

caller_request orderRequest(const std::string &inAddress, const std::string &inKey,
                            const std::string &inOrder)
{
    return {.address = inAddress,
            .path = "/orders",
            .key = inKey,
            .body = json{{"order", inOrder}, {"amount", 1}}.dump(),
            .headers = {{"Idempotency-Key", inOrder}},
            .timeout = 12s,
            .freshConnection = true};
}

/// Sends one order to one instance after the other until it is answered.
void placeOrder(standins::http_probe &ioProbe, const std::vector<std::string> &inAddresses,
                const std::string &inKey, const std::string &inOrder, std::size_t inFirst,
                order_book &ioBook)
{
    int unknown = 0;
    for (int attempt = 0; attempt < cMaxAttempts && unknown <= cRepeatsAfterUnknown; ++attempt) {
        const std::string &address
            = inAddresses[(inFirst + static_cast<std::size_t>(attempt)) % inAddresses.size()];
        const caller_answer answer = callEntry(ioProbe, orderRequest(address, inKey, inOrder));
        ioBook.add(inOrder, answer);
        if (answer.isComplete())
            return;
        if (!answer.isNotRun())
            ++unknown;
        std::this_thread::sleep_for(150ms);
    }
}

std::map<std::string, int> runsByOrder(promise_fleet &ioFleet, std::set<std::string> &outRequests,
                                       int &outLost)
{
    std::map<std::string, int> runs;
    for (const std::string &name : ioFleet.processes().names("application-")) {
        for (const json &fact : ioFleet.facts(name + ".ledger", "order_run")) {
            const std::string order = fact.value("order", std::string());
            if (!order.empty())
                ++runs[order];
            outRequests.insert(fact.value("request_id", std::string()));
            outLost += fact.value("answer_lost", false) ? 1 : 0;
        }
    }
    return runs;
}

struct order_totals
{
    int completed = 0;
    int notRunAnswers = 0;
    int unknownAnswers = 0;
    int lostAnswers = 0;
};

/// Compares what callers were told with the ledgers of the applications.
order_totals checkOrders(promise_fleet &ioFleet, const order_book &inBook)
{
    order_totals totals;
    std::set<std::string> requests;
    std::map<std::string, int> runs = runsByOrder(ioFleet, requests, totals.lostAnswers);
    for (const auto &[order, count] : runs) {
        INFO("order " << order);
        CHECK(count <= 1);
    }
    for (const auto &[order, entry] : inBook.orders) {
        INFO("order " << order);
        std::set<std::string> bodies;
        bool everyNotRun = true;
        for (const caller_answer &answer : entry.answers) {
            if (answer.isComplete())
                bodies.insert(answer.body);
            everyNotRun = everyNotRun && answer.isNotRun();
            totals.notRunAnswers += answer.isNotRun() ? 1 : 0;
            totals.unknownAnswers += !answer.isNotRun() && !answer.isComplete() ? 1 : 0;
            INFO("request " << answer.requestId);
            if (answer.isNotRun() && !answer.requestId.empty())
                CHECK_FALSE(requests.contains(answer.requestId));
        }
        CHECK(bodies.size() <= 1);
        if (!bodies.empty()) {
            ++totals.completed;
            CHECK(runs[order] == 1);
        }
        if (everyNotRun)
            CHECK(runs[order] == 0);
    }
    std::printf("%zu orders: %d completed, answers: %d not run, %d unknown; %d answers of "
                "applications lost\n",
                inBook.orders.size(), totals.completed, totals.notRunAnswers, totals.unknownAnswers,
                totals.lostAnswers);
    return totals;
}

} // namespace

TEST_CASE("P09_once_orders_retried_at_other_instances_during_faults")
{
    promise_fleet fleet("P09_retried", orderFleet());
    REQUIRE(fleet.publish({"--set", "/routes/order", "timeout_ms=3000"}) == 0);
    std::vector<std::string> addresses;
    for (const std::string &name : fleet.processes().names("entry-"))
        addresses.push_back(fleet.callers(name));
    order_book book;
    std::atomic<int> placed = 0;
    std::vector<std::thread> workers;
    workers.reserve(cWorkers);
    const std::string key = fleet.account(0).key;
    for (int worker = 0; worker < cWorkers; ++worker) {
        workers.emplace_back([&, worker] {
            standins::http_probe probe;
            for (int index = 0; index < cOrdersOfWorker; ++index) {
                const std::string order
                    = "o-" + std::to_string(worker) + "-" + std::to_string(index);
                placeOrder(probe, addresses, key, order,
                           static_cast<std::size_t>(worker) + static_cast<std::size_t>(index),
                           book);
                ++placed;
            }
        });
    }
    // Each fault waits for progress, so that orders are under way when it begins.
    const auto progress = [&](int inMore) {
        const int goal = std::min(placed + inMore, cWorkers * cOrdersOfWorker);
        return waitFor([&] { return placed >= goal; }, 40s);
    };
    bool progressed = progress(4);
    for (const std::string &name : fleet.processes().names("application-"))
        fleet.control(name, "faults", R"({"close_after_run":2})");
    progressed = progress(4) && progressed;
    fleet.control("platform", "log", R"({"stream":"claims","lose_answers":3})");
    progressed = progress(4) && progressed;
    fleet.process("entry-2").kill();
    inject("entry-2 killed");
    progressed = progress(4) && progressed;
    const bool restarted = fleet.processes().restart("entry-2");
    inject("entry-2 restarted");
    fleet.control("platform", "outage", R"({"part":"log","mode":"refuse"})");
    std::this_thread::sleep_for(1500ms);
    fleet.control("platform", "outage", R"({"part":"log","mode":"none"})");
    fleet.control("application-1", "faults", R"({"late_ms":4000})");
    progressed = progress(4) && progressed;
    fleet.control("application-1", "faults", R"({"late_ms":0})");
    for (std::thread &worker : workers)
        worker.join();
    CHECK(progressed);
    REQUIRE(restarted);
    const order_totals totals = checkOrders(fleet, book);
    // Without these the faults did not meet any order.
    CHECK(totals.lostAnswers > 0);
    CHECK(totals.notRunAnswers > 0);
    CHECK(totals.completed * 2 > cWorkers * cOrdersOfWorker);
    CHECK(messagesOf(fleet.violations({}), "P9").empty());
}

TEST_CASE("P09_once_same_key_sent_to_all_instances_at_once")
{
    promise_fleet fleet("P09_race", orderFleet());
    std::vector<std::string> addresses;
    for (const std::string &name : fleet.processes().names("entry-"))
        addresses.push_back(fleet.callers(name));
    order_book book;
    const std::string key = fleet.account(0).key;
    constexpr int cRaces = 12;
    for (int race = 0; race < cRaces; ++race) {
        // The claims of a third of the races lose an answer of the log.
        if (race % 3 == 1)
            fleet.control("platform", "log", R"({"stream":"claims","lose_answers":2})");
        const std::string order = "race-" + std::to_string(race);
        std::vector<std::thread> callers;
        callers.reserve(addresses.size());
        for (const std::string &address : addresses) {
            callers.emplace_back([&, address] {
                standins::http_probe probe;
                book.add(order, callEntry(probe, orderRequest(address, key, order)));
            });
        }
        for (std::thread &caller : callers)
            caller.join();
    }
    const order_totals totals = checkOrders(fleet, book);
    CHECK(totals.completed == cRaces);
    CHECK(messagesOf(fleet.violations({}), "P9").empty());
}

TEST_CASE("P08_not_run_answers_are_true_during_faults")
{
    promise_fleet fleet("P08_not_run", orderFleet());
    REQUIRE(fleet.publish({"--set", "/routes/order", "timeout_ms=3000"}) == 0);
    order_book book;
    standins::http_probe probe;
    const std::string key = fleet.account(0).key;
    const std::string address = fleet.callers("entry-1");
    int next = 0;
    const auto place = [&](const std::string &inPhase) {
        const std::string order = inPhase + "-" + std::to_string(next++);
        caller_answer answer = callEntry(probe, orderRequest(address, key, order));
        book.add(order, answer);
        return answer;
    };
    const auto applications = fleet.processes().names("application-");
    const auto forApplications = [&](const std::string &inJson) {
        for (const std::string &name : applications)
            fleet.control(name, "faults", inJson);
    };
    CHECK(place("healthy").isComplete());

    forApplications(R"({"refuse":-1})");
    for (int round = 0; round < 4; ++round)
        CHECK(place("refused").isNotRun());
    forApplications(R"({"refuse":0})");

    // An answer that was lost after the run must not be reported as "not run".
    forApplications(R"({"close_after_run":-1})");
    REQUIRE(waitFor([&] { return place("lost").run == "unknown"; }));
    for (int round = 0; round < 4; ++round)
        CHECK_FALSE(place("lost").isNotRun());
    forApplications(R"({"close_after_run":0})");

    // A late answer arrives after the caller was told; the next order must not get it.
    forApplications(R"({"late_ms":3500})");
    CHECK_FALSE(place("late").isNotRun());
    forApplications(R"({"late_ms":0})");

    fleet.control("platform", "outage", R"({"part":"log","mode":"hang"})");
    CHECK(place("log").isNotRun());
    fleet.control("platform", "outage", R"({"part":"log","mode":"refuse"})");
    for (int round = 0; round < 3; ++round)
        CHECK(place("log").isNotRun());
    fleet.control("platform", "outage", R"({"part":"log","mode":"none"})");
    REQUIRE(waitFor([&] { return place("recovered").isComplete(); }));

    // The bytes of the request end in the middle: the application does not run it, but the entry
    // instance cannot know.
    std::vector<std::string> links;
    links.reserve(applications.size());
    for (const std::string &name : applications)
        links.push_back(standins::fleet::sLinkName("entry-1", name));
    REQUIRE(fleet.processes().fault(links,
                                    R"({"fault":"drop_after","direction":"forward","bytes":60})"));
    inject("connections to applications closed after 60 bytes of a request");
    for (int round = 0; round < 3; ++round)
        CHECK_FALSE(place("dropped").isNotRun());
    REQUIRE(fleet.processes().healAll());

    for (const std::string &name : applications)
        fleet.process(name).kill();
    inject("all applications killed");
    for (int round = 0; round < 4; ++round)
        CHECK_FALSE(place("killed").isComplete());

    const order_totals totals = checkOrders(fleet, book);
    CHECK(totals.notRunAnswers >= 8);
    CHECK(totals.unknownAnswers >= 5);
}
