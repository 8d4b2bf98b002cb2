// Guards against documents and header fields of the platform that are decoded incorrectly, and
// against a caller's key or instance-only fields that are forwarded to an endpoint.

#include "corneltally/core/digest.h"
#include "platform/document_codec.h"
#include "platform/names.h"
#include "platform/request_codec.h"

#include <string>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

const std::string cConfiguration = R"({"version":7,
 "routes":[
  {"name":"r1","host":"a.example","path-prefix":"/x/","kind":"streaming","timeout-ms":15000,
   "target-latency-ms":1000,"priority":1,"service":"lm","max-attempts":2,"anonymous":false,
   "resumable":true,"gap-aim-ms":300},
  {"name":"r2","host":"a.example","path-prefix":"/y/","kind":"streaming","timeout-ms":5000,
   "traffic-split":[{"service":"lm","weight":90},{"service":"app","weight":10}],"max-attempts":1},
  {"name":"r3","host":"a.example","path-prefix":"/z/","kind":"idempotent","timeout-ms":400,
   "service":"app","anonymous":true},
  {"name":"r4","host":"a.example","path-prefix":"/w/","kind":"some_new_kind","timeout-ms":400,
   "service":"app"}],
 "services":[
  {"name":"lm","max-connections":370,"engine":{"capacity":64,"kv-capacity":277092,
   "weights-mb":66500.0,"adapter-slots":8,"models":[{"name":"m","weights-mb":65100.0,
   "adapters":3000,"adapter-mb":12.0}]}},
  {"name":"app","max-connections":110,"cold-start-s":4.5,"cold-per-s":7.5}],
 "limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,
  "idle-timeout-ms":15000},
 "tenants":[{"name":"north","api-keys":["k1","k2"],"priority":1,"unit":"token_stream",
  "plain-tokens":200,"rate-per-s":1000,"burst":2000}]})";

http1::request_head callerHead()
{
    return {.method = "POST",
            .target = "/x/1",
            .fields = {{"Host", "a.example"},
                       {"x-corneltally-request-id", "id1"},
                       {"X-Corneltally-Model", "m/a7"},
                       {"X-Corneltally-Token-Count", "1460,80"},
                       {"X-Corneltally-Prompt-Prefix", "5c:800, 91:410,e4:250"},
                       {"X-Corneltally-Deadline-Ms", "5000"},
                       {"Authorization", "Token k1"},
                       {"X-Corneltally-Tenant", "south"},
                       {"X-Corneltally-Hold", "h"},
                       {"Kv-From", "10.0.0.1:80/x"},
                       {"Connection", "keep-alive"},
                       {"Accept", "text/plain"}}};
}

} // namespace

TEST_CASE("a configuration is decoded into routes, services and accounts")
{
    const auto decoded = platform::decodeConfiguration(cConfiguration);
    REQUIRE(decoded);
    CHECK(decoded->version == 7);
    REQUIRE(decoded->routes.size() == 4);
    CHECK(decoded->routes[0].kind == routing::repetition::resumable_stream);
    CHECK(decoded->routes[0].targetPause == 300ms);
    CHECK(decoded->routes[1].kind == routing::repetition::once_stream);
    CHECK(decoded->routes[1].services.size() == 2);
    CHECK(decoded->routes[2].kind == routing::repetition::repeatable);
    CHECK(decoded->routes[2].open);
    // Requests of a route of unknown kind must not be repeated.
    CHECK(decoded->routes[3].kind == routing::repetition::once);
    CHECK(decoded->services[0].engine->adapterSlots == 8);
    CHECK_FALSE(decoded->services[1].engine.has_value());
    CHECK(decoded->services[0].coldPerSecond == 0);
    CHECK(decoded->services[1].coldPerSecond == 7.5);
    CHECK(decoded->services[1].coldTime == 4500ms);
    CHECK(decoded->limits.idleTimeout == 15s);
    CHECK(decoded->keysRequired);
    CHECK(decoded->accounts[0].keyDigests[1] == core::sha256Hex("k2"));
    CHECK(decoded->accounts[0].countsTokens);
}

// Failure: a mistake in a list of allowed regions lifts the restriction.
TEST_CASE("allowed regions are decoded, and a malformed list allows no region")
{
    using regions = std::optional<std::vector<std::string>>;
    const auto decoded = platform::decodeConfiguration(
        R"({"routes":[{"name":"two","allowed-regions":["north","south"]},{"name":"without"},
            {"name":"empty","allowed-regions":[]},{"name":"text","allowed-regions":"north"},
            {"name":"number","allowed-regions":[7,"north"]}],
            "tenants":[{"name":"a","allowed-regions":["south"]}]})");
    REQUIRE(decoded);
    CHECK(decoded->routes[0].allowedRegions == regions({"north", "south"}));
    CHECK_FALSE(decoded->routes[1].allowedRegions);
    CHECK_FALSE(decoded->routes[2].allowedRegions);
    CHECK(decoded->routes[3].allowedRegions == regions(std::vector<std::string>()));
    CHECK(decoded->routes[4].allowedRegions == regions({"north"}));
    CHECK(decoded->accounts[0].allowedRegions == regions({"south"}));
}

