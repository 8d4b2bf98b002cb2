#include "corneltally/settings/change_file.h"

#include "corneltally/settings/settings_tree.h"
#include "corneltally/settings/toml_document.h"
#include "corneltally/settings/tree_schema.h"

#include <algorithm>

namespace corneltally::settings {

namespace {

/// Approximate JSON size at which changesFor() starts another change.
constexpr std::size_t cChangeBytes = 256 * 1024;

std::string qualifiedKey(const toml_document::entry &inEntry)
{
    std::string text;
    for (const std::string &table : inEntry.table)
        text.append(table).append(".");
    return text.append(inEntry.key);
}

/// Reads a value outside of `[set]`. Returns an error message, or an empty string on success.
std::string readMember(const toml_document::entry &inEntry, change &ioChange)
{
    const setting_value none = false;
    const setting_value &value = inEntry.value ? *inEntry.value : none;
    if (inEntry.table.empty() && inEntry.key == "remove") {
        const auto *paths = std::get_if<std::vector<std::string>>(&value);
        if (paths == nullptr)
            return "not a list of paths";
        ioChange.remove = *paths;
    } else if (inEntry.table.empty() && (inEntry.key == "author" || inEntry.key == "id")) {
        const auto *text = std::get_if<std::string>(&value);
        if (text == nullptr)
            return "not a string";
        (inEntry.key == "id" ? ioChange.id : ioChange.author) = *text;
    } else if (inEntry.table == std::vector<std::string>{"base"}) {
        const auto *version = std::get_if<std::int64_t>(&value);
        if (version == nullptr || *version < 0)
            return "not a version number";
        ioChange.base[inEntry.key] = static_cast<std::uint64_t>(*version);
    } else {
        return "unknown key";
    }
    return "";
}

change readToml(std::string_view inText, std::string_view inFile, std::vector<problem> &ioProblems)
{
    change result;
    const toml_document document = toml_document::sParse(inText, inFile, ioProblems);
    for (const toml_document::entry &entry : document.entries()) {
        if (entry.isTable)
            continue;
        std::string message;
        if (entry.table.empty() || entry.table.front() != "set")
            message = readMember(entry, result);
        else if (!entry.value)
            message = "wrong type";
        else
            result.set.push_back(
                {nodePath({entry.table.begin() + 1, entry.table.end()}), entry.key, entry.value});
        if (!message.empty())
            ioProblems.push_back({std::string(inFile), entry.line, qualifiedKey(entry), message,
                                  "use [set.<path>] tables with values, and remove, author, id or "
                                  "[base]"});
    }
    return result;
}

std::size_t approximateBytes(const change::assignment &inEntry)
{
    return inEntry.path.size() * 2 + inEntry.key.size() + 48
        + (inEntry.value ? toText(*inEntry.value).size() : 0);
}

/// Returns the assignments that create a node with its own values. A node without own values is
/// created by the removal of a key.
std::vector<change::assignment> assignmentsFor(const std::string &inPath,
                                               const settings_tree::node &inNode)
{
    std::vector<change::assignment> result;
    for (const auto &[key, value] : inNode.values)
        result.push_back({inPath, key, value});
    if (result.empty()) {
        const auto entry = std::ranges::find(treeKeys(), kindOf(inPath), &tree_key::user);
        if (entry != treeKeys().end())
            result.push_back({inPath, std::string(entry->definition.key), std::nullopt});
    }
    return result;
}

} // namespace

core::result<change> readChangeFile(std::string_view inText, std::string_view inFile,
                                    std::vector<problem> *outProblems)
{
    std::vector<problem> problems;
    change result;
    const std::size_t start = inText.find_first_not_of(" \t\r\n");
    if (start != std::string_view::npos && inText[start] == '{') {
        auto parsed = change::sFromJson(inText);
        if (parsed)
            result = std::move(parsed).value();
        else
            problems.push_back(
                {std::string(inFile), 0, "", parsed.reason().message, parsed.reason().remedy});
    } else {
        result = readToml(inText, inFile, problems);
    }
    if (outProblems != nullptr)
        *outProblems = problems;
    if (!problems.empty())
        return toError(problems);
    return result;
}

void completeBase(change &ioChange, const settings_tree &inTree)
{
    for (const change::assignment &entry : ioChange.set)
        ioChange.base.emplace(entry.path, inTree.nodeVersion(entry.path));
    for (const std::string &removed : ioChange.remove) {
        for (const std::string &path : inTree.subtree(removed))
            ioChange.base.emplace(path, inTree.nodeVersion(path));
    }
}

std::vector<change> changesFor(const settings_tree &inTree)
{
    std::vector<change> changes(1);
    std::size_t bytes = 0;
    // In path order, groups precede their members, and accounts and endpoints precede the routes
    // that refer to them.
    for (const auto &[path, node] : inTree.nodes()) {
        if (bytes >= cChangeBytes) {
            changes.emplace_back();
            bytes = 0;
        }
        for (change::assignment &entry : assignmentsFor(path, node)) {
            bytes += approximateBytes(entry);
            changes.back().set.push_back(std::move(entry));
        }
    }
    for (change &entry : changes)
        completeBase(entry, settings_tree());
    return changes;
}

} // namespace corneltally::settings
