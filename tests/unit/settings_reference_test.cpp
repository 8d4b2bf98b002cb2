// Guards against a reference page whose keys, types, defaults or ranges differ from those that the
// check command accepts.

#include "corneltally/settings/process_settings.h"
#include "corneltally/settings/settings_tree.h"
#include "corneltally/settings/tree_schema.h"

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

using namespace corneltally;

namespace {

std::string readPage()
{
    // Tests run in the root of the repository.
    std::ifstream file("docs/SETTINGS.md");
    REQUIRE(file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string trimmed(const std::string &inText)
{
    const std::size_t start = inText.find_first_not_of(' ');
    return start == std::string::npos
        ? ""
        : inText.substr(start, inText.find_last_not_of(' ') - start + 1);
}

/// Returns the rows below a table header as cells, without the last column (the meaning).
std::vector<std::vector<std::string>> tableAfter(const std::string &inPage,
                                                 const std::string &inHeader)
{
    const std::size_t start = inPage.find(inHeader);
    REQUIRE(start != std::string::npos);
    std::istringstream lines(inPage.substr(start));
    std::string line;
    std::getline(lines, line);
    std::getline(lines, line);
    std::vector<std::vector<std::string>> rows;
    while (std::getline(lines, line) && line.starts_with('|')) {
        std::vector<std::string> cells;
        std::istringstream content(line.substr(1));
        for (std::string cell; std::getline(content, cell, '|');)
            cells.push_back(trimmed(cell));
        REQUIRE(cells.size() > 2);
        CHECK_FALSE(cells.back().empty());
        cells.pop_back();
        rows.push_back(cells);
    }
    return rows;
}

std::string code(std::string_view inText)
{
    return "`" + std::string(inText) + "`";
}

void addDefinition(const settings::key_definition &inDefinition, bool inRequired,
                   std::vector<std::string> &ioCells)
{
    ioCells.emplace_back(settings::toString(inDefinition.type));
    ioCells.emplace_back(inDefinition.unit);
    if (!inDefinition.defaultText.empty())
        ioCells.push_back(code(inDefinition.defaultText));
    else
        ioCells.emplace_back(inRequired ? "required" : "none");
    ioCells.push_back(settings::rangeText(inDefinition));
}

} // namespace

TEST_CASE("the page lists the process settings as check accepts them")
{
    std::vector<std::vector<std::string>> expected;
    for (const auto &entry : settings::process_settings::sKeys()) {
        std::vector<std::string> cells{code(entry.table), code(entry.definition.key)};
        addDefinition(entry.definition, entry.required, cells);
        expected.push_back(cells);
    }
    CHECK(tableAfter(readPage(), "| table | key |") == expected);
}

TEST_CASE("the page lists the keys of the tree as check accepts them")
{
    std::vector<std::vector<std::string>> expected;
    for (const auto &entry : settings::treeKeys()) {
        std::vector<std::string> cells{code(settings::pathPattern(entry.user)),
                                       code(entry.definition.key), entry.inherited ? "yes" : "no"};
        addDefinition(entry.definition, entry.required, cells);
        expected.push_back(cells);
    }
    CHECK(tableAfter(readPage(), "| nodes | key |") == expected);
}

TEST_CASE("the page states the limits of the tree")
{
    const std::string page = readPage();
    CHECK(settings::cMaxTreeNodes == 100'000);
    CHECK(settings::cMaxTreeBytes == 8 * 1024 * 1024);
    CHECK(page.find("at most 8 parts. The tree has at most 100,000 nodes and 8 MiB")
          != std::string::npos);
    CHECK(settings::cMaxDepth == 8);
    CHECK(settings::cMaxTextLength == 1'024);
    CHECK(settings::cMaxListLength == 1'024);
    CHECK(settings::cMaxNameLength == 64);
    CHECK(page.find("A name has 1 to 64 letters") != std::string::npos);
}

TEST_CASE("the tree file of the page is valid")
{
    const std::string page = readPage();
    const std::string fence = "```toml\nmax_queue";
    const std::size_t start = page.find(fence);
    REQUIRE(start != std::string::npos);
    const std::size_t body = start + std::string("```toml\n").size();
    const auto tree = settings::settings_tree::sFromToml(
        page.substr(body, page.find("```", body) - body), "SETTINGS.md");
    INFO((tree ? std::string() : tree.reason().message));
    CHECK(tree.hasValue());
}

TEST_CASE("defaults are valid values of their keys")
{
    std::vector<settings::key_definition> definitions;
    for (const auto &entry : settings::process_settings::sKeys())
        definitions.push_back(entry.definition);
    for (const auto &entry : settings::treeKeys())
        definitions.push_back(entry.definition);
    for (const auto &entry : definitions) {
        const std::string text(entry.defaultText);
        if (text.empty() || text == "[]")
            continue;
        settings::setting_value value = text;
        if (text == "true" || text == "false")
            value = text == "true";
        else if (text.front() == '"')
            value = text.substr(1, text.size() - 2);
        else
            value = static_cast<std::int64_t>(std::stoll(text));
        INFO(entry.key);
        CHECK_FALSE(settings::checkValue(entry, value).has_value());
    }
}
