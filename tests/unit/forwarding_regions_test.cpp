// Guards against requests that reach an endpoint outside the allowed regions of their route or
// client account: at the first attempt, a retry, the resumption of a stream, or an adapter load.

#include "tests/unit/forwarding_front_fixture.h"

#include <string>

using namespace corneltally;
using namespace corneltally::front_test;
using routing::repetition;
using regions = std::optional<std::vector<std::string>>;

namespace {

/// Callers may run in the region "land" only, where the second endpoint server is; the first one is
/// in the instance's own failure domain and preferred without a restriction.
struct region_fixture : front_fixture
{
    explicit region_fixture(repetition inKind, const regions &inRoute = regions({"land"}),
                            const regions &inAccount = std::nullopt)
    {
        adjusts = [=](routing::configuration &ioConfiguration) {
            for (routing::route &route : ioConfiguration.routes)
                route.allowedRegions = inRoute;
            ioConfiguration.accounts[0].allowedRegions = inAccount;
        };
        front.setRegions({{"north", "reykjanes"}, {"south", "land"}});
        configure(inKind, 3);
        announce("m2", "models", second);
        engineState({});
        engineState({}, "m2");
        settle(50ms);
    }

    bool counted(const std::string &inBy, int inRequests) const
    {
        return metrics.toText().find("requests_kept_in_regions_total{by=\"" + inBy + "\"} "
                                     + std::to_string(inRequests) + "\n")
            != std::string::npos;
    }
};

const http1::header_fields cAdapter{{std::string(platform::cModelField), "base/a1"}};

} // namespace

TEST_CASE("requests and their retries reach only endpoints in regions that route and account allow")
{
    struct example
    {
        regions ofRoute;
        regions ofAccount;
        std::string by;
        std::string reason;
    };
    const std::vector<example> examples{
        {regions({"land"}), {}, "route", ""},
        {{}, regions({"land"}), "account", ""},
        {regions({"land", "reykjanes"}), regions({"land"}), "route_and_account", ""},
        {regions({"elsewhere"}), {}, "route", "no endpoint in an allowed region"},
        {regions({"reykjanes"}), regions({"land"}), "route_and_account", "allow no region"}};
    for (const example &entry : examples) {
        INFO(entry.by << " " << entry.reason);
        region_fixture fixture(repetition::repeatable, entry.ofRoute, entry.ofAccount);
        fixture.second.script = {{cSealed}, {cRefused}};
        const bool servable = entry.reason.empty();
        CHECK(fixture.call().status == (servable ? 200 : 503));
        const caller_view refused = fixture.call();
        CHECK(refused.status == 503);
        CHECK(refused.body.find("\"run\":\"not_run\"") != std::string::npos);
        CHECK(refused.body.find(entry.reason) != std::string::npos);
        CHECK(fixture.second.requests.size() == (servable ? 2 : 0));
        CHECK(fixture.first.requests.empty());
        CHECK(fixture.counted(entry.by, 2));
    }
}

TEST_CASE("a stream is not resumed outside its regions")
{
    region_fixture fixture(repetition::resumable_stream);
    fixture.second.script = {{cStreamHead + chunk("id: 1\ndata: a\n\n"), true}};
    const caller_view view = fixture.call();
    CHECK(view.body == "id: 1\ndata: a\n\n");
    CHECK(view.end.outcome == http1::exchange_end::kind::broken);
    CHECK(fixture.first.requests.empty());
}

TEST_CASE("adapters are loaded only in allowed regions, and a wait ends if the engine leaves them")
{
    region_fixture fixture(repetition::once);
    const auto open = fixture.connect();
    caller_view view;
    fixture.send(*open, view, "/lm/1", cAdapter);
    fixture.settle(20ms);
    CHECK(fixture.wanted.contains("m2"));
    CHECK_FALSE(fixture.wanted.contains("m1"));
    // The entry of the engine moves to a failure domain whose region is not known.
    fixture.registry.broadcast(
        catalog::endpoint_changed{{.id = "m2",
                                   .service = "models",
                                   .address = {"127.0.0.1", fixture.second.listener.port()},
                                   .failureDomain = "west",
                                   .startedMs = 1}});
    fixture.engineState({{{"base/a1", 1}}, {}}, "m2");
    fixture.loop.run();
    CHECK(view.status == 503);
    CHECK(fixture.second.requests.empty());
    CHECK(fixture.first.requests.empty());
}

TEST_CASE("a caller is told when the endpoints of its regions come back, whatever others do")
{
    region_fixture fixture(repetition::repeatable);
    fixture.registry.broadcast(engines::endpoint_noticed{"e2", 1, {.pause = 5s}});
    fixture.settle(20ms);
    const caller_view view = fixture.call();
    CHECK(view.status == 503);
    CHECK(std::stod(std::string(http1::findField(view.fields, "Retry-After").value_or("0"))) > 4);
}
