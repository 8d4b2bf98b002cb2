// Guards against a checker that passes ledgers that contradict a guarantee, or that reports
// contradictions where there are none.

#include "standins/ledger_checker.h"

#include <set>

#include <catch2/catch.hpp>

namespace {

std::multiset<std::string> check(const std::vector<std::string> &inLines)
{
    standins::ledger_checker checker;
    for (const std::string &line : inLines)
        checker.addLine(line);
    std::multiset<std::string> guarantees;
    for (const standins::violation &entry : checker.check()) {
        INFO(entry.message);
        guarantees.insert(entry.guarantee);
    }
    return guarantees;
}

using expected = std::multiset<std::string>;

const std::string cCall = R"({"kind":"call","user":"u1","account":"harbour","adapter":"legal",)"
                          R"("version":"3","sent":100,"outcome":"completed","request_id":"r1",)"
                          R"("key_id":"k1"})";
const std::string cRun
    = R"({"kind":"run_start","time":100.5,"process":"engine-1","request_id":"r1","user":"u1",)"
      R"("adapter":"legal","version":"3","prompt_tokens":10})";

} // namespace

TEST_CASE("ledgers without contradictions pass")
{
    CHECK(check({cCall, cRun}).empty());
    CHECK(check({}).empty());
}

TEST_CASE("a run of another adapter or version violates P1")
{
    const std::string start = R"({"kind":"run_start","process":"e","request_id":"r1","user":"u1",)";
    CHECK(check({cCall, start + R"("adapter":"tax","version":"3"})"}) == expected{"P1"});
    CHECK(check({cCall, start + R"("adapter":"legal","version":"2"})"}) == expected{"P1"});
}

TEST_CASE("an unload in use violates P2")
{
    const std::string unload = R"({"kind":"unload","process":"e","adapter":"a","version":"1",)";
    CHECK(check({unload + R"("in_use":1})"}) == expected{"P2"});
    CHECK(check({unload + R"("in_use":0})"}).empty());
}

TEST_CASE("a run without a valid key, or after its withdrawal, violates P3 or P5")
{
    const std::string bad
        = R"({"kind":"call","user":"u1","adapter":"legal","version":"3","authorized":false})";
    CHECK(check({bad, cRun}) == expected{"P3"});
    CHECK(check({cCall, cRun, R"({"kind":"key_withdrawn","time":96.5,"key_id":"k1"})"})
          == expected{"P5"});
    CHECK(check({cCall, cRun, R"({"kind":"key_withdrawn","time":97.5,"key_id":"k1"})"}).empty());
}

TEST_CASE("a key that an endpoint saw violates P4")
{
    CHECK(check({R"({"kind":"order_run","process":"a","request_id":"r","secret_seen":true})"})
          == expected{"P4"});
}

TEST_CASE("tokens over rate x time + burst in any window violate P6")
{
    const auto lines = [](double inSecondSent) {
        const auto run = [](const std::string &inId, double inTime) {
            return std::vector<std::string>{
                R"({"kind":"call","user":")" + inId + R"(","account":"a","sent":)"
                    + std::to_string(inTime) + "}",
                R"({"kind":"run_start","process":"e","request_id":")" + inId + R"(","user":")"
                    + inId + R"(","prompt_tokens":50,"time":)" + std::to_string(inTime) + "}",
                R"({"kind":"run_end","process":"e","request_id":")" + inId
                    + R"(","output_tokens":30})"};
        };
        std::vector<std::string> all = run("x", 100);
        for (const std::string &line : run("y", inSecondSent))
            all.push_back(line);
        all.emplace_back(R"({"kind":"account_limit","account":"a","rate":20,"burst":100})");
        return all;
    };
    // 160 tokens: allowed are 100 + 20 per second.
    CHECK(check(lines(102)) == expected{"P6"});
    CHECK(check(lines(103.1)).empty());
}

TEST_CASE("an incomplete or crossed answer violates P7")
{
    CHECK(check({R"({"kind":"call","user":"u","problem":"token 3 is missing"})"})
          == expected{"P7"});
}

TEST_CASE("a refusal as not run of a request that ran violates P8")
{
    const std::string call = R"({"kind":"call","user":"u1","request_id":"r9","run":"not_run"})";
    CHECK(check({call, cRun}) == expected{"P8"});
    CHECK(check({call, R"({"kind":"order_run","process":"a","request_id":"r9"})"})
          == expected{"P8"});
    CHECK(check({call, R"({"kind":"order_run","process":"a","request_id":"r8"})"}).empty());
}

TEST_CASE("a second run of an order violates P9, by header or by body")
{
    const std::string byHeader = R"({"kind":"order_run","process":"a","order_id":"o1"})";
    CHECK(check({byHeader, byHeader}) == expected{"P9"});
    CHECK(check({byHeader}).empty());
    const std::string byBody
        = R"({"kind":"order_run","process":"a","order":"b1","path":"/orders"})";
    const std::string elsewhere
        = R"({"kind":"order_run","process":"b","order":"b1","path":"/orders"})";
    CHECK(check({byBody, elsewhere}) == expected{"P9"});
}

TEST_CASE("work more than 3 s after an endpoint began to leave violates P10")
{
    const auto leaving = [](double inTime, bool inLeaving) {
        return R"({"kind":"leaving","process":"engine-1","time":)" + std::to_string(inTime)
            + R"(,"leaving":)" + (inLeaving ? "true}" : "false}");
    };
    CHECK(check({leaving(97, true), cCall, cRun}) == expected{"P10"});
    CHECK(check({leaving(98, true), cCall, cRun}).empty());
    CHECK(check({leaving(90, true), leaving(95, false), cCall, cRun}).empty());
}

TEST_CASE("a damaged ledger is reported")
{
    CHECK(check({"{\"kind\":"}) == expected{"ledger"});
}
