// Guards against requests that run for the wrong client account or on the wrong adapter version,
// against keys that are passed on to an endpoint, and against malformed requests without a typed
// error.

#include "corneltally/core/digest.h"
#include "corneltally/entry/caller_answer.h"
#include "corneltally/entry/caller_request.h"
#include "corneltally/settings/settings_index.h"
#include "corneltally/settings/settings_tree.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace corneltally::entry;

namespace {

const std::string cKey = "key-of-harbour-0001";
const std::string cWithdrawnKey = "key-of-harbour-0002";

settings::settings_index makeSettingsIndex()
{
    const std::string text = R"(
[accounts]
rate_tokens_per_second = 1000
burst_tokens = 500
[accounts.harbour.keys.k1]
digest = ")"
        + core::sha256Hex(cKey) + R"("
[accounts.harbour.keys.k2]
digest = ")"
        + core::sha256Hex(cWithdrawnKey) + R"("
withdrawn = true
[adapters]
base_model = "base-7"
[adapters.tone]
version = "3"
[routes.completions]
path = "/v1/completions"
repeatable = true
[routes.orders]
kind = "service"
path = "/orders"
accounts = ["quay"]
[accounts.quay]
weight = 1
[routes.status]
kind = "service"
path = "/status"
open = true
)";
    const auto tree = settings::settings_tree::sFromToml(text, "tree.toml");
    INFO((tree ? std::string() : tree.reason().message));
    REQUIRE(tree.hasValue());
    return settings::settings_index(*tree);
}

const http::header_list cHeaders{{"Authorization", "Bearer " + cKey}};

core::result<run> build(const std::string &inBody, const std::string &inPath = "/v1/completions",
                        const http::header_list &inHeaders = cHeaders,
                        const std::string &inMethod = "POST")
{
    static const settings::settings_index sSettingsIndex = makeSettingsIndex();
    return buildRun(sSettingsIndex, *sSettingsIndex.findRoute(inPath),
                    {inMethod, inPath, inBody, inHeaders});
}

core::error_kind kindOf(const core::result<run> &inResult)
{
    REQUIRE_FALSE(inResult.hasValue());
    CHECK_FALSE(inResult.reason().remedy.empty());
    return inResult.reason().kind;
}

} // namespace

TEST_CASE("a key identifies its client account until it is withdrawn")
{
    const settings::settings_index settingsIndex = makeSettingsIndex();
    const settings::route_view &route = *settingsIndex.findRoute("/v1/completions");
    const auto identity = identifyCaller(settingsIndex, route, cHeaders);
    REQUIRE(identity.hasValue());
    CHECK(identity->account == "harbour");
    CHECK(identity->keyDigest == core::sha256Hex(cKey));
    for (const http::header_list &headers :
         {http::header_list{}, http::header_list{{"Authorization", "Bearer unknown"}},
          http::header_list{{"Authorization", "Bearer " + cWithdrawnKey}},
          http::header_list{{"Authorization", "Bearer "}},
          http::header_list{{"Authorization", cKey}}}) {
        const auto refused = identifyCaller(settingsIndex, route, headers);
        REQUIRE_FALSE(refused.hasValue());
        CHECK(refused.reason().kind == core::error_kind::unauthorized);
    }
}

TEST_CASE("a route refuses client accounts that it does not list, and open routes need no key")
{
    const settings::settings_index settingsIndex = makeSettingsIndex();
    const auto refused
        = identifyCaller(settingsIndex, *settingsIndex.findRoute("/orders"), cHeaders);
    REQUIRE_FALSE(refused.hasValue());
    CHECK(refused.reason().kind == core::error_kind::forbidden);
    const auto open = identifyCaller(settingsIndex, *settingsIndex.findRoute("/status"), {});
    REQUIRE(open.hasValue());
    CHECK(open->account.empty());
}

TEST_CASE("a request runs on the served adapter version only")
{
    for (const char *model : {"tone", "tone@3"}) {
        const auto built = build(std::string(R"({"prompt":"abcdefgh","model":")") + model + "\"}");
        REQUIRE(built.hasValue());
        CHECK(built->adapter == "tone");
        CHECK(built->version == "3");
        CHECK(built->baseModel == "base-7");
        CHECK(built->body.find(R"("model":"tone@3")") != std::string::npos);
        CHECK(built->promptTokens == 2);
        CHECK(built->maxTokens == cDefaultMaxTokens);
        CHECK(built->path == "/v1/completions");
    }
    CHECK(kindOf(build(R"({"prompt":"a","model":"tone@2"})")) == core::error_kind::not_found);
    CHECK(kindOf(build(R"({"prompt":"a","model":"tune"})")) == core::error_kind::not_found);
    CHECK(kindOf(build(R"({"prompt":"a","model":"tone@"})")) == core::error_kind::not_found);
}

