// Guards against misjudged responses of an engine: taken for proof that a run did not start,
// delivered to another run, or taken for complete although they were truncated.

#include "corneltally/endpoint/engine_client.h"
#include "corneltally/endpoint/engine_json.h"
#include "corneltally/http/exchange.h"
#include "corneltally/http/server.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"

#include <functional>
#include <optional>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using endpoint::engine_outcome;

namespace {

struct client_fixture
{
    using responder_function = std::function<void(http::exchange &)>;

    kernel::event_loop loop;
    responder_function responder;
    std::string seenBody;
    std::string seenFence;
    http::server server{loop, [this](const auto &inExchange) {
                            seenBody = inExchange->body();
                            seenFence = inExchange->header("X-Fence");
                            responder(*inExchange);
                        }};
    kernel::timer limit{loop, [this] { loop.stop(); }};
    std::optional<endpoint::engine_client> client;
    std::vector<std::string> parts;
    int heads = 0;

    client_fixture()
    {
        REQUIRE(server.listen({"127.0.0.1", 0}));
        client.emplace(loop, http::address{"127.0.0.1", server.port()});
        limit.startOnce(20s);
    }

    endpoint::engine_run_end run(responder_function inResponder, bool inStream = true)
    {
        responder = std::move(inResponder);
        parts.clear();
        heads = 0;
        std::optional<endpoint::engine_run_end> end;
        endpoint::engine_run request;
        request.requestId = "r1";
        request.path = "/v1/completions";
        request.body = R"({"model":"a@1","priority":-7})";
        request.fence = 1025;
        request.priority = 1;
        request.stream = inStream;
        request.timeout = 5s;
        client->run(request,
                    {.onHead = [this](int, const std::string &) { ++heads; },
                     .onChunk =
                         [this](std::uint64_t inIndex, std::string_view inData) {
                             CHECK(inIndex == parts.size());
                             parts.emplace_back(inData);
                         },
                     .onEnd =
                         [&](const endpoint::engine_run_end &inEnd) {
                             CHECK_FALSE(end.has_value());
                             end = inEnd;
                             loop.stop();
                         }});
        loop.run();
        REQUIRE(end.has_value());
        return *end;
    }

    engine_outcome refusal(int inStatus, const std::string &inType,
                           const http::header_list &inHeaders = {})
    {
        return run([=](http::exchange &ioExchange) {
                   ioExchange.replyJson(inStatus, R"({"error":{"type":")" + inType + "\"}}",
                                        inHeaders);
               })
            .outcome;
    }
};

} // namespace

TEST_CASE("only the refusals of the protocol prove that nothing ran")
{
    client_fixture fixture;
    CHECK(fixture.refusal(409, "stale_fence") == engine_outcome::stale_fence);
    CHECK(fixture.refusal(404, "adapter_not_resident") == engine_outcome::not_resident);
    CHECK(fixture.refusal(503, "overloaded", {{"X-Not-Run", "true"}}) == engine_outcome::refused);
    CHECK(fixture.refusal(503, "overloaded") == engine_outcome::unknown);
    CHECK(fixture.refusal(500, "internal") == engine_outcome::unknown);
    CHECK(fixture.heads == 0);
    CHECK(fixture.parts.empty());
    // The request itself is invalid, so the engine's response goes to the caller.
    CHECK(fixture.refusal(400, "invalid_request") == engine_outcome::completed);
    CHECK(fixture.parts.size() == 1);
    CHECK(fixture.refusal(409, "another conflict") == engine_outcome::completed);
}

TEST_CASE("a run carries its fencing number, and the owner's priority replaces the caller's")
{
    client_fixture fixture;
    fixture.run([](http::exchange &ioExchange) { ioExchange.replyJson(200, "{}"); }, false);
    CHECK(fixture.seenFence == "1025");
    CHECK(nlohmann::json::parse(fixture.seenBody).at("priority") == 1);
}

TEST_CASE("a stream is complete only with its final event")
{
    client_fixture fixture;
    const auto stream = [](const std::vector<std::string> &inChunks, bool inEnds) {
        return [=](http::exchange &ioExchange) {
            ioExchange.startStream(200, {{"X-Request-Id", "r1"}});
            for (const std::string &chunk : inChunks)
                ioExchange.sendChunk(chunk);
            if (inEnds)
                ioExchange.endStream();
            else
                ioExchange.abort();
        };
    };
    const auto whole = fixture.run(
        stream({"data: {\"a\":1}\n", "\nda", "ta: {\"usage\":{\"completion_tokens\":7}}\n\n",
                ": comment\n\ndata: [DONE]\n\n"},
               true));
    CHECK(whole.outcome == engine_outcome::completed);
    CHECK(whole.outputTokens == 7);
    CHECK(fixture.parts
          == std::vector<std::string>{"data: {\"a\":1}",
                                      "data: {\"usage\":{\"completion_tokens\":7}}"});
    CHECK(fixture.run(stream({"data: 1\n\n"}, true)).outcome == engine_outcome::unknown);
    CHECK(fixture.run(stream({"data: 1\n\n"}, false)).outcome == engine_outcome::unknown);
}

TEST_CASE("the response to another request is discarded")
{
    client_fixture fixture;
    const auto mismatched = fixture.run(
        [](http::exchange &ioExchange) {
            ioExchange.replyJson(200, R"({"text":"not yours"})", {{"X-Request-Id", "r2"}});
        },
        false);
    CHECK(mismatched.outcome == engine_outcome::unknown);
    CHECK(fixture.parts.empty());
    CHECK(fixture.heads == 0);
}

TEST_CASE("a run for an unreachable engine is reported as not sent")
{
    client_fixture fixture;
    fixture.server.stopListening();
    CHECK(fixture.run([](http::exchange &) {}).outcome == engine_outcome::not_sent);
}

TEST_CASE("a report's time is the time of its request minus its age")
{
    const core::time_point requestedAt(100s);
    const auto state = endpoint::parseState(
        R"({"fence":5,"resident":[{"adapter":"a","version":"1","running":2}],"loading":[],"queued":1,"age_ms":200})",
        requestedAt);
    REQUIRE(state.has_value());
    CHECK(state->describedAt == requestedAt - 200ms);
    CHECK(state->resident.at(0).running == 2);
    CHECK_FALSE(endpoint::parseState("{}", requestedAt).has_value());
    CHECK_FALSE(endpoint::parseState("[", requestedAt).has_value());
}
