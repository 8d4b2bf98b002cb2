#pragma once

#include "corneltally/catalog/catalog_messages.h"
#include "corneltally/core/digest.h"
#include "corneltally/core/metrics.h"
#include "corneltally/forwarding/front_service.h"
#include "corneltally/http1/client_connection.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/service_registry.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/orders/order_messages.h"
#include "corneltally/routing/routing_table.h"
#include "platform/names.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

/// A front service with scripted endpoints, over real connections.
namespace corneltally::front_test {

using namespace std::chrono_literals;

inline const std::string cSealed = "HTTP/1.1 200 OK\r\n" + std::string(platform::cSealField)
    + ": s1\r\nContent-Length: 2\r\n\r\nok";
/// Refusal of the request with the id that callers of the fixture send by default.
inline const std::string cRefused = "HTTP/1.1 503 Service Unavailable\r\n"
    + std::string(platform::cNotExecutedField) + ": 1\r\n" + std::string(platform::cRequestIdField)
    + ": id1\r\nContent-Length: 0\r\n\r\n";
inline const std::string cFailed = "HTTP/1.1 500 Failed\r\n" + std::string(platform::cSealField)
    + ": s1\r\nContent-Length: 3\r\n\r\nbad";
inline const std::string cStreamHead = "HTTP/1.1 200 OK\r\n" + std::string(platform::cSealField)
    + ": s1\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";

inline std::string chunk(const std::string &inData)
{
    std::array<char, 16> size{};
    std::snprintf(size.data(), size.size(), "%zx\r\n", inData.size());
    return size.data() + inData + "\r\n";
}

/// How an endpoint answers its next request.
struct scripted_answer
{
    std::string bytes;
    bool closes = false;
    /// Sent before it on the endpoint's first connection, for example a late copy of an answer.
    std::string onFirstConnection = {};
};

struct endpoint_server
{
    kernel::event_loop &loop;
    std::vector<scripted_answer> script;
    /// Answers a request in place of the script.
    std::function<scripted_answer(const std::string &inRequest)> answers = {};
    std::vector<std::string> requests;
    std::vector<std::unique_ptr<http1::socket_stream>> streams;
    int ended = 0;
    http1::listener listener{loop, [this](int inSocket) { accept(inSocket); }};

    explicit endpoint_server(kernel::event_loop &inLoop)
        : loop(inLoop)
    {
        REQUIRE(listener.listen({"127.0.0.1", 0}));
    }

    void accept(int inSocket)
    {
        streams.push_back(std::make_unique<http1::socket_stream>(loop, inSocket, 5s));
        http1::socket_stream *stream = streams.back().get();
        stream->setEvents({.onConnected = {},
                           .onInput =
                               [this, stream] {
                                   requests.emplace_back(stream->input());
                                   stream->consume(stream->input().size());
                                   if (script.empty() && !answers)
                                       return;
                                   const scripted_answer answer
                                       = answers ? answers(requests.back()) : script.front();
                                   if (!answers)
                                       script.erase(script.begin());
                                   if (!answer.onFirstConnection.empty())
                                       streams.front()->write(answer.onFirstConnection);
                                   stream->write(answer.bytes);
                                   if (answer.closes)
                                       stream->shutdownWrite();
                               },
                           .onDrained = {},
                           .onEnd =
                               [this, stream](http1::stream_end) {
                                   ++ended;
                                   stream->close();
                               }});
    }
};

struct caller_view
{
    int status = 0;
    http1::header_fields fields;
    std::string body;
    http1::exchange_end end;
};

struct front_fixture
{
    core::duration firstMessageTimeout;
    bool confirmsEvacuations = false;
    bool weighsOverload = false;
    kernel::event_loop loop;
    core::metrics metrics;
    kernel::service_registry registry{loop};
    endpoint_server first{loop};
    endpoint_server second{loop};
    forwarding::front_service &front{registry.add(std::make_unique<forwarding::front_service>(
        registry, metrics,
        forwarding::front_options{.instance = "a",
                                  .failureDomain = "north",
                                  .listen = {"127.0.0.1", 0},
                                  .settings = {.limitsCold = true},
                                  .retries = {.ratio = 0.2, .slack = 100},
                                  .confirmsEvacuations = confirmsEvacuations,
                                  .weighsOverload = weighsOverload,
                                  .firstMessageTimeout = firstMessageTimeout}))};
    kernel::timer limit{loop, [this] { loop.stop(); }};
    kernel::timer heartbeats{loop, [this] { registry.broadcast(fleet::heartbeat_due{}); }};
    std::map<std::string, fleet::load_wanted> wanted;
    http1::caller_limits callerLimits;
    /// Changes the configuration before configure() publishes it.
    std::function<void(routing::configuration &)> adjusts = {};
    /// Requests per second that a cold endpoint of the plain service sustains; 0: never cold.
    double coldPerSecond = 0;

