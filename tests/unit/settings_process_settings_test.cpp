// Guards against invalid settings files that are accepted, and against reports that list only one
// problem at a time.

#include "corneltally/settings/process_settings.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace corneltally;
using settings::problem;
using settings::process_settings;

namespace {

const std::string cValid = R"([instance]
name = "entry-1"
failure_domain = "north"
[listen]
callers = "127.0.0.1:0"
operators = "127.0.0.1:0"
peers = "127.0.0.1:0"
[platform]
address = "127.0.0.1:7000"
[peer_addresses]
entry-2 = "127.0.0.1:7102"
[endpoint_addresses]
engine-1 = "127.0.0.1:7201"
[limits]
max_connections = 20
)";

std::vector<problem> problemsOf(const std::string &inText)
{
    std::vector<problem> problems;
    const auto result = process_settings::sFromToml(inText, "entry.toml", &problems);
    CHECK(result.hasValue() == problems.empty());
    return problems;
}

std::string replaced(std::string inText, const std::string &inFrom, const std::string &inTo)
{
    const std::size_t at = inText.find(inFrom);
    REQUIRE(at != std::string::npos);
    return inText.replace(at, inFrom.size(), inTo);
}

} // namespace

TEST_CASE("a valid settings file is read with its values and defaults")
{
    const auto result = process_settings::sFromToml(cValid, "entry.toml");
    REQUIRE(result.hasValue());
    CHECK(result->instanceName == "entry-1");
    CHECK(result->failureDomain == "north");
    CHECK(result->callers == "127.0.0.1:0");
    CHECK(result->platformAddress == "127.0.0.1:7000");
    CHECK(result->peerAddresses.at("entry-2") == "127.0.0.1:7102");
    CHECK(result->endpointAddresses.at("engine-1") == "127.0.0.1:7201");
    CHECK(result->limits.maxConnections == 20);
    CHECK(result->limits.maxBodyBytes == 1024 * 1024);
}

TEST_CASE("defaults of the structure and of the key table are the same")
{
    const auto result
        = process_settings::sFromToml(replaced(cValid, "max_connections = 20", ""), "entry.toml");
    REQUIRE(result.hasValue());
    const settings::process_limits limits;
    CHECK(result->limits == limits);
    const std::vector<std::pair<std::string_view, std::int64_t>> expected{
        {"max_connections", limits.maxConnections},
        {"max_body_bytes", limits.maxBodyBytes},
        {"request_timeout_ms", limits.requestTimeoutMs},
        {"idle_timeout_ms", limits.idleTimeoutMs},
        {"max_unsent_bytes", limits.maxUnsentBytes}};
    for (const auto &entry : process_settings::sKeys()) {
        const auto found = std::ranges::find(expected, entry.definition.key,
                                             &std::pair<std::string_view, std::int64_t>::first);
        CHECK((found != expected.end()) == (entry.table == "limits"));
        if (found != expected.end())
            CHECK(entry.definition.defaultText == std::to_string(found->second));
    }
}

TEST_CASE("all problems of a file are reported in one run with line, key and remedy")
{
    const std::string text = R"([instance]
nam = "entry-1"
failure_domain = "no/rth"
[listen]
callers = "127.0.0.1"
operators = "127.0.0.1:7000"
peers = 7000
[platform]
address = "127.0.0.1:7000"
[limits]
max_connections = "10s"
idle_timeout_ms = 5
[lmits]
max_connections = 1
)";
    const std::vector<problem> problems = problemsOf(text);
    std::vector<std::pair<int, std::string>> found;
    for (const problem &entry : problems) {
        found.emplace_back(entry.line, entry.key);
        CHECK(entry.file == "entry.toml");
        CHECK_FALSE(entry.message.empty());
        CHECK_FALSE(entry.remedy.empty());
    }
    const std::vector<std::pair<int, std::string>> expected{{2, "instance.nam"},
                                                            {3, "instance.failure_domain"},
                                                            {5, "listen.callers"},
                                                            {7, "listen.peers"},
                                                            {9, "platform.address"},
                                                            {11, "limits.max_connections"},
                                                            {12, "limits.idle_timeout_ms"},
                                                            {13, "lmits"},
                                                            {0, "instance.name"}};
    CHECK(found == expected);
    CHECK(problems[0].remedy == "did you mean \"name\"?");
    CHECK(problems[4].message.find("listen.operators") != std::string::npos);
}

TEST_CASE("a syntax error is reported with its line")
{
    const auto problems = problemsOf("[instance]\nname = \n");
    REQUIRE(problems.size() == 1);
    CHECK(problems[0].line == 2);
}

TEST_CASE("every missing required key is reported")
{
    CHECK(problemsOf("").size() == 6);
}

TEST_CASE("values of unsupported types are rejected")
{
    CHECK(problemsOf(replaced(cValid, "\"entry-1\"", "1979-05-27")).size() == 1);
    CHECK(problemsOf(replaced(cValid, "= 20", "= [1, 2]")).size() == 1);
    CHECK(problemsOf(replaced(cValid, "= 20", "= 20.5")).size() == 1);
    CHECK(problemsOf(replaced(cValid, "\"127.0.0.1:7102\"", "true")).size() == 1);
    CHECK(problemsOf(replaced(cValid, "\"127.0.0.1:7102\"", "\"127.0.0.1:0\"")).size() == 1);
    CHECK(problemsOf(cValid + "[limits.more]\nx = 1\n").size() == 1);
    CHECK(problemsOf("x = 1\n" + cValid).size() == 1);
}

TEST_CASE("equal addresses are duplicates unless the kernel chooses the port")
{
    CHECK(problemsOf(cValid).empty());
    const std::string first
        = replaced(cValid, "callers = \"127.0.0.1:0\"", "callers = \"127.0.0.1:7102\"");
    CHECK(problemsOf(first).size() == 1);
}

TEST_CASE("only known guards can be disabled, and no message suggests the table")
{
    const auto broken
        = process_settings::sFromToml(cValid + "[test]\nbreak = \"shares\"\n", "entry.toml");
    REQUIRE(broken.hasValue());
    CHECK(broken->brokenGuard == "shares");
    CHECK(process_settings::sFromToml(cValid, "entry.toml")->brokenGuard.empty());
    CHECK(problemsOf(cValid + "[test]\nbreak = \"all\"\n").size() == 1);
    CHECK(problemsOf(cValid + "[test]\nbreak = 1\n").size() == 1);
    CHECK(problemsOf(cValid + "[test]\nskip = \"claim\"\n").size() == 1);
    for (const problem &entry : problemsOf(cValid + "[tests]\n"))
        CHECK(entry.remedy.find("known here: test") == std::string::npos);
}
