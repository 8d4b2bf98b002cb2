#include "apps/publish_changes.h"

#include "apps/command_line.h"
#include "apps/files.h"
#include "corneltally/settings/change_file.h"
#include "corneltally/settings/settings_tree.h"
#include "corneltally/settings/toml_document.h"
#include "corneltally/settings/tree_schema.h"

namespace corneltally::apps {

namespace {

using settings::change;
using settings::problem;
using settings::setting_value;

/// Whether values of a key are written without quotes on the command line.
bool isPlainText(const settings::tree_key *inKey)
{
    if (inKey == nullptr)
        return false;
    using enum settings::value_type;
    const settings::value_type type = inKey->definition.type;
    return type != integer && type != number && type != boolean && type != name_list;
}

std::optional<change::assignment> readAssignment(const std::string &inPath,
                                                 const std::string &inText,
                                                 std::vector<problem> &ioProblems)
{
    const std::size_t equals = inText.find('=');
    if (equals == std::string::npos) {
        ioProblems.push_back(
            {"--set", 0, inPath, "\"" + inText + "\" has no value", "write --set PATH KEY=VALUE"});
        return std::nullopt;
    }
    const std::string key = inText.substr(0, equals);
    const std::string value = inText.substr(equals + 1);
    if (isPlainText(settings::findTreeKey(settings::kindOf(inPath), key))
        && !value.starts_with('"'))
        return change::assignment{inPath, key, value};
    std::vector<problem> syntax;
    const auto document = settings::toml_document::sParse("value = " + value, "--set", syntax);
    if (!syntax.empty() || document.entries().size() != 1 || !document.entries()[0].value) {
        ioProblems.push_back({"--set", 0, inPath + " " + key, "\"" + value + "\" is not a value",
                              "write it as in a TOML file: 5, true, \"text\" or [\"a\", \"b\"]"});
        return std::nullopt;
    }
    return change::assignment{inPath, key, document.entries()[0].value};
}

change readOptions(const command_line &inLine, std::vector<problem> &ioProblems)
{
    change result;
    const std::vector<std::string> &set = inLine.values("set");
    for (std::size_t i = 0; i + 1 < set.size(); i += 2) {
        if (auto entry = readAssignment(set[i], set[i + 1], ioProblems))
            result.set.push_back(*std::move(entry));
    }
    const std::vector<std::string> &unset = inLine.values("unset");
    for (std::size_t i = 0; i + 1 < unset.size(); i += 2)
        result.set.push_back({unset[i], unset[i + 1], std::nullopt});
    result.remove = inLine.values("remove");
    return result;
}

} // namespace

std::vector<change> readChanges(const command_line &inLine, std::vector<problem> &ioProblems)
{
    if (!inLine.has("change") && !inLine.has("tree"))
        return {readOptions(inLine, ioProblems)};
    const std::string file = inLine.value(inLine.has("change") ? "change" : "tree");
    const auto text = readFile(file, ioProblems);
    if (!text)
        return {};
    std::vector<problem> problems;
    std::vector<change> changes;
    if (inLine.has("change")) {
        if (auto result = settings::readChangeFile(*text, file, &problems))
            changes.push_back(std::move(result).value());
    } else if (const auto tree = settings::settings_tree::sFromToml(*text, file, &problems)) {
        changes = settings::changesFor(*tree);
    }
    ioProblems.insert(ioProblems.end(), problems.begin(), problems.end());
    return changes;
}

} // namespace corneltally::apps