TEST_CASE("a malformed configuration is refused with a reason")
{
    CHECK_FALSE(platform::decodeConfiguration("[]"));
    CHECK_FALSE(platform::decodeConfiguration("{\"version\":1}"));
    CHECK_FALSE(platform::decodeConfiguration("{\"version\""));
}

TEST_CASE("an incomplete endpoint entry is refused")
{
    const std::string good
        = R"({"service":"lm","address":"10.0.0.9:8080","zone":"z","capacity":64,"state":"ready",)"
          R"("sequence":4,"born":1700000000000,"models":[{"name":"m","version":1,)"
          R"("adapters":["a3@7","a4"]}]})";
    const auto entry = platform::decodeEndpoint("i-1", good);
    REQUIRE(entry);
    CHECK(entry->startedMs == 1700000000000);
    CHECK(entry->orders == 4);
    CHECK(entry->models[0].adapters[0] == engines::held_adapter{"a3", 7});
    CHECK(entry->models[0].adapters[1] == engines::held_adapter{"a4", 0});
    const auto with = [&](const std::string &inFrom, const std::string &inTo) {
        std::string text = good;
        text.replace(text.find(inFrom), inFrom.size(), inTo);
        return platform::decodeEndpoint("i-1", text);
    };
    CHECK_FALSE(entry->coldLeft);
    CHECK(with("\"sequence\":4", "\"sequence\":4,\"cold-remaining-ms\":0")->coldLeft == 0ms);
    CHECK(with("\"sequence\":4", "\"sequence\":4,\"cold-remaining-ms\":1200")->coldLeft == 1200ms);
    CHECK(with("ready", "draining")->leaving);
    CHECK_FALSE(with("ready", "resting"));
    CHECK_FALSE(with("\"10.0.0.9:8080\"", "17"));
    CHECK_FALSE(with("\"sequence\":4", "\"sequence\":\"4\""));
    CHECK_FALSE(with("\"service\":\"lm\",", ""));
    CHECK_FALSE(platform::decodeEndpoint("i-1", "\xff\xfe"));
}

