// Guards the path of a request through two instances against answers that are lost, mixed up,
// duplicated or reported as "not run" without proof when the owner or the caller fails.

#include "corneltally/core/digest.h"
#include "corneltally/core/metrics.h"
#include "corneltally/entry/claims_messages.h"
#include "corneltally/entry/dispatch_service.h"
#include "corneltally/entry/drain_messages.h"
#include "corneltally/entry/front_end_service.h"
#include "corneltally/entry/owner_messages.h"
#include "corneltally/entry/peers_service.h"
#include "corneltally/http/client.h"
#include "corneltally/http/exchange.h"
#include "corneltally/http/server.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/settings/settings_index.h"
#include "corneltally/settings/settings_tree.h"

#include <optional>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace corneltally::entry;
using namespace std::chrono_literals;

namespace {

const std::string cKey = "key-of-harbour-0001";

/// One entry instance whose owner, admission and claims services are replaced by the test.
struct instance
{
    core::metrics counters;
    std::unique_ptr<kernel::service_registry> registry;
    peers_service *peers = nullptr;
    front_end_service *frontEnd = nullptr;
    std::string name;
    std::vector<run_submit> submits;
    std::vector<run_cancel> cancels;
    std::vector<charge_settle> settles;
    std::vector<claim_finish> finishes;
    std::vector<claim_release> releases;
    std::optional<peers_changed> view;
    std::function<void(const run_submit &)> onSubmit;

    instance(kernel::event_loop &inLoop, const std::string &inName, std::uint64_t inIncarnation)
        : registry(std::make_unique<kernel::service_registry>(inLoop))
        , name(inName)
    {
        const http::address any{"127.0.0.1", 0};
        frontEnd = &registry->add(std::make_unique<front_end_service>(
            *registry, counters, front_end_options{inName, inIncarnation, any, {}}));
        registry->add(std::make_unique<dispatch_service>(*registry, counters, inName));
        peers = &registry->add(std::make_unique<peers_service>(
            *registry, peers_options{inName, inIncarnation, any, {}}));
        REQUIRE(frontEnd->listen());
        REQUIRE(peers->listen());
        handleOwnerMessages();
        registry->handle<admission_request>(
            "admission", [this](const admission_request &inRequest) {
                registry->post("front_end", admission_result{.requestId = inRequest.requestId});
            });
        registry->handle<charge_settle>(
            "admission", [this](const charge_settle &inSettle) { settles.push_back(inSettle); });
        registry->handle<claim_begin>("claims", [this](const claim_begin &inBegin) {
            registry->post("front_end",
                           claim_result{.requestId = inBegin.requestId,
                                        .outcome = claim_outcome::granted,
                                        .claimId = "claim-1"});
        });
        registry->handle<claim_finish>(
            "claims", [this](const claim_finish &inFinish) { finishes.push_back(inFinish); });
        registry->handle<claim_release>(
            "claims", [this](const claim_release &inRelease) { releases.push_back(inRelease); });
    }

    void handleOwnerMessages()
    {
        registry->handle<run_submit>("owner", [this](const run_submit &inSubmit) {
            submits.push_back(inSubmit);
            if (onSubmit)
                onSubmit(inSubmit);
        });
        registry->handle<peer_received<run_submit>>(
            "owner", [this](const peer_received<run_submit> &inReceived) {
                submits.push_back(inReceived.message);
                if (onSubmit)
                    onSubmit(inReceived.message);
            });
        registry->handle<run_cancel>(
            "owner", [this](const run_cancel &inCancel) { cancels.push_back(inCancel); });
        registry->handle<peer_received<run_cancel>>(
            "owner", [this](const peer_received<run_cancel> &inReceived) {
                cancels.push_back(inReceived.message);
            });
        registry->handle<peers_changed>("owner",
                                        [this](const peers_changed &inView) { view = inView; });
    }

    /// Sends an event of a run to its origin, as an owner does.
    void send(const run_submit &inSubmit, run_event inEvent)
    {
        if (inSubmit.origin == name)
            registry->post("dispatch", std::move(inEvent));
        else
            registry->post("peers", peer_send{inSubmit.origin, std::move(inEvent)});
    }

