// Guards against endpoints of an evacuated failure domain that are chosen, or that count for the
// choice among the others.

#include "corneltally/engines/endpoint_choice.h"
#include "corneltally/engines/endpoint_table.h"

#include <string>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

const core::time_point cStart{1h};

/// Plain endpoints in three failure domains, which their names begin with.
struct evacuation_table
{
    engines::endpoint_table endpoints;

    evacuation_table()
    {
        for (const std::string id : {"n1", "n2", "n3", "s1", "s2", "w1"})
            endpoints.apply({.id = id,
                             .service = "shop",
                             .address = {"10.0.0.1", 80},
                             .failureDomain = id.substr(0, 1),
                             .capacity = 4,
                             .startedMs = 1},
                            cStart);
    }

    std::string choose()
    {
        const auto choice
            = engines::chooseEndpoint(endpoints, {.service = "shop"}, "n", {}, cStart);
        return choice ? choice->endpoint.substr(0, 1) : "none";
    }
};

} // namespace

TEST_CASE("endpoints of evacuated failure domains are not chosen, whatever else is there")
{
    evacuation_table table;
    CHECK(table.choose() == "n");
    table.endpoints.setEvacuated("n", true);
    CHECK(table.choose() != "n");
    CHECK_FALSE(table.endpoints.usable(*table.endpoints.find("n1"), cStart));
    table.endpoints.setEvacuated("s", true);
    CHECK(table.choose() == "w");
    // A new start, or an entry that comes back, is in the failure domain as well.
    table.endpoints.apply({.id = "n4",
                           .service = "shop",
                           .address = {"10.0.0.1", 80},
                           .failureDomain = "n",
                           .startedMs = 2},
                          cStart);
    CHECK(table.choose() == "w");
    table.endpoints.setEvacuated("w", true);
    CHECK(table.choose() == "none");
    CHECK(table.endpoints.hasEvacuated("shop"));
    CHECK_FALSE(table.endpoints.hasEvacuated("models"));
    table.endpoints.setEvacuated("n", false);
    CHECK(table.choose() == "n");
}

// Failure: a pause of all endpoints that are left is not noticed, or the healthy endpoints of an
// evacuated failure domain make the failing rest count as a minority that is avoided.
TEST_CASE("evacuated endpoints do not count among those that pause or fail")
{
    evacuation_table table;
    table.endpoints.setEvacuated("n", true);
    for (const char *id : {"s1", "s2", "w1"})
        table.endpoints.applyNotice(id, 1, {.pause = 2s}, cStart);
    CHECK(table.endpoints.pauseEnds("shop", cStart).has_value());

    evacuation_table failing;
    failing.endpoints.setEvacuated("n", true);
    for (const char *id : {"s1", "s2"}) {
        scheduling::endpoint_health &health = failing.endpoints.find(id)->health;
        for (int count = 0; count < 20; ++count) {
            health.started();
            health.failed(cStart);
        }
        REQUIRE(health.isProbing());
    }
    // Two of three fail, so they are not left out, and one that is loaded is not overloaded.
    failing.endpoints.find("w1")->own.requests = 400;
    CHECK(failing.choose() == "s");
}
