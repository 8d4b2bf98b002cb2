// Guards against trees that differ between instances, partially applied changes and wrong
// inheritance.

#include "corneltally/settings/change.h"
#include "corneltally/settings/settings_index.h"
#include "corneltally/settings/settings_tree.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using settings::change;
using settings::setting_value;
using settings::settings_tree;

namespace {

const std::string cDigest(64, 'a');
const std::string cOtherDigest(64, 'b');

const std::string cTree = R"(max_queue = 100
weight_loads_per_second = 2.5
[accounts]
burst_tokens = 500
[accounts.harbour]
rate_tokens_per_second = 1000
[accounts.harbour.keys.k1]
digest = ")"
    + cDigest + R"("
[accounts.harbour.desk]
weight = 2
[accounts.harbour.desk.keys.k2]
digest = ")"
    + cOtherDigest + R"("
withdrawn = true
[adapters]
base_model = "base-7"
[adapters.tone]
version = "3"
[endpoints.engine-1]
address = "127.0.0.1:9001"
failure_domain = "north"
base_model = "base-7"
checks_fencing = true
adapter_slots = 6
[endpoints.orders-1]
address = "127.0.0.1:9002"
failure_domain = "north"
kind = "service"
[instances.entry-1]
peer_address = "127.0.0.1:7101"
failure_domain = "north"
[routes.chat]
path = "/v1/chat/completions"
repeatable = true
timeout_ms = 5000
[routes.orders]
kind = "service"
path = "/orders"
class = "patient"
require_idempotency_key = true
endpoints = ["orders-1"]
accounts = ["harbour", "harbour/desk"]
)";

settings_tree readTree(const std::string &inText)
{
    const auto result = settings_tree::sFromToml(inText, "tree.toml");
    INFO((result ? std::string() : result.reason().message));
    REQUIRE(result.hasValue());
    return *result;
}

std::vector<settings::problem> problemsOf(const std::string &inText)
{
    std::vector<settings::problem> problems;
    const auto result = settings_tree::sFromToml(inText, "tree.toml", &problems);
    CHECK(result.hasValue() == problems.empty());
    return problems;
}

change makeChange(const settings_tree &inTree, std::string inId,
                  std::vector<change::assignment> inSet, std::vector<std::string> inRemove = {})
{
    change result{.id = std::move(inId),
                  .author = "test",
                  .base = {},
                  .set = std::move(inSet),
                  .remove = std::move(inRemove)};
    for (const auto &entry : result.set)
        result.base[entry.path] = inTree.nodeVersion(entry.path);
    for (const auto &removed : result.remove) {
        for (const auto &path : inTree.subtree(removed))
            result.base[path] = inTree.nodeVersion(path);
    }
    return result;
}

void checkRefused(const settings_tree &inTree, const change &inChange, const std::string &inPart)
{
    const auto result = inTree.apply(inChange, inTree.version() + 1);
    REQUIRE_FALSE(result.hasValue());
    INFO(result.reason().message);
    CHECK(result.reason().message.find(inPart) != std::string::npos);
    CHECK_FALSE(result.reason().remedy.empty());
    settings_tree copy = inTree;
    CHECK(copy.applyInPlace(inChange, inTree.version() + 1).has_value());
    CHECK(copy == inTree);
    CHECK(copy.toJson() == inTree.toJson());
}

} // namespace

TEST_CASE("children inherit values that they do not override, with the path that sets them")
{
    const settings_tree tree = readTree(cTree);
    const auto rate = tree.find("/accounts/harbour/desk", "rate_tokens_per_second");
    REQUIRE(rate.has_value());
    CHECK(rate->value == setting_value(std::int64_t(1000)));
    CHECK(rate->path == "/accounts/harbour");
    CHECK(tree.find("/accounts/harbour/desk", "burst_tokens")->path == "/accounts");
    CHECK_FALSE(tree.find("/adapters/tone", "burst_tokens").has_value());
}

