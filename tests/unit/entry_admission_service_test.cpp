// Guards against requests that get no answer from admission, against a new process that spends a
// share before it is in force, and against loans or weight store limits that fail between
// instances.

#include "corneltally/entry/admission_service.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/settings/settings_index.h"
#include "corneltally/settings/settings_tree.h"

#include <functional>
#include <map>
#include <memory>

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

const std::string cInstances = R"([instances.entry-1]
peer_address = "127.0.0.1:1"
failure_domain = "north"
[instances.entry-2]
peer_address = "127.0.0.1:2"
failure_domain = "north"
)";

const std::string cTree = R"([accounts.harbour]
rate_tokens_per_second = 10000
burst_tokens = 8000
)" + cInstances;

const std::string cTreeWithoutAccount = R"([accounts.other]
rate_tokens_per_second = 1000
burst_tokens = 500
)" + cInstances;

/// An instance with the admission service, and the answers that it sent.
struct instance
{
    kernel::service_registry registry;
    std::map<std::string, entry::admission_result> results;
    std::map<std::string, entry::weight_load_result> loads;
    int loanRequests = 0;
    instance *other = nullptr;
    std::string name;

    instance(kernel::event_loop &inLoop, std::string inName)
        : registry(inLoop)
        , name(std::move(inName))
    {
        registry.add(std::make_unique<entry::admission_service>(registry, name, 7));
        registry.handle<entry::admission_result>("front_end", [this](const auto &inResult) {
            CHECK(results.emplace(inResult.requestId, inResult).second);
        });
        registry.handle<entry::weight_load_result>(
            "owner", [this](const auto &inResult) { loads[inResult.adapter] = inResult; });
        registry.handle<entry::peer_send>("peers", [this](const auto &inSend) { pass(inSend); });
        registry.startAll();
    }

    void pass(const entry::peer_send &inSend)
    {
        CHECK(inSend.instance == other->name);
        if (const auto *request = std::get_if<entry::loan_request>(&inSend.message)) {
            ++loanRequests;
            other->registry.post("admission",
                                 entry::peer_received<entry::loan_request>{name, *request});
        } else {
            other->registry.post("admission",
                                 entry::peer_received<entry::loan_grant>{
                                     name, std::get<entry::loan_grant>(inSend.message)});
        }
    }
    void setTree(const std::string &inText)
    {
        const auto tree = settings::settings_tree::sFromToml(inText, "tree.toml");
        REQUIRE(tree.hasValue());
        registry.broadcast(
            entry::settings_changed{std::make_shared<const settings::settings_index>(*tree)});
    }
    void admit(const std::string &inId, double inTokens)
    {
        registry.post(
            "admission",
            entry::admission_request{inId, "harbour", inTokens, core::boot_clock::now() + 20s});
    }
    bool has(const std::string &inId) const { return results.contains(inId); }
    bool isAdmitted(const std::string &inId) { return has(inId) && !results[inId].error; }
    std::string dump() const { return registry.dumpAll(); }
};

struct fleet
{
    kernel::event_loop loop;
    instance one{loop, "entry-1"};
    instance two{loop, "entry-2"};
    core::time_point started = core::boot_clock::now();

    fleet()
    {
        one.other = &two;
        two.other = &one;
        for (instance *each : {&one, &two}) {
            each->setTree(cTree);
            each->registry.broadcast(entry::peers_changed{.live = {"entry-1", "entry-2"}});
        }
    }

    bool until(const std::function<bool()> &inCondition)
    {
        bool isMet = false;
        kernel::timer limit(loop, [this] { loop.stop(); });
        kernel::timer check(loop, [&] {
            isMet = inCondition();
            if (isMet)
                loop.stop();
        });
        limit.startOnce(20s);
        check.startRepeating(5ms);
        loop.run();
        return isMet;
    }
    /// Both shares hold their whole burst (4,000 tokens each).
    bool untilFull()
    {
        return until([this] { return core::boot_clock::now() - started > 3s; });
    }
};

} // namespace