    explicit front_fixture(core::duration inFirstMessageTimeout = 400ms,
                           bool inConfirmsEvacuations = false, bool inWeighsOverload = false)
        : firstMessageTimeout(inFirstMessageTimeout)
        , confirmsEvacuations(inConfirmsEvacuations)
        , weighsOverload(inWeighsOverload)
    {
        REQUIRE(front.listen());
        registry.handle<orders::local_load_wanted>(
            "orders", [this](const orders::local_load_wanted &inWanted) {
                wanted[inWanted.wanted.endpoint] = inWanted.wanted;
                engineState({{}, {{"base/a1", {0, core::boot_clock::now() + 50ms}}}});
            });
        front.start();
        heartbeats.startRepeating(200ms);
        limit.startOnce(20s);
    }

    void configure(routing::repetition inKind, int inMaxEndpoints,
                   std::chrono::milliseconds inTimeout = 2s)
    {
        routing::configuration configuration{
            .version = 1,
            .routes = {{.name = "r",
                        .host = "shop.example",
                        .pathPrefix = "/a/",
                        .kind = inKind,
                        .timeout = inTimeout,
                        .maxEndpoints = inMaxEndpoints,
                        .services = {{"shop", 1}}},
                       {.name = "lm",
                        .host = "shop.example",
                        .pathPrefix = "/lm/",
                        .kind = inKind,
                        .timeout = inTimeout,
                        .targetLatency = 1s,
                        .maxEndpoints = inMaxEndpoints,
                        .services = {{"models", 1}}}},
            .services = {{.name = "shop", .coldTime = 10s, .coldPerSecond = coldPerSecond},
                         {.name = "models", .engine = routing::engine_profile{.batch = 64}}},
            .accounts = {{.name = "north",
                          .keyDigests = {core::sha256Hex("k1")},
                          .ratePerSecond = 1000,
                          .burst = 10'000}},
            .limits = callerLimits,
            .keysRequired = true};
        if (adjusts)
            adjusts(configuration);
        registry.broadcast(catalog::configuration_changed{
            std::make_shared<const routing::routing_table>(std::move(configuration))});
        announce("e1", "shop", first);
        announce("e2", "shop", second);
        announce("m1", "models", first);
        registry.broadcast(catalog::endpoints_listed{{"e1", "e2", "m1"}, false});
        settle(300ms);
    }

    void announce(const std::string &inId, const std::string &inService, endpoint_server &inServer,
                  std::uint64_t inStartedMs = 1)
    {
        registry.broadcast(catalog::endpoint_changed{
            {.id = inId,
             .service = inService,
             .address = {"127.0.0.1", inServer.listener.port()},
             // The first endpoint is preferred because it is in the instance's failure domain.
             .failureDomain = &inServer == &first ? "north" : "south",
             .capacity = 4,
             .startedMs = inStartedMs}});
    }

    void engineState(engines::residency inAdapters, const std::string &inEndpoint = "m1",
                     std::uint64_t inStartedMs = 1)
    {
        registry.broadcast(orders::held_engine_changed{{.endpoint = inEndpoint,
                                                        .startedMs = inStartedMs,
                                                        .ready = true,
                                                        .adapters = std::move(inAdapters),
                                                        .models = {"base"}}});
    }

    void settle(core::duration inTime)
    {
        kernel::timer end(loop, [this] { loop.stop(); });
        end.startOnce(inTime);
        loop.run();
    }

    std::unique_ptr<http1::client_connection> connect()
    {
        return std::make_unique<http1::client_connection>(
            loop, http1::address{"127.0.0.1", front.port()}, 5s);
    }

    void send(http1::client_connection &ioCaller, caller_view &outView, std::string inPath,
              const http1::header_fields &inMore = {})
    {
        http1::request_head head{.method = "POST", .target = std::move(inPath)};
        head.fields = {{"Host", "shop.example"},
                       {std::string(platform::cRequestIdField), "id1"},
                       {std::string(platform::cAuthorizationField), "Token k1"},
                       {"Content-Length", "4"}};
        for (const auto &field : inMore)
            http1::setField(head.fields, field.first, field.second);
        ioCaller.start(head, "body",
                       {.accepts = {},
                        .onHead =
                            [&outView](const http1::response_head &inHead) {
                                outView.status = inHead.status;
                                outView.fields = inHead.fields;
                            },
                        .onBody =
                            [&outView](std::string_view inData) {
                                outView.body.append(inData);
                                return true;
                            },
                        .onEnd =
                            [this, &outView](const http1::exchange_end &inEnd) {
                                outView.end = inEnd;
                                loop.stop();
                            }});
    }

    caller_view call(const std::string &inPath = "/a/1", const http1::header_fields &inMore = {})
    {
        const auto caller = connect();
        caller_view view;
        send(*caller, view, inPath, inMore);
        loop.run();
        return view;
    }
};

} // namespace corneltally::front_test
