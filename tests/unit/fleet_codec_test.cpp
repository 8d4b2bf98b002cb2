// Guards against messages between instances that are decoded incorrectly or are damaged.

#include "corneltally/fleet/fleet_codec.h"
#include "corneltally/fleet/fleet_records.h"

#include <catch2/catch.hpp>

using namespace corneltally;
using namespace std::chrono_literals;

namespace {

const core::time_point cNow{1h};

const quarantine::quarantine_state cQuarantine{
    .losses = {{5, {cNow - 300ms, {{1, 0}, {2, 1}}}}},
    .answers = {{1, cNow - 100ms}, {5, cNow - 2s}},
    .parts = {{2, {.round = 2, .cleared = true, .since = cNow - 4s, .until = cNow + 56s}}}};

void checkRoundTrip(const fleet::message &inMessage)
{
    const auto decoded = fleet::decode(fleet::encode(inMessage, cNow), cNow);
    REQUIRE(decoded);
    CHECK(*decoded == inMessage);
}

} // namespace

TEST_CASE("each message is decoded as it was encoded")
{
    checkRoundTrip(fleet::hello{"a", "10.0.0.1", "10.0.0.1:80", "north", 7, {{3, 12}, 5}});
    checkRoundTrip(fleet::heartbeat{.operatorProgress = {{3, 4}, 9},
                                    .draining = true,
                                    .receiverLive = true,
                                    .accountUses = {{"north", 12.5}},
                                    .loads = {{engines::digestOf("e1"), {3, 100, 200}}},
                                    .adapterUses = {engines::digestOf("e1", "base/a1")},
                                    .adaptersRunning = {engines::digestOf("e1", "base/a2")},
                                    .pauses = {{engines::digestOf("e1"), 420ms}},
                                    .sentAt = cNow - 3s,
                                    .storeFailing = true,
                                    .quarantine = cQuarantine,
                                    .leaving = {engines::startDigest("e1", 5)},
                                    .cold = {{engines::startDigest("e1", 5), 1500ms}},
                                    .intervals = {{engines::digestOf("e1"), 24'500us}}});
    checkRoundTrip(fleet::operator_end{{3, 12}});
    checkRoundTrip(
        fleet::fleet_records{{{"engine/e1", "{}", {2, 4}}, {"instance/a", std::nullopt, {2, 6}}},
                             {1, 3},
                             {2, 7},
                             true,
                             cNow - 1s,
                             8});
    checkRoundTrip(fleet::domain_summary{
        .domain = "north",
        .sender = "a",
        .incarnation = 7,
        .sequence = 12,
        .operatorProgress = {{3, 4}, 9},
        .heardDomains = {{"south", "s", "b"}},
        .instances = {{"a", "10.0.0.1", "10.0.0.1:80", 7, false, 2, {{"north", 12.5}, {"east", 3}}},
                      {"b", "10.0.0.2", "10.0.0.2:80", 9, true, 0, {{"east", 4}}}},
        .hasAllTotals = true,
        .loads = {{engines::digestOf("e1"), {3, 100, 200}}},
        .adapterUses = {engines::digestOf("e1", "base/a1")},
        .adaptersRunning = {engines::digestOf("e1", "base/a2")},
        .pauses = {{engines::digestOf("e1"), 420ms}},
        .intervals = {{engines::digestOf("e1"), 24'500us}},
        .engines = {{"b", {"e1", 5, true, {{{"base/a1", 1}}, {{"base/a2", {3, cNow + 250ms}}}}}}},
        .quarantine = cQuarantine,
        .cold = {{engines::startDigest("e1", 5), 1500ms}}});
    checkRoundTrip(fleet::permit_wanted{"e1", 7});
    checkRoundTrip(fleet::permit_reply{7, true});
    checkRoundTrip(fleet::permit_reply{7, false, 250ms});
    checkRoundTrip(fleet::load_wanted{"e1", 5, "base", "a1", 2, 900});
    checkRoundTrip(fleet::adapter_missing{"e1", 5, "base/a1"});
    checkRoundTrip(fleet::adapter_running{"e1", 5, "base/a1", true});
    checkRoundTrip(fleet::engine_state{
        "e1", 5, true, {{{"base/a1", 1}}, {{"base/a2", {3, cNow + 250ms}}}}, {"base"}});
    checkRoundTrip(fleet::operator_records_wanted{{2, 9}});
    checkRoundTrip(fleet::operator_records{
        {{"config", std::string("\0{}", 3), {1, 9}}, {"gone", std::nullopt, {2, 10}}},
        {1, 9},
        {2, 11}});
    checkRoundTrip(fleet::endpoint_records{
        {{"e1", "{}", {2, 4}}, {"e2", std::nullopt, {2, 6}}}, {2, 3}, {2, 7}});
}

TEST_CASE("points in time are sent as remaining time, since clocks differ")
{
    const fleet::engine_state state{"e1", 5, true, {{}, {{"base/a2", {3, cNow + 250ms}}}}, {}};
    const auto decoded = fleet::decode(fleet::encode(state, cNow), cNow + 1h);
    CHECK(std::get<fleet::engine_state>(*decoded).adapters.arriving.at("base/a2").readyAt
          == cNow + 1h + 250ms);
}

TEST_CASE("the first message of a release that sends heartbeats to all instances shows it")
{
    fleet::hello former{"a", "10.0.0.1", "10.0.0.1:80", "north", 7, {{0, 12}}, 0};
    checkRoundTrip(former);
    CHECK(fleet::hello{}.protocol == fleet::cProtocol);
}

TEST_CASE("damaged bytes are rejected")
{
    std::string bytes = fleet::encode(fleet::hello{"a", "m", "x:1", "north", 7, {{0, 12}}}, cNow);
    CHECK_FALSE(fleet::decode("", cNow));
    CHECK_FALSE(fleet::decode(bytes.substr(0, bytes.size() / 2), cNow));
}

TEST_CASE("instance records keep their contents, and a claim's fence follows from its offset")
{
    const fleet::member member{"a", "10.0.0.1", "10.0.0.1:80", "north", 7};
    CHECK(fleet::decodeMember(fleet::memberRecord(member)) == member);
    store::record record = fleet::claimRecord("e1", {"a", "10.0.0.1", 7, 0});
    record.position = {0, 41};
    CHECK(fleet::claimedEngine(record) == "e1");
    CHECK(fleet::decodeClaim(record) == fleet::claim{"a", "10.0.0.1", 7, 42});
    const fleet::claim successor{
        "a", "10.0.0.1", 7, 42, "north", true, core::time_point(std::chrono::seconds(9))};
    record = fleet::claimRecord("e1", successor);
    record.position = {0, 41};
    CHECK(fleet::decodeClaim(record) == successor);
    CHECK_FALSE(fleet::decodeClaim(fleet::removedClaim("e1")));
    record.value = "not json";
    CHECK_FALSE(fleet::decodeClaim(record));
}

TEST_CASE("a heartbeat of a busy instance stays small")
{
    // 20 engines with a request each and 16 accounts; sent to 24 receivers five times a second.
    fleet::heartbeat beat;
    for (int index = 0; index < 20; ++index) {
        const std::string engine = "i-" + std::to_string(1'000'000 + index);
        beat.loads[engines::digestOf(engine)] = {1, 9000, 9100};
        beat.adaptersRunning.push_back(engines::digestOf(engine, "daka510000/a1234"));
    }
    for (int index = 0; index < 16; ++index)
        beat.accountUses.push_back({"account" + std::to_string(index), 1e6});
    CHECK(fleet::encode(beat, cNow).size() < 2'000);
}