TEST_CASE("tokens of chat requests are estimated from their contents, and they use the chat path")
{
    const auto built = build(
        R"({"model":"tone","max_tokens":9,"stream":true,"messages":[
            {"role":"user","content":"abcd"},
            {"role":"user","content":[{"type":"text","text":"abcd"}]}]})");
    REQUIRE(built.hasValue());
    CHECK(built->path == "/v1/chat/completions");
    CHECK(built->promptTokens == 2);
    CHECK(built->maxTokens == 9);
    CHECK(built->stream);
}

TEST_CASE("malformed requests get a typed error")
{
    for (const char *body : {"",
                             "{",
                             "[]",
                             "7",
                             "null",
                             R"({"model":"tone"})",
                             R"({"prompt":"a"})",
                             R"({"prompt":1,"model":"tone"})",
                             R"({"prompt":"a","model":7})",
                             R"({"prompt":"a","model":"tone","max_tokens":0})",
                             R"({"prompt":"a","model":"tone","max_tokens":-1})",
                             R"({"prompt":"a","model":"tone","max_tokens":1.5})",
                             R"({"prompt":"a","model":"tone","max_tokens":"9"})",
                             R"({"prompt":"a","model":"tone","max_tokens":99999999999999999999})",
                             R"({"prompt":"a","model":"tone","stream":"yes"})",
                             R"({"model":"tone","messages":[]})",
                             R"({"model":"tone","messages":"a"})",
                             R"({"model":"tone","messages":[{"role":"user"}]})",
                             R"({"model":"tone","messages":[{"content":"a"}]})",
                             "{\"prompt\":\"\xff\"}"}) {
        INFO(body);
        CHECK(kindOf(build(body)) == core::error_kind::invalid_request);
    }
    CHECK(kindOf(build(R"({"prompt":"a","model":"tone"})", "/v1/completions", cHeaders, "GET"))
          == core::error_kind::invalid_request);
}

TEST_CASE("bodies over the limit and deeply nested bodies are refused")
{
    CHECK(kindOf(build(std::string(cMaxCallerBodyBytes + 1, 'a')))
          == core::error_kind::invalid_request);
    const std::string deep = R"({"model":"tone","prompt":"a","extra":)" + std::string(400'000, '[')
        + std::string(400'000, ']') + "}";
    CHECK(kindOf(build(deep)) == core::error_kind::invalid_request);
}

TEST_CASE("a request that repeats the key in its body or content type is refused")
{
    CHECK(kindOf(build(R"({"model":"tone","prompt":"my key is )" + cKey + "\"}"))
          == core::error_kind::invalid_request);
    // \u006b is the first letter of the key.
    CHECK(kindOf(build(R"({"model":"tone","prompt":"\u006b)" + cKey.substr(1) + "\"}"))
          == core::error_kind::invalid_request);
    CHECK(kindOf(build("plain", "/status",
                       {{"Authorization", "Bearer " + cKey}, {"Content-Type", "text/" + cKey}}))
          == core::error_kind::invalid_request);
}

TEST_CASE("a service request is passed on without the caller's headers")
{
    const auto built = build("body", "/status", {{"Content-Type", "text/plain"}, {"X-Own", "1"}});
    REQUIRE(built.hasValue());
    CHECK(built->kind == settings::endpoint_kind::service);
    CHECK(built->path == "/status");
    CHECK(built->body == "body");
    CHECK(built->contentType == "text/plain");
    CHECK(kindOf(build("", "/status", {}, "HEAD")) == core::error_kind::invalid_request);
}

TEST_CASE("claim keys differ for each client account, route and idempotency key")
{
    CHECK(claimKeyOf("a", "b", "c") == claimKeyOf("a", "b", "c"));
    CHECK(claimKeyOf("ab", "", "c") != claimKeyOf("a", "b", "c"));
    CHECK(claimKeyOf("a", "bc", "") != claimKeyOf("a", "b", "c"));
    CHECK(claimKeyOf("a", "b", "d") != claimKeyOf("a", "b", "c"));
    const http::header_list none;
    CHECK(requestDigestOf({"POST", "/orders", "1", none})
          != requestDigestOf({"POST", "/orders", "2", none}));
}

TEST_CASE("error bodies say whether the request ran")
{
    const caller_error error{.error = {core::error_kind::overloaded, "queue \"a\" full", "wait"}};
    CHECK(errorBody(error, "r-1")
          == R"({"error":{"type":"overloaded","message":"queue \"a\" full","run":"not_run",)"
             R"("remedy":"wait","request_id":"r-1"}})");
    caller_error unknown = error;
    unknown.mayHaveRun = true;
    CHECK(errorBody(unknown, "r-1").find(R"("run":"unknown")") != std::string::npos);
    CHECK(carriesRetryAfter(429));
    CHECK(carriesRetryAfter(503));
    CHECK_FALSE(carriesRetryAfter(502));
}

TEST_CASE("a part of a stream becomes one server-sent event")
{
    CHECK(streamEvent(R"({"id":"x"})") == "data: {\"id\":\"x\"}\n\n");
    CHECK(streamEvent("data: {}\n\n") == "data: {}\n\n");
    CHECK(streamEvent("[DONE]") == cStreamDone);
}
