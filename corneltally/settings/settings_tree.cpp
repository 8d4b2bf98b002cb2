#include "corneltally/settings/settings_tree.h"

#include "corneltally/settings/change.h"
#include "corneltally/settings/node_kind.h"
#include "corneltally/settings/tree_schema.h"
#include "corneltally/settings/tree_validation.h"

#include <algorithm>
#include <cassert>
#include <set>

namespace corneltally::settings {

namespace {

constexpr std::size_t cMaxIdLength = 128;

std::size_t bytesOf(const setting_value &inValue)
{
    if (const auto *text = std::get_if<std::string>(&inValue))
        return text->size();
    std::size_t bytes = 8;
    if (const auto *list = std::get_if<std::vector<std::string>>(&inValue)) {
        for (const std::string &entry : *list)
            bytes += entry.size() + 4;
    }
    return bytes;
}

std::size_t bytesOf(const std::string &inPath, const settings_tree::node &inNode)
{
    std::size_t bytes = inPath.size();
    for (const auto &[key, value] : inNode.values)
        bytes += key.size() + bytesOf(value);
    return bytes;
}

core::error combinedError(const std::vector<tree_problem> &inProblems)
{
    // One change can make thousands of nodes invalid at once; list only the first few.
    constexpr std::size_t cMaxListed = 8;
    std::string message;
    for (std::size_t i = 0; i < std::min(inProblems.size(), cMaxListed); ++i) {
        const tree_problem &entry = inProblems[i];
        message += (i > 0 ? "\n" : "") + entry.path
            + (entry.key.empty() ? std::string() : " " + entry.key) + ": " + entry.message;
    }
    if (inProblems.size() > cMaxListed)
        message += "\nand " + std::to_string(inProblems.size() - cMaxListed) + " more";
    return {core::error_kind::invalid_request, message, inProblems.front().remedy};
}

core::error invalid(std::string inMessage, std::string inRemedy)
{
    return {core::error_kind::invalid_request, std::move(inMessage), std::move(inRemedy)};
}

} // namespace

bool settings_tree::path_less::operator()(std::string_view inFirst, std::string_view inSecond) const
{
    const auto rank = [](char inCharacter) {
        return inCharacter == '/' ? 0 : int(static_cast<unsigned char>(inCharacter)) + 1;
    };
    return std::ranges::lexicographical_compare(inFirst, inSecond, {}, rank, rank);
}

core::result<settings_tree> settings_tree::apply(const change &inChange,
                                                 std::uint64_t inOffset) const
{
    settings_tree next = *this;
    if (auto reason = next.applyInPlace(inChange, inOffset))
        return *std::move(reason);
    return next;
}

std::optional<core::error> settings_tree::applyInPlace(const change &inChange,
                                                       std::uint64_t inOffset)
{
    assert(inOffset > mVersion || mVersion == 0);
    if (auto reason = checkChange(inChange))
        return reason;
    if (auto reason = checkBase(inChange))
        return reason;
    undo_map undo;
    modify(inChange, inOffset, undo);

    std::vector<tree_problem> problems;
    std::set<node_kind> changedKinds;
    for (const auto &[path, previous] : undo) {
        changedKinds.insert(kindOf(path));
        checkOwnValues(*this, path, problems);
    }
    if (problems.empty()) {
        std::set<std::string> affected;
        for (const auto &[path, previous] : undo)
            std::ranges::copy(subtree(path), std::inserter(affected, affected.end()));
        for (const std::string &path : affected)
            checkCompleteness(*this, path, problems);
        checkRelations(*this, changedKinds, problems);
    }
    if (problems.empty() && (mBytes > cMaxTreeBytes || mNodes.size() > cMaxTreeNodes))
        problems.push_back({"/", "",
                            "the tree would have " + std::to_string(mNodes.size()) + " nodes and "
                                + std::to_string(mBytes) + " bytes, more than "
                                + std::to_string(cMaxTreeNodes) + " or "
                                + std::to_string(cMaxTreeBytes),
                            "remove unused nodes first"});
    if (!problems.empty()) {
        for (auto &[path, previous] : undo)
            replaceNode(path, std::move(previous));
        return combinedError(problems);
    }
    mVersion = inOffset;
    rememberId(inChange.id, inOffset);
    return std::nullopt;
}

std::optional<core::error> settings_tree::checkChange(const change &inChange) const
{
    if (inChange.id.empty() || inChange.id.size() > cMaxIdLength
        || inChange.author.size() > cMaxIdLength)
        return invalid("the change has no id, or an id or author longer than "
                           + std::to_string(cMaxIdLength) + " characters",
                       "publish it with the publish command, which assigns an id");
    if (const std::uint64_t offset = offsetOfId(inChange.id); offset > 0)
        return core::error{core::error_kind::conflict,
                           "change " + inChange.id + " was already applied at offset "
                               + std::to_string(offset),
                           "no action is needed; use a new id for a new change"};
    if (inChange.set.empty() && inChange.remove.empty())
        return invalid("the change modifies nothing", "add an assignment or a removal");
    std::set<std::pair<std::string_view, std::string_view>> assigned;
    for (const change::assignment &entry : inChange.set) {
        if (kindOf(entry.path) == node_kind::unknown)
            return invalid("\"" + entry.path.substr(0, 200) + "\" is not a path of the tree",
                           "use a path that SETTINGS.md lists");
        if (!assigned.emplace(entry.path, entry.key).second)
            return invalid(entry.path + " " + entry.key + " is set twice", "set it once");
    }
    for (const std::string &path : inChange.remove) {
        if (path == "/" || subtree(path).empty())
            return invalid("there is no node " + path.substr(0, 200) + " to remove",
                           "remove it from the change");
    }
    return std::nullopt;
}

std::optional<core::error> settings_tree::checkBase(const change &inChange) const
{
    const auto outdated = [&](const std::string &inPath) -> std::optional<core::error> {
        const auto base = inChange.base.find(inPath);
        const std::uint64_t current = nodeVersion(inPath);
        if (base != inChange.base.end() && base->second == current)
            return std::nullopt;
        const std::string given = base == inChange.base.end()
            ? "no version"
            : "version " + std::to_string(base->second);
        return core::error{core::error_kind::conflict,
                           inPath + " is at version " + std::to_string(current)
                               + ", but the change is based on " + given,
                           "review the newer version of " + inPath + " and publish again"};
    };
    for (const auto &[path, version] : inChange.base) {
        if (auto reason = outdated(path))
            return reason;
    }
    for (const change::assignment &entry : inChange.set) {
        if (auto reason = outdated(entry.path))
            return reason;
    }
    for (const std::string &removed : inChange.remove) {
        for (const std::string &path : subtree(removed)) {
            if (auto reason = outdated(path))
                return reason;
        }
    }
    return std::nullopt;
}

void settings_tree::modify(const change &inChange, std::uint64_t inOffset, undo_map &outUndo)
{
    for (const std::string &removed : inChange.remove) {
        for (const std::string &path : subtree(removed)) {
            outUndo.emplace(path, mNodes.find(path)->second);
            replaceNode(path, std::nullopt);
        }
    }
    for (const change::assignment &entry : inChange.set) {
        const auto found = mNodes.find(entry.path);
        const bool exists = found != mNodes.end();
        outUndo.emplace(entry.path, exists ? std::optional(found->second) : std::nullopt);
        node next = exists ? found->second : node();
        next.version = inOffset;
        if (entry.value)
            next.values.insert_or_assign(entry.key, *entry.value);
        else
            next.values.erase(entry.key);
        replaceNode(entry.path, std::move(next));
    }
}

void settings_tree::replaceNode(const std::string &inPath, std::optional<node> inNode)
{
    const auto found = mNodes.find(inPath);
    if (found != mNodes.end())
        mBytes -= bytesOf(inPath, found->second);
    if (!inNode) {
        if (found != mNodes.end())
            mNodes.erase(found);
        return;
    }
    mBytes += bytesOf(inPath, *inNode);
    if (found != mNodes.end())
        found->second = *std::move(inNode);
    else
        mNodes.emplace(inPath, *std::move(inNode));
}

void settings_tree::rememberId(const std::string &inId, std::uint64_t inOffset)
{
    mRecentIds.emplace_back(inOffset, inId);
    if (mRecentIds.size() > cRecentIds)
        mRecentIds.pop_front();
}

std::uint64_t settings_tree::offsetOfId(std::string_view inId) const
{
    const auto found
        = std::ranges::find(mRecentIds, inId, &std::pair<std::uint64_t, std::string>::second);
    return found == mRecentIds.end() ? 0 : found->first;
}

std::optional<effective_value> settings_tree::find(std::string_view inPath,
                                                   std::string_view inKey) const
{
    std::string_view path = inPath;
    while (true) {
        if (const auto found = mNodes.find(path); found != mNodes.end()) {
            const auto value = found->second.values.find(inKey);
            if (value != found->second.values.end())
                return effective_value{value->second, std::string(path)};
        }
        if (path.size() <= 1)
            return std::nullopt;
        path = parentPath(path);
    }
}

std::vector<std::string> settings_tree::children(std::string_view inPath) const
{
    const std::string prefix = inPath == "/" ? "/" : std::string(inPath) + "/";
    std::vector<std::string> names;
    auto at = mNodes.upper_bound(prefix);
    while (at != mNodes.end() && at->first.starts_with(prefix)) {
        const std::size_t end = std::min(at->first.find('/', prefix.size()), at->first.size());
        names.push_back(at->first.substr(prefix.size(), end - prefix.size()));
        // '\1' sorts after everything below the child and before its next sibling.
        at = mNodes.lower_bound(prefix + names.back() + '\1');
    }
    return names;
}

std::uint64_t settings_tree::nodeVersion(std::string_view inPath) const
{
    const auto found = mNodes.find(inPath);
    return found == mNodes.end() ? 0 : found->second.version;
}

std::vector<std::string> settings_tree::subtree(std::string_view inPath) const
{
    std::vector<std::string> paths;
    const std::string prefix = inPath == "/" ? "/" : std::string(inPath) + "/";
    for (auto at = mNodes.lower_bound(inPath); at != mNodes.end(); ++at) {
        if (at->first != inPath && !at->first.starts_with(prefix))
            break;
        paths.push_back(at->first);
    }
    return paths;
}

} // namespace corneltally::settings
