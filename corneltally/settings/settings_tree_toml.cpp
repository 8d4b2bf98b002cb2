#include "corneltally/settings/node_kind.h"
#include "corneltally/settings/settings_tree.h"
#include "corneltally/settings/toml_document.h"
#include "corneltally/settings/tree_validation.h"

#include <algorithm>
#include <limits>

namespace corneltally::settings {

namespace {

/// Line numbers by path and key, for problems that are found after parsing.
using line_map = std::map<std::pair<std::string, std::string>, int>;

int lineOf(const line_map &inLines, const std::string &inPath, const std::string &inKey)
{
    if (const auto found = inLines.find({inPath, inKey}); found != inLines.end())
        return found->second;
    const auto found = inLines.find({inPath, ""});
    return found == inLines.end() ? 0 : found->second;
}

std::string label(const std::string &inPath, const std::string &inKey)
{
    return inKey.empty() ? inPath : inPath + " " + inKey;
}

} // namespace

core::result<settings_tree> settings_tree::sFromToml(std::string_view inText,
                                                     std::string_view inFile,
                                                     std::vector<problem> *outProblems)
{
    const std::string file(inFile);
    std::vector<problem> problems;
    const toml_document document = toml_document::sParse(inText, inFile, problems);
    const bool readable = problems.empty();
    settings_tree tree;
    line_map lines;
    for (const toml_document::entry &entry : document.entries()) {
        std::vector<std::string> names = entry.table;
        if (entry.isTable)
            names.push_back(entry.key);
        const std::string path = nodePath(names);
        const node_kind kind = kindOf(path);
        // Report only the outermost of nested unknown tables.
        if (kind == node_kind::unknown && kindOf(parentPath(path)) == node_kind::unknown)
            continue;
        if (entry.isTable) {
            lines[{path, ""}] = entry.line;
            // A group without own values needs no node. An unknown table needs one to be reported.
            const bool isGroup
                = kind == node_kind::keys || (names.size() == 1 && kind != node_kind::unknown);
            if (!isGroup && !tree.contains(path))
                tree.replaceNode(path, node());
            continue;
        }
        lines[{path, entry.key}] = entry.line;
        if (!entry.value) {
            problems.push_back({file, entry.line, label(path, entry.key), "wrong type",
                                "write a boolean, a number, a string or a list of strings"});
            continue;
        }
        const auto found = tree.mNodes.find(path);
        node next = found == tree.mNodes.end() ? node() : found->second;
        next.values.insert_or_assign(entry.key, *entry.value);
        tree.replaceNode(path, std::move(next));
    }
    if (readable) {
        for (const tree_problem &entry : checkTree(tree))
            problems.push_back({file, lineOf(lines, entry.path, entry.key),
                                label(entry.path, entry.key), entry.message, entry.remedy});
    }
    std::ranges::stable_sort(problems, {}, [](const problem &inProblem) {
        return inProblem.line > 0 ? inProblem.line : std::numeric_limits<int>::max();
    });
    if (outProblems != nullptr)
        *outProblems = problems;
    if (!problems.empty())
        return toError(problems);
    return tree;
}

} // namespace corneltally::settings