    void answer(const run_submit &inSubmit, std::uint64_t inFirst, std::uint64_t inLast)
    {
        const std::string &id = inSubmit.request.requestId;
        send(inSubmit, {id, run_head{200, "application/json"}});
        for (std::uint64_t part = inFirst; part < inLast; ++part)
            send(inSubmit, {id, run_chunk{part, "{\"n\":" + std::to_string(part) + "}"}});
    }

    void complete(const run_submit &inSubmit)
    {
        send(inSubmit,
             {inSubmit.request.requestId,
              run_end{.outcome = run_outcome::completed, .outputTokens = 3}});
    }

    /// Publishes the status of an endpoint to this instance and to its peers.
    void publish(const std::string &inEndpoint, std::uint64_t inFence)
    {
        const endpoint_status status{.endpoint = inEndpoint,
                                     .owner = name,
                                     .fence = inFence,
                                     .accepting = true,
                                     .resident = {{"tone", "3"}}};
        registry->post("dispatch", status);
        registry->post("peers", peer_send{{}, status});
    }
};

struct call_state
{
    std::optional<int> status;
    http::header_list headers;
    std::string body;
    std::optional<http::call_outcome> outcome;
};

/// Two instances, an application service and a caller on one loop.
struct fixture
{
    kernel::event_loop loop;
    kernel::timer limit{loop, [this] { loop.stop(); }};
    kernel::timer poll{loop, [this] { stopIfMet(); }};
    std::function<bool()> condition;
    std::unique_ptr<instance> north{std::make_unique<instance>(loop, "entry-1", 1)};
    std::unique_ptr<instance> south{std::make_unique<instance>(loop, "entry-2", 2)};
    std::function<void(http::exchange &)> onOrder;
    std::vector<std::shared_ptr<http::exchange>> orders;
    http::server application{loop, [this](const std::shared_ptr<http::exchange> &inExchange) {
                                 orders.push_back(inExchange);
                                 if (onOrder)
                                     onOrder(*inExchange);
                             }};
    http::client caller{loop};

    fixture()
    {
        REQUIRE(application.listen({"127.0.0.1", 0}));
        applyTree("");
        north->registry->startAll();
        south->registry->startAll();
        REQUIRE(waitFor([&] {
            return north->view && north->view->live.size() == 2 && south->view
                && south->view->live.size() == 2;
        }));
    }

    ~fixture()
    {
        north.reset();
        south.reset();
    }

    void applyTree(const std::string &inKeyValues)
    {
        const auto address
            = [](unsigned short inPort) { return "127.0.0.1:" + std::to_string(inPort); };
        const std::string text = R"(
[accounts.harbour]
rate_tokens_per_second = 1000
burst_tokens = 500
[accounts.harbour.keys.k1]
digest = ")" + core::sha256Hex(cKey)
            + "\"\n" + inKeyValues + R"(
[adapters.tone]
base_model = "base-7"
version = "3"
[routes.completions]
path = "/v1/completions"
repeatable = true
timeout_ms = 15000
[routes.once]
path = "/once"
timeout_ms = 15000
[routes.orders]
kind = "service"
path = "/orders"
timeout_ms = 15000
[endpoints.engine-1]
address = "127.0.0.1:9"
failure_domain = "north"
base_model = "base-7"
[endpoints.orders-1]
kind = "service"
failure_domain = "north"
address = ")"
            + address(application.port()) + R"("
[instances.entry-1]
failure_domain = "north"
peer_address = ")"
            + address(north->peers->port()) + R"("
[instances.entry-2]
failure_domain = "south"
peer_address = ")"
            + address(south->peers->port()) + "\"\n";
        const auto tree = settings::settings_tree::sFromToml(text, "tree.toml");
        INFO((tree ? std::string() : tree.reason().message));
        REQUIRE(tree.hasValue());
        const auto settingsIndex = std::make_shared<const settings::settings_index>(*tree);
        for (instance *target : {north.get(), south.get()}) {
            if (target != nullptr)
                target->registry->broadcast(settings_changed{settingsIndex});
        }
    }

    void stopIfMet()
    {
        if (condition())
            loop.stop();
    }

