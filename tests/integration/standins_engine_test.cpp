// Guards against an engine stand-in that hides faults of the daemon: runs without the adapter,
// stale fencing numbers, streams that cannot be resumed, and a speed below that of the benches.

#include "standins/child_process.h"
#include "standins/http_probe.h"

#include <algorithm>

#include <nlohmann/json.hpp>

#include <catch2/catch.hpp>

using nlohmann::json;
using standins::child_process;
namespace http = corneltally::http;
using namespace std::chrono_literals;

namespace {

struct engine_process
{
    child_process process;
    standins::http_probe probe;

    explicit engine_process(std::vector<std::string> inArguments = {})
        : process({.program = CORNELTALLY_BINARY_DIR "/standins/standin_engine",
                   .arguments = std::move(inArguments),
                   .logFile = ""})
    {
        REQUIRE(process.waitReady());
    }

    unsigned short port() const { return process.port("http"); }

    http::response run(const std::string &inId, const json &inBody,
                       const std::string &inFence = "0",
                       const std::string &inPath = "/v1/completions")
    {
        return probe.post(port(), inPath, inBody.dump(),
                          {{"X-Request-Id", inId}, {"X-Fence", inFence}});
    }

    json state() { return json::parse(probe.get(port(), "/v1/state").body); }

    int adapter(const std::string &inCommand, const std::string &inName,
                const std::string &inFence = "0")
    {
        return probe
            .post(port(), std::string("/v1/adapters/").append(inCommand),
                  json{{"adapter", inName}, {"version", "1"}}.dump(), {{"X-Fence", inFence}})
            .status;
    }
};

std::vector<std::string> eventsOf(const std::string &inBody)
{
    std::vector<std::string> events;
    std::size_t start = 0;
    for (std::size_t end = inBody.find("\n\n"); end != std::string::npos;
         end = inBody.find("\n\n", start)) {
        REQUIRE(inBody.compare(start, 6, "data: ") == 0);
        events.push_back(inBody.substr(start + 6, end - start - 6));
        start = end + 2;
    }
    CHECK(start == inBody.size());
    return events;
}

json completion(const std::string &inModel, int inTokens, bool inStream)
{
    return {{"model", inModel},
            {"prompt", "twelve bytes"},
            {"max_tokens", inTokens},
            {"stream", inStream},
            {"user", "caller-7"}};
}

} // namespace

TEST_CASE("a run without its adapter is refused and nothing runs")
{
    engine_process engine;
    const http::response answer = engine.run("r1", completion("legal@3", 4, false));
    CHECK(answer.status == 404);
    CHECK(json::parse(answer.body).at("error").at("type") == "adapter_not_resident");
}

TEST_CASE("streamed tokens carry id, index, adapter, version and the usage at the end")
{
    engine_process engine({"--resident", "legal@3", "--token-ms", "1"});
    const bool chat = GENERATE(false, true);
    json body = completion("legal@3", 5, true);
    if (chat)
        body["messages"] = {{{"role", "user"}, {"content", "twelve bytes"}}};
    const http::response answer
        = engine.run("r1", body, "0", chat ? "/v1/chat/completions" : "/v1/completions");
    CHECK(answer.status == 200);
    const std::vector<std::string> events = eventsOf(answer.body);
    REQUIRE(events.size() == 6);
    CHECK(events.back() == "[DONE]");
    for (std::size_t index = 0; index < 5; ++index) {
        const json event = json::parse(events[index]);
        CHECK(event.at("id") == "r1");
        CHECK(event.at("index") == index);
        const json &choice = event.at("choices").at(0);
        const json text = chat ? choice.at("delta").at("content") : choice.at("text");
        std::string expected("legal@3 r1 ");
        expected.append(std::to_string(index)).append(" caller-7;");
        CHECK(text == expected);
        CHECK(event.contains("usage") == (index == 4));
    }
    CHECK(json::parse(events[4]).at("usage").at("completion_tokens") == 5);
}

