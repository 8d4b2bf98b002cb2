// Guards against requests that run in a region where their route or client account does not allow
// them, and against restrictions that nobody can see to be unserved.

#include "corneltally/routing/region_restriction.h"
#include "corneltally/routing/routing_table.h"
#include "corneltally/routing/unserved_restrictions.h"

#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;
using regions = std::optional<std::vector<std::string>>;

namespace {

const routing::domain_regions cRegions{{"r-a", "reykjanes"}, {"r-b", "reykjanes"}, {"l", "land"}};

} // namespace

TEST_CASE("a request may run where both its route and its account allow it")
{
    struct example
    {
        regions ofRoute;
        regions ofAccount;
        /// Failure domains where the request may run, of those in order below.
        std::string domains;
        std::string text;
        std::string source;
    };
    const std::vector<example> examples{
        {{}, {}, "r-a r-b l new", "", ""},
        {regions({"reykjanes"}), {}, "r-a r-b", "reykjanes", "route"},
        {{}, regions({"land", "reykjanes"}), "r-a r-b l", "land,reykjanes", "account"},
        {regions({"land", "reykjanes"}), regions({"land"}), "l", "land", "route_and_account"},
        {regions({"land"}), regions({"reykjanes"}), "", "none", "route_and_account"},
        {regions({"land"}), regions(std::vector<std::string>()), "", "none", "route_and_account"},
        // A region has no failure domain, and an unnamed failure domain no region.
        {regions({"elsewhere", "new"}), {}, "", "elsewhere,new", "route"},
    };
    for (const example &entry : examples) {
        const routing::route route{.allowedRegions = entry.ofRoute};
        const routing::client_account account{.allowedRegions = entry.ofAccount};
        const routing::region_restriction restriction(route, &account);
        const routing::allowed_domains allowed = restriction.domains(cRegions);
        std::string domains;
        for (const std::string domain : {"r-a", "r-b", "l", "new"}) {
            if (allowed.contains(domain))
                domains.append(domains.empty() ? "" : " ").append(domain);
        }
        INFO(entry.text);
        CHECK(domains == entry.domains);
        CHECK(restriction.toText() == entry.text);
        CHECK(restriction.source() == entry.source);
    }
}

TEST_CASE("a restriction that no failure domain meets is reported once, and so is its end")
{
    routing::unserved_restrictions unserved;
    const core::time_point now{1h};
    const routing::configuration configuration{
        .routes = {{.name = "r", .allowedRegions = regions({"land"})}, {.name = "free"}},
        .accounts = {{.name = "a", .allowedRegions = regions({"elsewhere"})}}};
    using changes = std::vector<routing::unserved_restrictions::change>;
    CHECK(unserved.update(configuration, {}, now)
          == changes{{"account a", "elsewhere"}, {"route r", "land"}});
    CHECK(unserved.update(configuration, {}, now + 1s).empty());
    CHECK(unserved.update(configuration, cRegions, now + 5s)
          == changes{{"route r", "land", false, 5s}});
    CHECK(unserved.update({}, cRegions, now + 6s)
          == changes{{"account a", "elsewhere", false, 6s}});
}