    bool waitFor(std::function<bool()> inCondition, core::duration inLimit = 20s)
    {
        condition = std::move(inCondition);
        if (condition())
            return true;
        poll.startRepeating(1ms);
        limit.startOnce(inLimit);
        loop.run();
        poll.cancel();
        limit.cancel();
        return condition();
    }

    http::client::call_id request(call_state &outState, const std::string &inPath,
                                  const std::string &inBody, http::header_list inHeaders = {})
    {
        inHeaders.emplace_back("Authorization", "Bearer " + cKey);
        return caller.call(
            {.target = {"127.0.0.1", north->frontEnd->port()},
             .method = "POST",
             .path = inPath,
             .headers = std::move(inHeaders),
             .body = inBody},
            {.onHead =
                 [&outState](int inStatus, const http::header_list &inReceived) {
                     outState.status = inStatus;
                     outState.headers = inReceived;
                 },
             .onData = [&outState](std::string_view inData) { outState.body.append(inData); },
             .onEnd = [&outState](http::call_outcome inOutcome) { outState.outcome = inOutcome; }});
    }

    bool finish(const call_state &inState)
    {
        return waitFor([&] { return inState.outcome.has_value(); });
    }
};

std::string events(int inCount)
{
    std::string text;
    for (int part = 0; part < inCount; ++part)
        text.append("data: {\"n\":" + std::to_string(part) + "}\n\n");
    return text;
}

const std::string cStreamBody = R"({"model":"tone","prompt":"hello","stream":true})";
const std::string cPlainBody = R"({"model":"tone","prompt":"hello"})";

} // namespace

TEST_CASE("a stream passes through the instance that owns the endpoint")
{
    fixture test;
    test.south->onSubmit = [&](const run_submit &inSubmit) {
        test.south->answer(inSubmit, 0, 3);
        test.south->complete(inSubmit);
    };
    test.south->publish("engine-1", 1025);
    call_state call;
    test.request(call, "/v1/completions", cStreamBody);
    REQUIRE(test.finish(call));
    CHECK(call.status == 200);
    CHECK(call.body == events(3) + "data: [DONE]\n\n");
    CHECK(http::findHeader(call.headers, "X-Request-Id") == "entry-1-1-1");
    REQUIRE(test.south->submits.size() == 1);
    const run &received = test.south->submits.front().request;
    CHECK(received.account == "harbour");
    CHECK(received.version == "3");
    CHECK(received.body.find(cKey) == std::string::npos);
    REQUIRE(test.north->settles.size() == 1);
    CHECK(test.north->settles.front().charged == Approx(257.25));
    CHECK(test.north->settles.front().used == Approx(4.25));
}

TEST_CASE("duplicate parts reach the caller once and a missing part is requested again")
{
    fixture test;
    test.south->onSubmit = [&](const run_submit &inSubmit) {
        if (inSubmit.resumeFrom == 0) {
            test.south->answer(inSubmit, 0, 2);
            test.south->answer(inSubmit, 1, 2);
            test.south->answer(inSubmit, 4, 5);
        } else {
            CHECK(inSubmit.resumeFrom == 2);
            test.south->answer(inSubmit, 1, 5);
            test.south->complete(inSubmit);
        }
    };
    test.south->publish("engine-1", 1025);
    call_state call;
    test.request(call, "/v1/completions", cStreamBody);
    REQUIRE(test.finish(call));
    CHECK(call.body == events(5) + "data: [DONE]\n\n");
}

TEST_CASE("a stream is resumed by the next owner after its owner stopped")
{
    fixture test;
    test.south->onSubmit = [&](const run_submit &inSubmit) { test.south->answer(inSubmit, 0, 2); };
    test.south->publish("engine-1", 1025);
    call_state call;
    test.request(call, "/v1/completions", cStreamBody);
    REQUIRE(test.waitFor([&] { return call.body == events(2); }));
    test.north->onSubmit = [&](const run_submit &inSubmit) {
        CHECK(inSubmit.resumeFrom == 2);
        test.north->answer(inSubmit, 2, 4);
        test.north->complete(inSubmit);
    };
    test.south.reset();
    REQUIRE(test.waitFor([&] { return test.north->view->live.size() == 1; }));
    test.north->publish("engine-1", 2048);
    REQUIRE(test.finish(call));
    CHECK(call.body == events(4) + "data: [DONE]\n\n");
}