TEST_CASE("an answer that is not streamed holds all tokens")
{
    engine_process engine({"--resident", "legal@3", "--token-ms", "0"});
    const json answer = json::parse(engine.run("r2", completion("legal@3", 3, false)).body);
    CHECK(answer.at("choices").at(0).at("text")
          == "legal@3 r2 0 caller-7;legal@3 r2 1 caller-7;legal@3 r2 2 caller-7;");
    CHECK(answer.at("usage").at("prompt_tokens") == 3);
    CHECK(answer.at("usage").at("completion_tokens") == 3);
}

TEST_CASE("a stream is resumed after a token, also when it has ended")
{
    engine_process engine({"--resident", "legal@3", "--token-ms", "20"});
    const http::response broken = engine.probe.call({.target = {"127.0.0.1", engine.port()},
                                                     .method = "POST",
                                                     .path = "/v1/completions",
                                                     .headers = {{"X-Request-Id", "r3"}},
                                                     .body = completion("legal@3", 20, true).dump(),
                                                     .timeout = 200ms});
    CHECK(broken.outcome == http::call_outcome::interrupted);
    for (const int from : {2, 7}) {
        const http::response rest = engine.probe.post(
            engine.port(), std::string("/v1/streams/r3/resume?from=").append(std::to_string(from)),
            "");
        const std::vector<std::string> events = eventsOf(rest.body);
        REQUIRE(events.size() == static_cast<std::size_t>(20 - from + 1));
        CHECK(json::parse(events.front()).at("index") == from);
        CHECK(events.back() == "[DONE]");
    }
    CHECK(engine.probe.post(engine.port(), "/v1/streams/r9/resume?from=0", "").status == 404);
}

