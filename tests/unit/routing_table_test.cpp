// Guards against requests that are sent to a service that their route does not name.

#include "corneltally/core/digest.h"
#include "corneltally/routing/routing_table.h"

#include <string>

#include <catch2/catch.hpp>

using namespace corneltally;
using routing::routing_table;

namespace {

routing::route routeTo(const std::string &inName, const std::string &inPrefix)
{
    return {.name = inName,
            .host = "Shop.example",
            .pathPrefix = inPrefix,
            .services = {{inName + "-service", 1}}};
}

} // namespace

TEST_CASE("the route with the longest matching prefix is used")
{
    const routing_table table(
        {.routes = {routeTo("all", "/"), routeTo("a", "/a/"), routeTo("ab", "/a/b/")}});
    CHECK(table.findRoute("shop.example", "/a/b/c")->name == "ab");
    CHECK(table.findRoute("shop.example:8080", "/a/b")->name == "a");
    CHECK(table.findRoute("SHOP.example", "/a/x?p=/a/b/")->name == "a");
    CHECK(table.findRoute("shop.example", "/ax/")->name == "all");
    CHECK(table.findRoute("other.example", "/a/b/") == nullptr);
    CHECK(table.findRoute("shop.example", "relative") == nullptr);
}

TEST_CASE("a key identifies only its own account")
{
    const routing_table table(
        {.accounts = {{.name = "north", .keyDigests = {core::sha256Hex("k1")}},
                      {.name = "south", .keyDigests = {core::sha256Hex("k2")}}}});
    CHECK(table.findAccountByKey("k2")->name == "south");
    CHECK(table.findAccountByKey("k3") == nullptr);
    CHECK(table.findAccountByKey("") == nullptr);
}

TEST_CASE("requests are split by weight, and a request id always gets the same service")
{
    routing::route route = routeTo("split", "/");
    route.services = {{"large", 90}, {"small", 10}, {"none", 0}};
    const routing_table table(
        {.routes = {route}, .services = {{.name = "large"}, {.name = "small"}, {.name = "none"}}});
    int small = 0;
    for (int request = 0; request < 1000; ++request) {
        const std::string id = std::to_string(request);
        const routing::service *chosen = table.chooseService(table.source().routes[0], id);
        REQUIRE(chosen != nullptr);
        CHECK(chosen->name != "none");
        CHECK(chosen == table.chooseService(table.source().routes[0], id));
        small += chosen->name == "small" ? 1 : 0;
    }
    CHECK(small > 60);
    CHECK(small < 150);
}