TEST_CASE("a repeatable run without parts is repeated after its owner stopped")
{
    fixture test;
    test.south->publish("engine-1", 1025);
    call_state call;
    test.request(call, "/v1/completions", cPlainBody);
    REQUIRE(test.waitFor([&] { return test.south->submits.size() == 1; }));
    test.north->onSubmit = [&](const run_submit &inSubmit) {
        test.north->answer(inSubmit, 0, 1);
        test.north->complete(inSubmit);
    };
    test.south.reset();
    REQUIRE(test.waitFor([&] { return test.north->view->live.size() == 1; }));
    test.north->publish("engine-1", 2048);
    REQUIRE(test.finish(call));
    CHECK(call.status == 200);
    CHECK(call.body == R"({"n":0})");
}

TEST_CASE("a run that must not be repeated ends as unknown after its owner stopped")
{
    fixture test;
    test.south->publish("engine-1", 1025);
    call_state call;
    test.request(call, "/once", cPlainBody);
    REQUIRE(test.waitFor([&] { return test.south->submits.size() == 1; }));
    test.south.reset();
    test.north->publish("engine-1", 2048);
    REQUIRE(test.finish(call));
    CHECK(call.status == 502);
    CHECK(call.body.find(R"("run":"unknown")") != std::string::npos);
    CHECK(test.north->submits.empty());
}

TEST_CASE("a run that every endpoint refused is answered as not run with Retry-After")
{
    fixture test;
    test.south->onSubmit = [&](const run_submit &inSubmit) {
        test.south->send(inSubmit,
                         {inSubmit.request.requestId,
                          run_end{.outcome = run_outcome::not_run,
                                  .error = {core::error_kind::overloaded, "queue full", "wait"},
                                  .retryAfterSeconds = 2}});
    };
    test.south->publish("engine-1", 1025);
    call_state call;
    test.request(call, "/v1/completions", cPlainBody);
    REQUIRE(test.finish(call));
    CHECK(call.status == 503);
    CHECK(call.body.find(R"("run":"not_run")") != std::string::npos);
    CHECK(http::findHeader(call.headers, "Retry-After") == "2");
    REQUIRE(test.north->settles.size() == 1);
    CHECK(test.north->settles.front().used == 0);
}

TEST_CASE("a run is cancelled at its owner when its caller disconnects")
{
    fixture test;
    test.south->onSubmit = [&](const run_submit &inSubmit) { test.south->answer(inSubmit, 0, 1); };
    test.south->publish("engine-1", 1025);
    call_state call;
    const auto id = test.request(call, "/v1/completions", cStreamBody);
    REQUIRE(test.waitFor([&] { return !call.body.empty(); }));
    test.caller.cancel(id);
    REQUIRE(test.waitFor([&] { return test.south->cancels.size() == 1; }));
    CHECK(test.south->cancels.front().requestId == "entry-1-1-1");
}

TEST_CASE("a running stream ends with an error when its key is withdrawn")
{
    fixture test;
    test.south->onSubmit = [&](const run_submit &inSubmit) { test.south->answer(inSubmit, 0, 1); };
    test.south->publish("engine-1", 1025);
    call_state call;
    test.request(call, "/v1/completions", cStreamBody);
    REQUIRE(test.waitFor([&] { return !call.body.empty(); }));
    test.applyTree("withdrawn = true\n");
    REQUIRE(test.finish(call));
    CHECK(call.body.find(R"("type":"unauthorized")") != std::string::npos);
    call_state next;
    test.request(next, "/v1/completions", cStreamBody);
    REQUIRE(test.finish(next));
    CHECK(next.status == 401);
    CHECK(test.south->submits.size() == 1);
}

TEST_CASE("an order is called once, with its own id and without the caller's key")
{
    fixture test;
    test.onOrder = [](http::exchange &ioExchange) {
        ioExchange.reply(201, {{"Content-Type", "text/plain"}}, "booked");
    };
    call_state call;
    test.request(call, "/orders", "one", {{"Idempotency-Key", "k-1"}, {"X-Other", cKey}});
    REQUIRE(test.finish(call));
    CHECK(call.status == 201);
    CHECK(call.body == "booked");
    REQUIRE(test.orders.size() == 1);
    CHECK(test.orders.front()->header("X-Order-Id").size() == 64);
    CHECK(test.orders.front()->header("X-Request-Id") == "entry-1-1-1");
    for (const auto &[name, value] : test.orders.front()->headers())
        CHECK(value.find(cKey) == std::string::npos);
    REQUIRE(test.north->finishes.size() == 1);
    CHECK(test.north->finishes.front().body == "booked");
    CHECK(test.north->finishes.front().status == 201);
}