TEST_CASE("a new process refuses with Retry-After until its share is in force")
{
    fleet instances;
    instances.one.admit("r1", 100);
    REQUIRE(instances.until([&] { return instances.one.has("r1"); }));
    const entry::admission_result &refused = instances.one.results["r1"];
    REQUIRE(refused.error);
    CHECK(refused.error->kind == core::error_kind::rate_limited);
    CHECK(refused.retryAfterSeconds >= 1);
    CHECK(refused.retryAfterSeconds <= 3);
    REQUIRE(instances.untilFull());
    instances.one.admit("r2", 100);
    REQUIRE(instances.until([&] { return instances.one.has("r2"); }));
    CHECK(instances.one.isAdmitted("r2"));
}

TEST_CASE("a request above the share of the instance is admitted with a loan")
{
    fleet instances;
    REQUIRE(instances.untilFull());
    instances.one.admit("r1", 7000);
    REQUIRE(instances.until([&] { return instances.one.has("r1"); }));
    CHECK(instances.one.isAdmitted("r1"));
    CHECK(instances.one.loanRequests >= 1);
    // Both buckets together held 8,000 tokens.
    instances.two.admit("r2", 8000);
    REQUIRE(instances.until([&] { return instances.two.has("r2"); }));
    CHECK_FALSE(instances.two.isAdmitted("r2"));
    CHECK(instances.one.dump().find("\"harbour\"") != std::string::npos);
}

TEST_CASE("settled tokens can be charged again")
{
    fleet instances;
    REQUIRE(instances.untilFull());
    instances.one.registry.broadcast(entry::peers_changed{});
    instances.one.admit("r1", 4000);
    instances.one.registry.post("admission", entry::charge_settle{"harbour", 4000, 0, "r1"});
    instances.one.admit("r2", 3900);
    REQUIRE(instances.until([&] { return instances.one.has("r2"); }));
    CHECK(instances.one.isAdmitted("r2"));
}

TEST_CASE("requests that are cancelled, too large or from unknown accounts are answered")
{
    fleet instances;
    instances.one.admit("cancelled", 100);
    instances.one.registry.post("admission", entry::admission_cancel{"cancelled"});
    instances.one.admit("large", 8001);
    instances.one.registry.post("admission", entry::admission_request{"unknown", "nobody", 1, {}});
    instances.one.admit("removed", 100);
    REQUIRE(instances.until([&] { return instances.one.results.size() >= 3; }));
    instances.one.setTree(cTreeWithoutAccount);
    REQUIRE(instances.until([&] { return instances.one.results.size() == 4; }));
    CHECK(instances.one.results["cancelled"].error->kind == core::error_kind::timeout);
    CHECK(instances.one.results["large"].error->kind == core::error_kind::invalid_request);
    CHECK(instances.one.results["unknown"].error->kind == core::error_kind::unavailable);
    CHECK(instances.one.results["removed"].error->kind == core::error_kind::forbidden);
}

TEST_CASE("a pause empties the share")
{
    fleet instances;
    REQUIRE(instances.untilFull());
    instances.one.registry.broadcast(entry::peers_changed{});
    instances.one.registry.post("admission", entry::process_paused{2s});
    instances.one.admit("r1", 1);
    REQUIRE(instances.until([&] { return instances.one.has("r1"); }));
    CHECK_FALSE(instances.one.isAdmitted("r1"));
}

TEST_CASE("weight store loads respect the limits of rate and loads in flight")
{
    fleet instances;
    REQUIRE(instances.untilFull());
    const auto ask = [&](const std::string &inAdapter) {
        instances.one.registry.post("admission", entry::weight_load_request{"e1", inAdapter, "1"});
    };
    // The fleet-wide limits are three loads per second, a burst of two and eight loads in flight.
    ask("a1");
    ask("a2");
    ask("a3");
    ask("a4");
    ask("a5");
    REQUIRE(instances.until([&] { return instances.one.loads.size() == 5; }));
    int granted = 0;
    for (const auto &[adapter, result] : instances.one.loads) {
        granted += result.granted ? 1 : 0;
        CHECK((result.granted || result.retryAfter > 0us));
    }
    CHECK(granted >= 2);
    CHECK(granted <= 3);
    CHECK_FALSE(instances.one.loads["a5"].granted);
    CHECK(instances.one.dump().find("\"max_loads_in_flight\":4") != std::string::npos);
    instances.one.registry.post("admission", entry::weight_load_done{"e1", "a1", "1"});
    REQUIRE(instances.until([&] {
        if (!instances.one.loads["a6"].granted)
            ask("a6");
        return instances.one.loads["a6"].granted;
    }));
}
