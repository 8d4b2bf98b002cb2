#include "corneltally/settings/tree_validation.h"

#include "corneltally/settings/settings_tree.h"
#include "corneltally/settings/tree_schema.h"

#include <map>

namespace corneltally::settings {

namespace {

std::string textAt(const settings_tree &inTree, std::string_view inPath, std::string_view inKey,
                   std::string_view inDefault = "")
{
    const auto found = inTree.find(inPath, inKey);
    const auto *text = found ? std::get_if<std::string>(&found->value) : nullptr;
    return text != nullptr ? *text : std::string(inDefault);
}

std::int64_t integerAt(const settings_tree &inTree, std::string_view inKey, std::int64_t inDefault)
{
    const auto found = inTree.find("/", inKey);
    const auto *integer = found ? std::get_if<std::int64_t>(&found->value) : nullptr;
    return integer != nullptr ? *integer : inDefault;
}

void checkUnique(const settings_tree &inTree, std::string_view inBelow, node_kind inKind,
                 std::string_view inKey, std::vector<tree_problem> &ioProblems)
{
    std::map<std::string, std::string> seen;
    for (const std::string &path : inTree.subtree(inBelow)) {
        if (kindOf(path) != inKind)
            continue;
        const std::string value = textAt(inTree, path, inKey);
        if (value.empty())
            continue;
        const auto [other, isNew] = seen.emplace(value, path);
        if (!isNew)
            ioProblems.push_back({path, std::string(inKey),
                                  "\"" + value + "\" is also set at " + other->second,
                                  "use a different value for each"});
    }
}

void checkRouteReferences(const settings_tree &inTree, const std::string &inPath,
                          std::vector<tree_problem> &ioProblems)
{
    const std::string kind = textAt(inTree, inPath, "kind", "model");
    for (const std::string group : {"endpoints", "accounts"}) {
        const auto listed = inTree.find(inPath, group);
        const auto *names
            = listed ? std::get_if<std::vector<std::string>>(&listed->value) : nullptr;
        if (names == nullptr)
            continue;
        for (const std::string &name : *names) {
            const std::string target = std::string("/").append(group).append("/").append(name);
            tree_problem found{inPath, group, "", ""};
            if (!inTree.contains(target)) {
                found.message.append("\"").append(name).append("\" is not in /").append(group);
                found.remedy = "add it there or remove it from the list";
            } else if (group == "endpoints" && textAt(inTree, target, "kind", "model") != kind) {
                found.message.append("\"").append(name).append("\" is not of kind ").append(kind);
                found.remedy = "list only endpoints of the route's kind";
            }
            if (!found.message.empty())
                ioProblems.push_back(std::move(found));
        }
    }
}

void checkClaimWindow(const settings_tree &inTree, std::vector<tree_problem> &ioProblems)
{
    const std::int64_t window = integerAt(inTree, "claim_window_s", 86'400);
    const std::int64_t retention = integerAt(inTree, "log_retention_s", 115'200);
    // An idempotency claim must stay on the log for longer than its key is valid.
    if (window * 4 > retention * 3)
        ioProblems.push_back({"/", "claim_window_s",
                              "the window of " + std::to_string(window)
                                  + " s is longer than 3/4 of log_retention_s ("
                                  + std::to_string(retention) + " s)",
                              "shorten it, or raise log_retention_s if the log keeps records for "
                              "longer"});
}

} // namespace

void checkOwnValues(const settings_tree &inTree, std::string_view inPath,
                    std::vector<tree_problem> &ioProblems)
{
    const auto found = inTree.nodes().find(inPath);
    if (found == inTree.nodes().end())
        return;
    const std::string path(inPath);
    const node_kind kind = kindOf(inPath);
    if (kind == node_kind::unknown) {
        ioProblems.push_back({path, "", "not a path of the settings tree",
                              "use a path that SETTINGS.md lists, with names of letters, digits, "
                              "'.', '_' and '-', at most "
                                  + std::to_string(cMaxNameLength) + " long"});
        return;
    }
    for (const auto &[key, value] : found->second.values) {
        const tree_key *definition = findTreeKey(kind, key);
        if (definition == nullptr)
            ioProblems.push_back(
                {path, key, "unknown key at this node", unknownKeyRemedy(kind, key)});
        else if (const auto failure = checkValue(definition->definition, value))
            ioProblems.push_back({path, key, failure->message, failure->remedy});
    }
}

void checkCompleteness(const settings_tree &inTree, std::string_view inPath,
                       std::vector<tree_problem> &ioProblems)
{
    const node_kind kind = kindOf(inPath);
    const std::string path(inPath);
    for (const tree_key &entry : treeKeys()) {
        if (entry.user == kind && entry.required && !inTree.find(inPath, entry.definition.key))
            ioProblems.push_back(
                {path, std::string(entry.definition.key), "required key is missing",
                 entry.inherited ? "set it here or at a node above" : "set it here"});
    }
    if (kind == node_kind::endpoint && textAt(inTree, inPath, "kind", "model") == "model"
        && !inTree.find(inPath, "base_model"))
        ioProblems.push_back({path, "base_model", "required for an endpoint of kind model",
                              "set it here or at a node above"});
    std::string_view owner;
    if (kind == node_kind::key)
        owner = parentPath(parentPath(inPath));
    else if (kind == node_kind::account && kindOf(parentPath(inPath)) == node_kind::account)
        owner = parentPath(inPath);
    if (!owner.empty() && !inTree.contains(owner))
        ioProblems.push_back({path, "", "there is no account " + std::string(owner),
                              "set a key of the account in the same change"});
}

void checkRelations(const settings_tree &inTree, const std::set<node_kind> &inChangedKinds,
                    std::vector<tree_problem> &ioProblems)
{
    const auto isAffected = [&](node_kind inKind) {
        return inChangedKinds.contains(inKind) || inChangedKinds.contains(node_kind::root)
            || inChangedKinds.contains(parentKind(inKind));
    };
    if (inChangedKinds.contains(node_kind::root))
        checkClaimWindow(inTree, ioProblems);
    if (isAffected(node_kind::key))
        checkUnique(inTree, "/accounts", node_kind::key, "digest", ioProblems);
    if (isAffected(node_kind::endpoint))
        checkUnique(inTree, "/endpoints", node_kind::endpoint, "address", ioProblems);
    if (isAffected(node_kind::instance))
        checkUnique(inTree, "/instances", node_kind::instance, "peer_address", ioProblems);
    if (isAffected(node_kind::route))
        checkUnique(inTree, "/routes", node_kind::route, "path", ioProblems);
    if (isAffected(node_kind::route) || isAffected(node_kind::endpoint)
        || isAffected(node_kind::account)) {
        for (const std::string &name : inTree.children("/routes"))
            checkRouteReferences(inTree, "/routes/" + name, ioProblems);
    }
}

std::vector<tree_problem> checkTree(const settings_tree &inTree)
{
    std::vector<tree_problem> problems;
    for (const auto &[path, node] : inTree.nodes()) {
        const std::size_t before = problems.size();
        checkOwnValues(inTree, path, problems);
        if (problems.size() == before)
            checkCompleteness(inTree, path, problems);
    }
    checkRelations(inTree, {node_kind::root}, problems);
    return problems;
}

} // namespace corneltally::settings