TEST_CASE("an order whose connection breaks ends as unknown and is not sent again")
{
    fixture test;
    test.onOrder = [](http::exchange &ioExchange) { ioExchange.abort(); };
    call_state call;
    test.request(call, "/orders", "one", {{"Idempotency-Key", "k-1"}});
    REQUIRE(test.finish(call));
    CHECK(call.status == 502);
    CHECK(call.body.find(R"("run":"unknown")") != std::string::npos);
    CHECK(test.orders.size() == 1);
    CHECK(test.north->finishes.empty());
    CHECK(test.north->releases.empty());
}

TEST_CASE("an order that the service refused releases its claim")
{
    fixture test;
    test.onOrder = [](http::exchange &ioExchange) {
        ioExchange.reply(503, {{"X-Not-Run", "true"}}, "");
    };
    call_state call;
    test.request(call, "/orders", "one", {{"Idempotency-Key", "k-1"}});
    REQUIRE(test.finish(call));
    CHECK(call.status == 503);
    CHECK(call.body.find(R"("run":"not_run")") != std::string::npos);
    CHECK(test.north->releases.size() == 1);
}

TEST_CASE("an order runs to its end when its caller disconnects")
{
    fixture test;
    call_state call;
    const auto id = test.request(call, "/orders", "one", {{"Idempotency-Key", "k-1"}});
    REQUIRE(test.waitFor([&] { return test.orders.size() == 1; }));
    test.caller.cancel(id);
    kernel::timer later(test.loop, [&] { test.orders.front()->reply(200, {}, "booked"); });
    later.startOnce(50ms);
    REQUIRE(test.waitFor([&] { return test.north->finishes.size() == 1; }));
    CHECK(test.north->finishes.front().body == "booked");
}

TEST_CASE("bad requests are answered with typed errors")
{
    fixture test;
    const auto statusOf = [&](const std::string &inPath, const std::string &inBody) {
        call_state call;
        test.request(call, inPath, inBody);
        REQUIRE(test.finish(call));
        CHECK(call.body.find(R"("request_id":"entry-1-1-)") != std::string::npos);
        CHECK(call.body.find(R"("run":"not_run")") != std::string::npos);
        return call.status.value_or(0);
    };
    CHECK(statusOf("/nowhere", "") == 404);
    CHECK(statusOf("/v1/completions", "{") == 400);
    CHECK(statusOf("/v1/completions", R"({"model":"tune","prompt":"a"})") == 404);
    CHECK(statusOf("/v1/completions", std::string(1'000'000, 'a')) == 400);
}

TEST_CASE("a draining instance finishes its requests and reports their number")
{
    fixture test;
    std::optional<run_submit> held;
    test.south->onSubmit = [&](const run_submit &inSubmit) {
        held = inSubmit;
        test.south->answer(inSubmit, 0, 1);
    };
    test.south->publish("engine-1", 1025);
    std::optional<callers_drained> drained;
    test.north->registry->handle<callers_drained>(
        "drain", [&](const callers_drained &inDrained) { drained = inDrained; });
    call_state call;
    test.request(call, "/v1/completions", cStreamBody);
    REQUIRE(test.waitFor([&] { return !call.body.empty(); }));
    test.north->registry->broadcast(drain_started{});
    REQUIRE(test.waitFor([&] { return test.south->view->draining.size() == 1; }));
    CHECK(test.south->view->live == std::vector<std::string>{"entry-2"});
    test.south->answer(*held, 1, 2);
    test.south->complete(*held);
    REQUIRE(test.finish(call));
    CHECK(call.body == events(2) + "data: [DONE]\n\n");
    REQUIRE(test.waitFor([&] { return drained.has_value(); }));
    CHECK(drained->finished == 1);
}