TEST_CASE("a cancelled stream ends and frees its slot")
{
    engine_process engine(
        {"--resident", "legal@3", "--token-ms", "50", "--run-slots", "1", "--report-lag-ms", "0"});
    const http::response broken
        = engine.probe.call({.target = {"127.0.0.1", engine.port()},
                             .method = "POST",
                             .path = "/v1/completions",
                             .headers = {{"X-Request-Id", "r4"}},
                             .body = completion("legal@3", 10'000, true).dump(),
                             .timeout = 100ms});
    CHECK(broken.outcome == http::call_outcome::interrupted);
    CHECK(engine.state().at("resident").at(0).at("running") == 1);
    CHECK(engine.probe.post(engine.port(), "/v1/streams/r4/cancel", "").status == 200);
    CHECK(engine.state().at("resident").at(0).at("running") == 0);
    CHECK(engine.run("r5", completion("legal@3", 2, false)).status == 200);
}

TEST_CASE("stale fencing numbers are refused unless the engine ignores them")
{
    engine_process checking({"--resident", "legal@3", "--token-ms", "0"});
    CHECK(checking.probe.post(checking.port(), "/v1/fence", R"({"fence":2048})").status == 200);
    CHECK(json::parse(checking.probe.get(checking.port(), "/v1/fence").body).at("highest") == 2048);
    const http::response stale = checking.run("r6", completion("legal@3", 2, false), "1025");
    CHECK(stale.status == 409);
    CHECK(json::parse(stale.body).at("error").at("type") == "stale_fence");
    CHECK(checking.adapter("load", "tax", "1025") == 409);
    CHECK(checking.adapter("unload", "legal", "1025") == 409);
    CHECK(checking.probe.post(checking.port(), "/v1/fence", R"({"fence":1025})").status == 409);
    CHECK(checking.run("r7", completion("legal@3", 2, false), "2048").status == 200);

    engine_process ignoring({"--resident", "legal@3", "--token-ms", "0", "--ignore-fence"});
    CHECK(ignoring.probe.post(ignoring.port(), "/v1/fence", R"({"fence":2048})").status == 200);
    CHECK(ignoring.run("r8", completion("legal@3", 2, false), "1025").status == 200);
}

TEST_CASE("adapters are loaded from the weight store into few slots and unloaded")
{
    child_process platform({.program = CORNELTALLY_BINARY_DIR "/standins/standin_platform",
                            .arguments = {"--load-ms", "20"},
                            .logFile = ""});
    REQUIRE(platform.waitReady());
    engine_process engine({"--platform", platform.address("http"), "--adapter-slots", "2",
                           "--token-ms", "0", "--report-lag-ms", "0"});
    CHECK(engine.adapter("load", "a") == 200);
    CHECK(engine.adapter("load", "b") == 200);
    CHECK(engine.adapter("load", "c") == 503);
    CHECK(engine.run("r1", completion("a@1", 2, false)).status == 200);
    CHECK(engine.adapter("unload", "a") == 200);
    CHECK(engine.adapter("unload", "a") == 404);
    CHECK(engine.adapter("load", "c") == 200);
    const json resident = engine.state().at("resident");
    REQUIRE(resident.size() == 2);
    CHECK(resident.at(0).at("adapter") == "b");
    CHECK(resident.at(1).at("adapter") == "c");
    CHECK(engine.probe.post(engine.port(), "/control/faults", R"({"fail_loads":1})").status == 200);
    CHECK(engine.adapter("unload", "c") == 200);
    CHECK(engine.adapter("load", "c") == 503);
    CHECK(engine.adapter("load", "c") == 200);
}

TEST_CASE("urgent runs start before others that wait longer")
{
    engine_process engine({"--resident", "legal@3", "--token-ms", "10", "--run-slots", "1"});
    corneltally::kernel::event_loop loop;
    http::client client(loop);
    std::vector<std::string> order;
    const auto submit = [&](const std::string &inId, int inPriority) {
        json body = completion("legal@3", 5, false);
        body["priority"] = inPriority;
        http::fetch(client,
                    {.target = {"127.0.0.1", engine.port()},
                     .method = "POST",
                     .path = "/v1/completions",
                     .headers = {{"X-Request-Id", inId}},
                     .body = body.dump()},
                    [&order, &loop, inId](const http::response &) {
                        order.push_back(inId);
                        if (order.size() == 4)
                            loop.stop();
                    });
    };
    submit("first", 0);
    submit("patient-1", 1);
    submit("patient-2", 1);
    submit("prompt", 0);
    loop.run();
    // The first run holds the only slot while the others arrive.
    const auto position
        = [&](const std::string &inId) { return std::ranges::find(order, inId) - order.begin(); };
    CHECK(position("prompt") < position("patient-1"));
    CHECK(position("prompt") < position("patient-2"));
}

TEST_CASE("fifty streams without a token time run at over 100,000 tokens a second")
{
    engine_process engine(
        {"--resident", "legal@3", "--token-ms", "0", "--run-slots", "50", "--prefill-us", "0"});
    corneltally::kernel::event_loop loop;
    http::client client(loop);
    constexpr int cStreams = 50;
    constexpr int cTokens = 10'000;
    int ended = 0;
    std::size_t bytes = 0;
    const auto start = std::chrono::steady_clock::now();
    for (int index = 0; index < cStreams; ++index) {
        http::call_events events;
        events.onData = [&bytes](std::string_view inData) { bytes += inData.size(); };
        events.onEnd = [&](http::call_outcome inOutcome) {
            CHECK(inOutcome == http::call_outcome::completed);
            if (++ended == cStreams)
                loop.stop();
        };
        client.call({.target = {"127.0.0.1", engine.port()},
                     .method = "POST",
                     .path = "/v1/completions",
                     .headers = {{"X-Request-Id", std::to_string(index)}},
                     .body = completion("legal@3", cTokens, true).dump(),
                     .timeout = 60s},
                    std::move(events));
    }
    loop.run();
    const std::chrono::duration<double> taken = std::chrono::steady_clock::now() - start;
    const double rate = cStreams * cTokens / taken.count();
    WARN("tokens per second: " << rate);
    CHECK(rate > 100'000);
    CHECK(bytes > static_cast<std::size_t>(cStreams) * cTokens * 50);
}
