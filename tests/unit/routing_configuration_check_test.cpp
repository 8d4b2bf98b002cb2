// Guards against a configuration that is published although requests would be refused or an entry
// has no effect, against checks that refuse a sound one, and against keys in the output.

#include "apps/commands.h"

#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace corneltally;
using nlohmann::json;

namespace {

const json cDocument = json::parse(R"({"version":7,
 "routes":[
  {"name":"chat","host":"a.example","path-prefix":"/chat/","kind":"streaming","timeout-ms":9000,
   "target-latency-ms":1000,"service":"lm","allowed-regions":["land","reykjanes"]},
  {"name":"look","host":"a.example","path-prefix":"/look/","kind":"idempotent","timeout-ms":400,
   "traffic-split":[{"service":"app","weight":90},{"service":"lm","weight":10}]}],
 "services":[{"name":"app"},
  {"name":"lm","engine":{"capacity":64,"kv-capacity":2000,"weights-mb":1000,"adapter-slots":8,
   "models":[{"name":"m","weights-mb":900,"adapters":50,"adapter-mb":12}]}}],
 "tenants":[
  {"name":"north","api-keys":["secret-1"],"unit":"token_stream","rate-per-s":100,"burst":2000},
  {"name":"south","api-keys":["secret-2"],"rate-per-s":1,"burst":1,"allowed-regions":["land"]}],
 "limits":{"max-header-bytes":1000,"max-body-bytes":1000}})");

const std::string cSettings = R"([instance]
name = "edge-1"
failure_domain = "r-a"
region = "reykjanes"
machine = "10.1.0.25"
[listen]
callers = "10.1.0.25:8221"
operators = "10.1.0.25:8224"
peers = "10.1.0.25:8229"
[store]
address = "10.200.1.7:8225"
[regions]
r-a = "reykjanes"
l = "land"
)";

struct check_result
{
    int code = 0;
    std::string text;
};

/// Checks a document with the settings above and, if inCompares is set, against cDocument.
check_result check(const std::string &inDocument, bool inCompares,
                   const std::string &inSettings = cSettings)
{
    std::string folder = (std::filesystem::temp_directory_path() / "corneltally-XXXXXX").string();
    REQUIRE(mkdtemp(folder.data()) != nullptr);
    const auto write = [&](const std::string &inName, const std::string &inText) {
        std::ofstream(folder + inName) << inText;
        return folder + inName;
    };
    std::vector<std::string> arguments{"check", "--configuration", write("/new", inDocument),
                                       "--settings", write("/settings", inSettings)};
    if (inCompares) {
        json before = cDocument;
        before["version"] = 6;
        arguments.insert(arguments.end(), {"--in-force", write("/before", before.dump())});
    }
    std::ostringstream text;
    const int code = apps::runProgram(arguments, {text, text});
    std::filesystem::remove_all(folder);
    return {code, text.str()};
}

} // namespace

