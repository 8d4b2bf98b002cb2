// Guards against appends that are reported as appended or refused although their outcome is
// unknown, and against reads that never end or accept a malformed answer.

#include "corneltally/http/exchange.h"
#include "corneltally/http/server.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/kernel/timer.h"
#include "corneltally/platform/log_client.h"

#include <optional>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using platform::append_outcome;
using platform::read_outcome;

namespace {

/// A log client and a server with configurable answers.
struct fixture
{
    kernel::event_loop loop;
    std::function<void(const std::shared_ptr<http::exchange> &)> answer;
    std::vector<std::shared_ptr<http::exchange>> seen;
    http::server server{loop, [this](const auto &inExchange) {
                            seen.push_back(inExchange);
                            if (answer)
                                answer(inExchange);
                        }};
    std::optional<platform::log_client> client;
    kernel::timer limit{loop, [this] { loop.stop(); }};

    fixture()
    {
        REQUIRE(server.listen({"127.0.0.1", 0}));
        client.emplace(loop, http::address{"127.0.0.1", server.port()});
        limit.startOnce(20s);
    }

    void reply(int inStatus, const std::string &inBody)
    {
        answer = [inStatus, inBody](const auto &inExchange) {
            inExchange->replyJson(inStatus, inBody);
        };
    }

    platform::append_result append()
    {
        std::optional<platform::append_result> result;
        client->append("settings", "{\"id\":\"c1\"}", [&](const auto &inResult) {
            result = inResult;
            loop.stop();
        });
        CHECK_FALSE(result.has_value());
        loop.run();
        REQUIRE(result.has_value());
        return *result;
    }

    platform::read_result read(std::chrono::milliseconds inWait = 0ms)
    {
        std::optional<platform::read_result> result;
        client->read({.stream = "settings", .from = 7, .limit = 3, .wait = inWait},
                     [&](const auto &inResult) {
                         result = inResult;
                         loop.stop();
                     });
        loop.run();
        REQUIRE(result.has_value());
        return *result;
    }
};

} // namespace

TEST_CASE("an append sends the record and returns its offset")
{
    fixture test;
    test.reply(200, "{\"offset\":41}");
    const auto result = test.append();
    CHECK(result.outcome == append_outcome::appended);
    CHECK(result.offset == 41);
    REQUIRE(test.seen.size() == 1);
    CHECK(test.seen[0]->method() == "POST");
    CHECK(test.seen[0]->path() == "/v1/log/settings/records");
    CHECK(test.seen[0]->body() == "{\"id\":\"c1\"}");
}

TEST_CASE("an append whose answer is lost or unclear is unknown, not refused")
{
    fixture test;
    test.answer = [](const auto &inExchange) { inExchange->abort(); };
    CHECK(test.append().outcome == append_outcome::unknown);
    test.reply(503, "{}");
    CHECK(test.append().outcome == append_outcome::unknown);
    test.reply(200, "{\"offset\":");
    CHECK(test.append().outcome == append_outcome::unknown);
    test.reply(200, "{\"offset\":-3}");
    CHECK(test.append().outcome == append_outcome::unknown);
    // The client never retries an append.
    CHECK(test.seen.size() == 4);
}

TEST_CASE("an append is refused only if the record is certainly not on the log")
{
    fixture test;
    test.reply(413, "{}");
    const auto result = test.append();
    CHECK(result.outcome == append_outcome::refused);
    CHECK_FALSE(result.reason.message.empty());
    CHECK_FALSE(result.reason.remedy.empty());
    const unsigned short port = test.server.port();
    test.server.stopListening();
    platform::log_client other(test.loop, {"127.0.0.1", port});
    std::optional<platform::append_result> second;
    other.append("settings", "x", [&](const auto &inResult) {
        second = inResult;
        test.loop.stop();
    });
    test.loop.run();
    REQUIRE(second.has_value());
    CHECK(second->outcome == append_outcome::refused);
}

TEST_CASE("a read returns records with offsets, times and unchanged data")
{
    fixture test;
    test.reply(200,
               R"({"first":2,"next":9,"records":[{"offset":7,"time_ms":5,"data":"{\"a\":1}"},)"
               R"({"offset":8,"time_ms":6,"data":"x"}]})");
    const core::time_point before = core::boot_clock::now();
    const auto result = test.read(250ms);
    CHECK(result.outcome == read_outcome::records);
    CHECK(result.first == 2);
    CHECK(result.next == 9);
    CHECK(result.sentAt >= before);
    REQUIRE(result.records.size() == 2);
    CHECK(result.records[0].offset == 7);
    CHECK(result.records[0].timeMs == 5);
    CHECK(result.records[0].data == "{\"a\":1}");
    CHECK(test.seen[0]->query("from") == "7");
    CHECK(test.seen[0]->query("limit") == "3");
    CHECK(test.seen[0]->query("wait_ms") == "250");
}

TEST_CASE("a read of expired records returns the oldest retained offset")
{
    fixture test;
    test.reply(410, "{\"first\":12}");
    const auto result = test.read();
    CHECK(result.outcome == read_outcome::expired);
    CHECK(result.first == 12);
}

TEST_CASE("a malformed answer to a read is a failure without records")
{
    fixture test;
    for (const std::string body :
         {"", "[]", "{\"first\":1,\"next\":2}", "{\"first\":1,\"records\":[]}",
          "{\"first\":1,\"next\":2,\"records\":[{\"offset\":1}]}",
          "{\"first\":1,\"next\":3,\"records\":[{\"offset\":1,\"data\":\"x\"},7]}"}) {
        test.reply(200, body);
        const auto result = test.read();
        CHECK(result.outcome == read_outcome::failed);
        CHECK(result.records.empty());
        CHECK_FALSE(result.reason.message.empty());
    }
    test.reply(410, "{}");
    CHECK(test.read().outcome == read_outcome::failed);
    test.reply(500, "{}");
    CHECK(test.read().outcome == read_outcome::failed);
}

TEST_CASE("a read on an unresponsive connection times out soon after its wait")
{
    fixture test;
    const core::time_point before = core::boot_clock::now();
    const auto result = test.read(100ms);
    CHECK(result.outcome == read_outcome::failed);
    CHECK(core::boot_clock::now() - before >= 2s);
}

TEST_CASE("handlers of cancelled calls are not called")
{
    fixture test;
    bool reported = false;
    test.answer = [&](const auto &) { test.loop.stop(); };
    test.client->read({.stream = "settings"}, [&](const auto &) { reported = true; });
    test.loop.run();
    REQUIRE(test.seen.size() == 1);
    test.client->cancelAll();
    test.reply(410, "{\"first\":12}");
    test.read();
    CHECK_FALSE(reported);
}

TEST_CASE("reads and appends do not share connections")
{
    // Otherwise a read that follows a timed-out one could reuse an append's idle connection that is
    // unresponsive as well, and time out a second time.
    fixture test;
    for (int round = 0; round < 3; ++round) {
        test.reply(200, "{\"first\":1,\"next\":7,\"records\":[]}");
        CHECK(test.read().outcome == read_outcome::records);
        test.reply(200, "{\"offset\":7}");
        CHECK(test.append().outcome == append_outcome::appended);
    }
    CHECK(test.server.connectionCount() == 2);
}