TEST_CASE("children of a path are listed once, even if names have a common prefix")
{
    const settings_tree tree = readTree(R"([accounts]
rate_tokens_per_second = 1
burst_tokens = 1
[accounts.a]
[accounts.a.sub]
[accounts.a-b]
[accounts."a.c".deep]
[accounts."a.c"]
)");
    CHECK(tree.children("/accounts") == std::vector<std::string>{"a", "a-b", "a.c"});
    CHECK(tree.children("/accounts/a") == std::vector<std::string>{"sub"});
    CHECK(tree.children("/") == std::vector<std::string>{"accounts"});
    CHECK(tree.subtree("/accounts/a")
          == std::vector<std::string>{"/accounts/a", "/accounts/a/sub"});
    CHECK(tree.children("/adapters").empty());
}

TEST_CASE("the index contains the effective values of all entries")
{
    const settings::settings_index index(readTree(cTree));
    CHECK(index.maxQueue() == 100);
    CHECK(index.weightLoadsPerSecond() == 2.5);
    CHECK(index.weightLoadsInFlight() == 8);
    CHECK(index.claimWindow() == std::chrono::seconds(86'400));
    REQUIRE(index.findAccount("harbour/desk") != nullptr);
    CHECK(index.findAccount("harbour/desk")->rateTokensPerSecond == 1000);
    CHECK(index.findAccount("harbour/desk")->burstTokens == 500);
    CHECK(index.findAccount("harbour/desk")->weight == 2);
    CHECK(index.findAccount("harbour")->weight == 1);
    REQUIRE(index.findKey(cOtherDigest) != nullptr);
    CHECK(index.findKey(cOtherDigest)->account == "harbour/desk");
    CHECK(index.findKey(cOtherDigest)->withdrawn);
    CHECK(index.findKey(cDigest)->account == "harbour");
    CHECK_FALSE(index.findKey(cDigest)->withdrawn);
    CHECK(index.findKey(std::string(64, 'c')) == nullptr);
    CHECK(index.adapterCount() == 1);
    CHECK(index.findAdapter("tone")->baseModel == "base-7");
    CHECK(index.findEndpoint("engine-1")->checksFencing);
    CHECK(index.findEndpoint("engine-1")->adapterSlots == 6);
    CHECK(index.findEndpoint("engine-1")->runSlots == 8);
    CHECK(index.findEndpoint("orders-1")->kind == settings::endpoint_kind::service);
    CHECK(index.findInstance("entry-1")->peerAddress == "127.0.0.1:7101");
    CHECK(index.findRoute("/v1/chat/completions")->repeatable);
    CHECK(index.findRoute("/v1/chat/completions")->timeout == std::chrono::milliseconds(5000));
    const settings::route_view *orders = index.findRoute("/orders");
    REQUIRE(orders != nullptr);
    CHECK(orders->trafficClass == settings::traffic_class::patient);
    CHECK(orders->requireIdempotencyKey);
    CHECK(orders->endpoints == std::vector<std::string>{"orders-1"});
    CHECK(orders->accounts == std::vector<std::string>{"harbour", "harbour/desk"});
}

TEST_CASE("the index uses the documented defaults")
{
    const settings::settings_index index(readTree(R"([accounts.a]
rate_tokens_per_second = 1
burst_tokens = 1
[endpoints.e]
address = "127.0.0.1:1"
failure_domain = "n"
base_model = "b"
[routes.r]
path = "/r"
)"));
    CHECK(index.maxQueue() == 256);
    CHECK(index.patientMaxWait() == std::chrono::milliseconds(20'000));
    CHECK(index.weightLoadsPerSecond() == 3);
    const settings::route_view *route = index.findRoute("/r");
    REQUIRE(route != nullptr);
    CHECK(route->kind == settings::endpoint_kind::model);
    CHECK_FALSE(route->open);
    CHECK_FALSE(route->repeatable);
    CHECK_FALSE(route->requireIdempotencyKey);
    CHECK(route->trafficClass == settings::traffic_class::prompt);
    CHECK(route->timeout == std::chrono::milliseconds(60'000));
    CHECK(route->streamIdle == std::chrono::milliseconds(15'000));
    const settings::endpoint_view *endpoint = index.findEndpoint("e");
    REQUIRE(endpoint != nullptr);
    CHECK(endpoint->kind == settings::endpoint_kind::model);
    CHECK_FALSE(endpoint->checksFencing);
    CHECK(endpoint->adapterSlots == 4);
    CHECK(endpoint->runSlots == 8);
    CHECK_FALSE(endpoint->leaving);
    CHECK(index.findAccount("a")->maxSettingsAgeSeconds == 0);
}

TEST_CASE("withdrawing an account or a key group withdraws the keys below it")
{
    settings_tree tree = readTree(cTree);
    REQUIRE_FALSE(settings::settings_index(tree).findKey(cDigest)->withdrawn);
    SECTION("account")
    {
        const auto reason = tree.applyInPlace(
            makeChange(tree, "c1", {{"/accounts/harbour", "withdrawn", true}}), 1);
        REQUIRE_FALSE(reason.has_value());
    }
    SECTION("key group")
    {
        const auto reason = tree.applyInPlace(
            makeChange(tree, "c1", {{"/accounts/harbour/keys", "withdrawn", true}}), 1);
        REQUIRE_FALSE(reason.has_value());
    }
    CHECK(settings::settings_index(tree).findKey(cDigest)->withdrawn);
}

TEST_CASE("all problems of a tree file are reported in one run with their lines")
{
    const auto problems = problemsOf(R"(max_queue = 0
[accounts.harbour]
rate_tokens_per_second = "fast"
burst_tokens = 1
weigt = 2
[accounts.harbour.keys.k1]
digest = "abc"
[endpoints.engine-1]
address = "127.0.0.1:9001"
failure_domain = "north"
[gadgets.x]
[routes.chat]
path = "/chat"
endpoints = ["engine-9"]
when = 1979-05-27
)");
    std::vector<std::pair<int, std::string>> found;
    found.reserve(problems.size());
    for (const auto &entry : problems)
        found.emplace_back(entry.line, entry.key);
    const std::vector<std::pair<int, std::string>> expected{
        {1, "/ max_queue"},
        {3, "/accounts/harbour rate_tokens_per_second"},
        {5, "/accounts/harbour weigt"},
        {7, "/accounts/harbour/keys/k1 digest"},
        {8, "/endpoints/engine-1 base_model"},
        {11, "/gadgets"},
        {14, "/routes/chat endpoints"},
        {15, "/routes/chat when"}};
    CHECK(found == expected);
}

TEST_CASE("a change is applied as a whole, and its nodes get the offset as version")
{
    const settings_tree tree = readTree(cTree);
    const auto next = tree.apply(
        makeChange(tree, "c1",
                   {{"/adapters/tone", "version", "4"}, {"/adapters/new", "version", "1"}},
                   {"/accounts/harbour/desk/keys"}),
        7);
    // The group /accounts/harbour/desk/keys exists only through the key below it.
    REQUIRE(next.hasValue());
    CHECK(next->version() == 7);
    CHECK(next->nodeVersion("/adapters/tone") == 7);
    CHECK(next->nodeVersion("/accounts/harbour") == 0);
    CHECK_FALSE(next->contains("/accounts/harbour/desk/keys/k2"));
    CHECK(settings::settings_index(*next).findAdapter("tone")->version == "4");
    CHECK(settings::settings_index(tree).findAdapter("tone")->version == "3");
}

TEST_CASE("removing a key makes the inherited value apply again")
{
    const settings_tree tree = readTree(cTree);
    const auto next = tree.apply(
        makeChange(tree, "c1", {{"/accounts/harbour/desk", "weight", std::nullopt}}), 3);
    REQUIRE(next.hasValue());
    CHECK(settings::settings_index(*next).findAccount("harbour/desk")->weight == 1);
}

TEST_CASE(
    "the second of two concurrent changes to a node is rejected and the newer version reported")
{
    const settings_tree tree = readTree(cTree);
    const change first = makeChange(tree, "first", {{"/adapters/tone", "version", "4"}});
    const change second = makeChange(tree, "second", {{"/adapters/tone", "version", "5"}});
    const change elsewhere = makeChange(tree, "else", {{"/accounts/harbour", "weight", 3.0}});
    const auto next = tree.apply(first, 10);
    REQUIRE(next.hasValue());
    const auto refused = next->apply(second, 11);
    REQUIRE_FALSE(refused.hasValue());
    CHECK(refused.reason().kind == core::error_kind::conflict);
    CHECK(refused.reason().message.find("version 10") != std::string::npos);
    CHECK(next->apply(elsewhere, 11).hasValue());
}

TEST_CASE("a removal is rejected after a change below the node, and a change below a removed node")
{
    const settings_tree tree = readTree(cTree);
    const change removal = makeChange(tree, "removal", {}, {"/accounts/harbour/desk"});
    const change issue = makeChange(
        tree, "issue",
        {{"/accounts/harbour/desk/keys/k3", "digest", setting_value(std::string(64, 'c'))}});
    const change unused = makeChange(tree, "routes", {}, {"/routes/orders"});
    const auto base = tree.apply(unused, 5);
    REQUIRE(base.hasValue());
    const auto issued = base->apply(issue, 6);
    REQUIRE(issued.hasValue());
    CHECK_FALSE(issued->apply(removal, 7).hasValue());
    const auto removed = base->apply(removal, 6);
    REQUIRE(removed.hasValue());
    CHECK_FALSE(removed->apply(issue, 7).hasValue());
}

TEST_CASE("a change with the same id is applied only once")
{
    const settings_tree tree = readTree(cTree);
    const auto next = tree.apply(makeChange(tree, "c1", {{"/adapters/tone", "version", "4"}}), 10);
    REQUIRE(next.hasValue());
    checkRefused(*next, makeChange(*next, "c1", {{"/adapters/tone", "version", "5"}}),
                 "already applied at offset 10");
}

TEST_CASE("an invalid change is rejected as a whole and leaves the tree unchanged")
{
    const settings_tree tree = readTree(cTree);
    const auto refused = [&](std::vector<change::assignment> inSet, const std::string &inPart) {
        std::vector<change::assignment> set{{"/adapters/tone", "version", "9"}};
        set.insert(set.end(), inSet.begin(), inSet.end());
        checkRefused(tree, makeChange(tree, "c1", set), inPart);
    };
    refused({{"/accounts/harbour", "burst_tokens", std::int64_t(-1)}}, "out of range");
    refused({{"/accounts/harbour", "burst_tokens", "many"}}, "wrong type");
    refused({{"/accounts/harbour", "colour", "red"}}, "unknown key");
    refused({{"/accounts/harbour/keys/k9", "withdrawn", true}}, "required key is missing");
    refused({{"/accounts/nobody/keys/k9", "digest", std::string(64, 'd')}}, "no account");
    refused({{"/accounts/harbour/keys/k9", "digest", cDigest}}, "is also set at");
    refused({{"/endpoints/e9", "address", "127.0.0.1:9001"},
             {"/endpoints/e9", "failure_domain", "north"},
             {"/endpoints/e9", "base_model", "b"}},
            "is also set at");
    refused({{"/routes/orders", "endpoints", std::vector<std::string>{"none"}}}, "is not in");
    refused({{"/routes/orders", "endpoints", std::vector<std::string>{"engine-1"}}}, "kind");
    refused({{"/routes", "endpoints", std::vector<std::string>{"none"}}}, "is not in");
    refused({{"/", "claim_window_s", std::int64_t(100'000)}}, "3/4");
    refused({{"/bad path", "x", true}}, "not a path");
    refused({{"/accounts/" + std::string(65, 'x'), "weight", 1.0}}, "not a path");
    refused({{"/accounts/a/b/c/d/e/f/g/h", "weight", 1.0}}, "not a path");
    refused({{"/accounts/harbour", "weight", 1.0}, {"/accounts/harbour", "weight", 2.0}}, "twice");
    refused({{"/adapters/tone", "version", std::string("a\nb")}}, "twice");
    refused({{"/adapters/tune", "version", std::string("a\nb")}}, "not a valid value");
    checkRefused(tree, makeChange(tree, "c1", {}, {"/endpoints/orders-1"}), "is not in /endpoints");
    checkRefused(tree, makeChange(tree, "c1", {}, {"/adapters/none"}), "no node");
    checkRefused(tree, makeChange(tree, "c1", {}, {"/"}), "no node");
    checkRefused(tree, makeChange(tree, "c1", {}), "modifies nothing");
    checkRefused(tree, makeChange(tree, "", {{"/adapters/tone", "version", "9"}}), "no id");
}

TEST_CASE("a change that exceeds the size limit of the tree is rejected")
{
    settings_tree tree = readTree(cTree);
    std::uint64_t offset = 0;
    std::optional<core::error> reason;
    // Each change adds about 1 MiB; the limit is 8 MiB.
    for (int step = 0; step < 12 && !reason; ++step) {
        std::vector<change::assignment> set;
        set.reserve(8000);
        for (int i = 0; i < 8000; ++i)
            set.push_back({"/adapters/" + std::string(50, 'a') + std::to_string(step * 8000 + i),
                           "version", std::string(64, 'v')});
        ++offset;
        const settings_tree before = tree;
        reason = tree.applyInPlace(makeChange(tree, "c" + std::to_string(step), set), offset);
        if (reason)
            CHECK(tree == before);
    }
    REQUIRE(reason.has_value());
    CHECK(reason->message.find("more than") != std::string::npos);
}

TEST_CASE("a tree and a change are unchanged after a JSON round trip")
{
    const settings_tree tree = readTree(cTree);
    const change edit
        = makeChange(tree, "c1",
                     {{"/accounts/harbour", "weight", 2.5},
                      {"/accounts/harbour/desk", "weight", std::nullopt},
                      {"/routes/chat", "accounts", std::vector<std::string>{"harbour"}}},
                     {"/accounts/harbour/keys/k1"});
    const auto parsed = change::sFromJson(edit.toJson());
    REQUIRE(parsed.hasValue());
    CHECK(*parsed == edit);
    const auto next = tree.apply(*parsed, 4);
    REQUIRE(next.hasValue());
    const auto copy = settings_tree::sFromJson(next->toJson());
    REQUIRE(copy.hasValue());
    CHECK(*copy == *next);
    CHECK(copy->toJson() == next->toJson());
}

TEST_CASE("malformed JSON of trees and changes is rejected")
{
    for (const std::string text :
         {"", "[]", "{", "{\"nodes\":{}}", "{\"ids\":[],\"nodes\":{\"/\":1},\"version\":1}",
          "{\"ids\":[],\"nodes\":{\"/x\":{\"values\":{},\"version\":1}},\"version\":1}",
          "{\"ids\":[[1]],\"nodes\":{},\"version\":1}"})
        CHECK_FALSE(settings_tree::sFromJson(text).hasValue());
    for (const std::string text :
         {"", "[]", "{\"set\":1}", "{\"set\":[{\"path\":\"/\"}]}", "{\"base\":{\"/\":-1}}",
          "{\"remove\":[1]}", "{\"more\":1}", "{\"id\":1}",
          "{\"set\":[{\"path\":\"/\",\"key\":\"k\",\"value\":{}}]}"})
        CHECK_FALSE(change::sFromJson(text).hasValue());
}

TEST_CASE("an endpoint address of the process settings overrides that of the tree")
{
    const settings_tree tree = readTree(cTree);
    const settings::settings_index plain(tree);
    const settings::settings_index replaced(
        tree, {{"engine-1", "127.0.0.1:9901"}, {"engine-9", "127.0.0.1:9909"}});
    CHECK(plain.findEndpoint("engine-1")->address == "127.0.0.1:9001");
    CHECK(replaced.findEndpoint("engine-1")->address == "127.0.0.1:9901");
    CHECK(replaced.findEndpoint("orders-1")->address == "127.0.0.1:9002");
    CHECK(replaced.findEndpoint("engine-9") == nullptr);
}