TEST_CASE("a configuration document is checked for errors, dead entries and contradictions")
{
    struct example
    {
        /// Member of the document that is changed, and its new value.
        std::string pointer;
        std::string value;
        int code;
        std::string expected;
    };
    const std::string route = "/routes/0";
    const std::string engine = "/services/1/engine";
    const std::vector<example> examples{
        {"/version", "8", 0, "no problems found"},
        {"/routes", "4", 2, "\"routes\" is not a list of objects"},
        {"/version", "null", 2, "\"version\" is missing"},
        {route + "/host", "7", 2, "route chat: \"host\" is not a text"},
        {route + "/allowed-regions", "\"land\"", 2, "route chat: \"allowed-regions\" is not a"},
        {route + "/allowed-regions", "[]", 0, "route chat: \"allowed-regions\" is empty"},
        {route + "/allowed-region", "[]", 0, "route chat: \"allowed-region\" is not known"},
        {route + "/kind", "\"stream\"", 0, "route chat: \"kind\" is none of streaming, "},
        {"/limits/idle-timeout-ms", "-1", 2, "limits: \"idle-timeout-ms\" is not a number of at"},
        {route + "/timeout-ms", "0", 2, "route chat: its timeout is 0"},
        {route + "/service", "\"\"", 2, "route chat: it has no service with a weight"},
        {"/services/0/name", "\"lm\"", 2, "service lm: two services have this name"},
        {"/tenants/0/name", "\"south\"", 2, "account south: two accounts have this name"},
        {"/routes/1/path-prefix", "\"/chat/\"", 0, "route look: it is hidden by route chat"},
        {"/routes/1/host", "\"A.example:80\"", 0, "route look: its host has a port"},
        {"/routes/1/path-prefix", "\"/look\"", 0, "route look: its path prefix does not"},
        {"/services/2", R"({"name":"old"})", 0, "service old: no route uses it"},
        {route + "/service", "\"none\"", 0, "route chat: its service none does not exist"},
        {"/routes/1/traffic-split/1/weight", "0", 0, "route look: the share of service lm has"},
        {"/tenants/1/api-keys/0", "\"secret-1\"", 0, "account south: it has a key that account"},
        {"/tenants/1/api-keys", "[]", 0, "account south: it has no key"},
        {"/tenants/1/allowed-regions", R"(["land","isle"])", 0,
         "account south: no failure domain of the settings is in its allowed region isle;"},
        {"/tenants/1/allowed-regions", R"(["isle"])", 0, "region isle, so all its requests are"},
        {route + "/allowed-regions", R"(["reykjanes"])", 0,
         "route chat: no allowed region in common with account south"},
        {route + "/target-latency-ms", "9001", 0, "route chat: its target latency of 9001 ms"},
        {"/tenants/0/burst", "1999", 0, "account north: the burst is below the 2000 tokens"},
        {"/tenants/0/plain-tokens", "2001", 0, "account north: its burst of 2000 is below the"},
        {"/tenants/1/burst", "0.5", 0, "account south: its burst of 0.5 is below the charge"},
        {"/limits/max-header-bytes", "1001", 0, "limits: the limit on headers is above"},
        {engine + "/adapter-slots", "9", 0, "service lm: model m (900 MB) and 9 adapter slots"},
    };
    for (const example &entry : examples) {
        json document = cDocument;
        document[json::json_pointer(entry.pointer)] = json::parse(entry.value);
        const check_result result = check(document.dump(), false);
        INFO(entry.pointer << " " << entry.value << "\n" << result.text);
        CHECK(result.code == entry.code);
        CHECK(result.text.find(entry.expected) != std::string::npos);
        CHECK((result.text.find("no problems found") != std::string::npos)
              == (entry.expected == "no problems found"));
        CHECK(result.text.find("secret") == std::string::npos);
    }
    const check_result broken = check("{\n\"api-keys\": [\"secret-1\n", false);
    CHECK(broken.code == 2);
    CHECK(broken.text.find("line 2: the document is not valid JSON") != std::string::npos);
    CHECK(broken.text.find("secret") == std::string::npos);
    std::string settings = cSettings;
    settings.replace(settings.find("r-a = \"reykjanes\""), 17, "r-a = \"land\"");
    const check_result region = check(cDocument.dump(), false, settings);
    CHECK(region.code == 0);
    CHECK(region.text.find("instance.region is reykjanes, but [regions] has land")
          != std::string::npos);
}

TEST_CASE("differences from the version in force are listed without keys")
{
    CHECK(check(cDocument.dump(), true).text == "no problems found\n");
    json document = cDocument;
    document["routes"][0]["timeout-ms"] = 8000;
    document["routes"][0].erase("allowed-regions");
    document["routes"][1]["name"] = "see";
    document["services"][1]["engine"]["models"][0]["adapters"] = 51;
    document["tenants"][0]["api-keys"] = {"secret-3", "secret-4"};
    document["limits"]["max-body-bytes"] = 2000;
    const check_result changed = check(document.dump(), true);
    CHECK(changed.code == 0);
    CHECK(changed.text
          == "difference: route chat: timeout: 9000 ms -> 8000 ms\n"
             "difference: route chat: allowed regions: land, reykjanes -> all\n"
             "difference: route look: removed\n"
             "difference: route see: added\n"
             "difference: service lm: models: m (900 MB, 50 adapters of 12 MB) -> "
             "m (900 MB, 51 adapters of 12 MB)\n"
             "difference: account north: keys: 2 added, 1 removed\n"
             "difference: limits: bytes of a body: 1000 -> 2000\n"
             "no problems found\n");
    document["version"] = 6;
    const check_result former = check(document.dump(), true);
    CHECK(former.code == 2);
    CHECK(former.text.find("version: 6 is not above 6") != std::string::npos);
}