// Failure: one odd entry of another writer ends the processes that read the list, or is used.
TEST_CASE(
    "an entry that is deeply nested or has numbers out of range names no endpoint or is bounded")
{
    const auto entryWith = [](const std::string &inAddress, const std::string &inMore) {
        std::string text = R"({"service":"lm","zone":"z","state":"ready","address":")";
        return platform::decodeEndpoint(
            "i-1", text.append(inAddress).append("\"").append(inMore).append("}"));
    };
    REQUIRE(entryWith("10.0.0.9:8080", ""));
    for (const char *port : {"0", "65536", "99999", "-1", "4294967297", "8080x", ""})
        CHECK_FALSE(entryWith("10.0.0.9:" + std::string(port), ""));
    const std::string deep(200'000, '[');
    CHECK_FALSE(platform::decodeEndpoint("i-1", deep));
    const std::string closed(200'000, ']');
    CHECK(entryWith("10.0.0.9:8080", R"(,"models":)" + deep + closed));
    for (const char *number : {"1e300", "-1e300", "99999999999999999999999999", "1e999", "-5"}) {
        INFO(number);
        std::string fields;
        for (const char *name : {"capacity", "sequence", "born", "remaining-ms"})
            fields.append(",\"").append(name).append("\":").append(number);
        const auto entry = entryWith("10.0.0.9:8080", fields);
        if (!entry)
            continue;
        CHECK(entry->capacity >= 0);
        CHECK(entry->capacity <= 1'000'000'000);
        REQUIRE(entry->removedIn);
        CHECK(*entry->removedIn >= 0ms);
        CHECK(*entry->removedIn <= std::chrono::hours(24 * 366));
    }
}

// Failure: a number in a caller's header turns an account's level into no number, or adds to it.
TEST_CASE("numbers in a caller's header are bounded")
{
    for (const char *number : {"nan", "inf", "-inf", "-100", "1e300", "1e999", "x"}) {
        INFO(number);
        const std::string text(number);
        std::string both = text;
        std::string parts = "a:";
        const auto terms = platform::decodeRequest(
            {.fields
             = {{std::string(platform::cTokenCountField), both.append(",").append(text)},
                {std::string(platform::cLengthHintField), text},
                {std::string(platform::cDeadlineField), text},
                {std::string(platform::cPromptPrefixField), parts.append(text).append(",b:10")}}});
        for (const double tokens : {terms.promptTokens.value_or(0), terms.answerTokens,
                                    terms.expectedTokens, terms.parts[0].tokens}) {
            CHECK(tokens >= 0);
            CHECK(tokens <= 1e12);
        }
        CHECK(terms.timeLeft.value_or(1ms) >= 0ms);
        CHECK(terms.timeLeft.value_or(1ms) <= std::chrono::hours(24 * 366));
    }
}

// Failure: an adapter name that is no UTF-8 ends the process that orders it.
TEST_CASE("an order for an adapter whose name is no UTF-8 is encoded")
{
    const auto request = platform::orderRequest({"10.0.0.9", 8080}, "i-1",
                                                {.model = "m\xff", .adapter = "a\xc3\x28"});
    CHECK_FALSE(request.body.empty());
}

TEST_CASE("records that set an adapter version are distinguished from other records")
{
    const auto named = platform::decodeNamedVersion("version/m.a3",
                                                    R"({"model":"m","adapter":"a3","version":9})");
    REQUIRE(named);
    CHECK(*named == platform::named_version{"m", "a3", 9});
    CHECK_FALSE(platform::decodeNamedVersion("config", R"({"model":"m","adapter":"a"})"));
    CHECK_FALSE(platform::decodeNamedVersion("version/x", "7"));
}

TEST_CASE("a report distinguishes resident adapters from those being loaded")
{
    const auto report = platform::decodeReport(
        {.status = 200,
         .body = R"({"models":[{"name":"m","version":1,"adapters":["a1@2"]}],"busy":true,)"
                 R"("sequence":5,"waiting":1,"running":12,"kv-used":41000,"kv-total":90000,)"
                 R"("born":17,"coming":["m/a2@3"]})"});
    REQUIRE(report);
    CHECK(report->orders == 5);
    CHECK(report->busy);
    CHECK(report->models[0].adapters[0] == engines::held_adapter{"a1", 2});
    CHECK(report->arriving[0].adapters[0] == engines::held_adapter{"a2", 3});
    CHECK_FALSE(platform::decodeReport({.status = 503, .body = "{}"}));
}

TEST_CASE("an order contains the engine, the holder and the expected number of orders")
{
    const auto request = platform::orderRequest({"10.0.0.9", 80}, "i-1",
                                                {.model = "m",
                                                 .adapter = "a3",
                                                 .version = 4,
                                                 .expectedOrders = 2,
                                                 .holder = "node",
                                                 .fence = 41});
    CHECK(http1::findField(request.fields, platform::cExpectInstanceField) == "i-1");
    CHECK(request.body
          == R"({"adapter":"a3","expect":2,"fencing-token":41,"holder":"node","model":"m",)"
             R"("operation":"load","version":4})");
    const auto outcome = [](int inStatus, bool inSent) {
        return platform::decodeOrderOutcome({.status = inStatus, .sent = inSent});
    };
    CHECK(outcome(202, true) == engines::order_outcome::accepted);
    CHECK(outcome(200, true) == engines::order_outcome::holds);
    CHECK(outcome(409, true) == engines::order_outcome::conflict);
    CHECK(outcome(0, true) == engines::order_outcome::unknown);
    CHECK(outcome(0, false) == engines::order_outcome::refused);
}

TEST_CASE("the terms of a request are decoded from its header fields")
{
    const auto terms = platform::decodeRequest(callerHead());
    CHECK(terms.requestId == "id1");
    CHECK(terms.key == "k1");
    CHECK(terms.model == "m");
    CHECK(terms.adapter == "a7");
    CHECK(terms.promptTokens == 1460);
    CHECK(terms.answerTokens == 80);
    CHECK(terms.timeLeft == 5000ms);
    REQUIRE(terms.parts.size() == 3);
    CHECK(terms.parts[1] == routing::prompt_part{"91", 410});
}

TEST_CASE("the key and fields that only instances set do not reach an endpoint")
{
    const auto head = platform::encodeRequest(
        callerHead(), {.timeLeft = 4200ms, .endpointId = "i-1", .account = "north", .urgency = 2});
    const auto field = [&](std::string_view inName) {
        return http1::findField(head.fields, inName).value_or("-");
    };
    CHECK(field("Authorization") == "-");
    CHECK(field("X-Corneltally-Hold") == "-");
    CHECK(field("Kv-From") == "-");
    CHECK(field("Connection") == "-");
    CHECK(field("X-Corneltally-Tenant") == "north");
    CHECK(field("X-Corneltally-Deadline-Ms") == "4200");
    CHECK(field("X-Corneltally-Expect-Instance") == "i-1");
    CHECK(field("X-Corneltally-Request-Urgency") == "2");
    CHECK(field("Accept") == "text/plain");
    CHECK(head.target == "/x/1");
    const auto anonymous = platform::encodeRequest(callerHead(), {.endpointId = "i-1"});
    CHECK_FALSE(http1::findField(anonymous.fields, "X-Corneltally-Tenant"));
}

TEST_CASE("the terms of an answer are decoded from its status and header fields")
{
    const auto answer = [](int inStatus, http1::header_fields inFields) {
        return platform::decodeAnswer({.status = inStatus, .fields = std::move(inFields)});
    };
    CHECK(answer(503, {{"X-Corneltally-Not-Executed", "1"}}).notExecuted);
    CHECK_FALSE(answer(503, {}).notExecuted);
    CHECK(answer(421, {}).misdirected);
    CHECK(answer(200, {{"X-Corneltally-Server-Seal", "s"}}).sealed);
    CHECK_FALSE(answer(200, {{"X-Corneltally-Server-Seal", ""}}).sealed);
    CHECK(platform::belongsToRequest({.fields = {{"X-Corneltally-Request-Id", "a"}}}, "a"));
    CHECK_FALSE(platform::belongsToRequest({.fields = {{"X-Corneltally-Request-Id", "b"}}}, "a"));
}

// Failure: a pause that an endpoint asks for is misread, or a faulty value stops it for good.
TEST_CASE("the notices in an endpoint's answer are decoded")
{
    const auto pauseOf = [](int inStatus, const std::vector<std::string> &inValues) {
        http1::header_fields fields;
        for (const std::string &value : inValues)
            fields.emplace_back("Retry-After", value);
        return platform::decodeNotice(inStatus, fields).pause;
    };
    CHECK(pauseOf(503, {"2"}) == 2s);
    CHECK(pauseOf(503, {" 0.4"}) == 400ms);
    CHECK(pauseOf(503, {"2", "0.4"}) == 2s);
    CHECK(pauseOf(503, {"0"}) == 0s);
    CHECK_FALSE(pauseOf(503, {}));
    CHECK_FALSE(pauseOf(503, {"soon"}));
    CHECK_FALSE(pauseOf(503, {"Sat, 05 Dec 2026 10:00:00 GMT"}));
    CHECK_FALSE(pauseOf(503, {"-1"}));
    CHECK_FALSE(pauseOf(503, {"nan"}));
    CHECK_FALSE(pauseOf(429, {"2"}));
    CHECK_FALSE(pauseOf(200, {"2"}));
    CHECK(pauseOf(503, {"1e300"}) == 24h);
    CHECK(platform::decodeNotice(200, {{"server-leaving", "1"}}).leaving);
    CHECK_FALSE(platform::decodeNotice(200, {{"Server-Leaving", "0"}}).leaving);
    CHECK_FALSE(platform::decodeNotice(200, {}).leaving);
}

TEST_CASE("the remaining cold time in an answer is decoded unless another endpoint answered")
{
    const auto coldLeft = [](int inStatus, const std::string &inValue) {
        return platform::decodeAnswer(
                   {.status = inStatus, .fields = {{"x-corneltally-cold-ms", inValue}}})
            .coldLeft;
    };
    CHECK(coldLeft(200, "1500") == 1500ms);
    CHECK(coldLeft(503, "0") == 0ms);
    CHECK(coldLeft(200, "1e300") == 1h);
    CHECK_FALSE(coldLeft(200, "-1"));
    CHECK_FALSE(coldLeft(200, "soon"));
    CHECK_FALSE(coldLeft(421, "1500"));
    CHECK_FALSE(platform::decodeAnswer({.status = 200}).coldLeft);
}

TEST_CASE("Retry-After of a locally generated answer is in fractional seconds")
{
    const auto head = platform::encodeLocalAnswer(503, "id1", 250ms);
    CHECK(http1::findField(head.fields, "Retry-After") == "0.250");
}

// Failure: other records of the operator, or an empty name, count as evacuations.
TEST_CASE("a record evacuates the failure domain that its key names")
{
    CHECK(platform::decodeEvacuationKey("evacuate/north-1") == "north-1");
    CHECK(platform::decodeEvacuationKey(platform::evacuationKey("a/b")) == "a/b");
    for (const char *key : {"evacuate/", "evacuate", "config", "version/evacuate/north", ""})
        CHECK_FALSE(platform::decodeEvacuationKey(key));
}
