// Guards against errors in settings files that are found only when the process uses the setting.

#include "corneltally/settings/forwarding_settings.h"

#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;
using settings::forwarding_settings;

namespace {

const std::string cFile = R"([instance]
name = "edge-1"
failure_domain = "north"
machine = "10.1.0.25"
[listen]
callers = "10.1.0.25:8221"
operators = "10.1.0.25:8224"
peers = "10.1.0.25:8229"
[store]
address = "10.200.1.7:8225"
seeds = "10.1.0.25:8229,10.2.0.17:8229"
[limits]
stop_ms = 8000
[retries]
ratio = 1
slack = 58
[regions]
"reykjanes-a" = "reykjanes"
austur = "austurland"
[cold]
over = 1.5
slack = 5
)";

} // namespace

TEST_CASE("all keys of a forwarding instance's file are read")
{
    const auto settings = forwarding_settings::sFromToml(cFile, "a.toml");
    REQUIRE(settings);
    CHECK(settings->machine == "10.1.0.25");
    CHECK(settings->retryRatio == 1);
    CHECK(settings->holderPauseMs == 3000);
    CHECK(settings->regions
          == std::map<std::string, std::string, std::less<>>{{"reykjanes-a", "reykjanes"},
                                                             {"austur", "austurland"}});
    CHECK(settings->coldOver == 1.5);
    CHECK(settings->coldSlack == 5);
    // The template leaves the table empty where the rule is not in force.
    const std::string empty = cFile.substr(0, cFile.find("over = 1.5"));
    CHECK(forwarding_settings::sFromToml(empty, "a.toml")->coldOver == 0);
    CHECK(forwarding_settings::sIsForwardingFile(cFile));
    CHECK_FALSE(forwarding_settings::sIsForwardingFile("[platform]\naddress = \"1.1.1.1:1\"\n"));
}

TEST_CASE("each key is on the reference page")
{
    std::ifstream file("docs/SETTINGS.md");
    std::ostringstream page;
    page << file.rdbuf();
    for (const auto &entry : forwarding_settings::sKeys()) {
        const std::string row = "| `" + std::string(entry.table) + "` | `"
            + std::string(entry.definition.key) + "` | ";
        CHECK(page.str().find(row, page.str().find("## Settings of a forwarding instance"))
              != std::string::npos);
    }
}

TEST_CASE("all problems are reported with line, key and remedy")
{
    std::string text = cFile;
    text.replace(text.find("stop_ms = 8000"), 14, "stop_msec = 8000");
    text.replace(text.find("\"10.200.1.7:8225\""), 17, "\"nowhere\"");
    text.replace(text.find("machine"), 7, "#machine");
    text.replace(text.find("\"austurland\""), 12, "17");
    std::vector<settings::problem> problems;
    CHECK_FALSE(forwarding_settings::sFromToml(text, "a.toml", &problems));
    REQUIRE(problems.size() == 4);
    CHECK(problems[0].key == "store.address");
    CHECK(problems[0].line == 10);
    CHECK(problems[1].key == "limits.stop_msec");
    CHECK(problems[1].remedy == "did you mean \"stop_ms\"?");
    CHECK(problems[2].key == "regions.austur");
    CHECK(problems[3].key == "instance.machine");
}
