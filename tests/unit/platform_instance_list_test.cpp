// Guards against endpoints that stay in use although the platform lists them as leaving, and
// against a malformed list being treated as empty.

#include "corneltally/platform/instance_list_client.h"

#include <catch2/catch.hpp>

using corneltally::platform::parseLeaving;

TEST_CASE("the names of leaving processes are read and other entries are ignored")
{
    const auto leaving = parseLeaving(R"({"instances":[{"name":"a","state":"live"},
        {"name":"b","state":"leaving"},{"name":7,"state":"leaving"},{"state":"leaving"},3]})");
    REQUIRE(leaving.hasValue());
    CHECK(*leaving == std::set<std::string, std::less<>>{"b"});
}

TEST_CASE("a malformed list is an error, not an empty list")
{
    for (const char *text : {"", "[]", "{}", R"({"instances":3})"})
        CHECK_FALSE(parseLeaving(text).hasValue());
}
