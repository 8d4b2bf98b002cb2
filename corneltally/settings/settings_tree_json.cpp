#include "corneltally/settings/json_value.h"
#include "corneltally/settings/settings_tree.h"
#include "corneltally/settings/tree_validation.h"

namespace corneltally::settings {

namespace {

using nlohmann::json;

core::error malformed(const std::string &inWhat)
{
    return {core::error_kind::invalid_request, "not a settings tree: " + inWhat,
            "take the tree from another instance or from the log"};
}

std::optional<settings_tree::node> readNode(const json &inJson)
{
    if (!inJson.is_object() || !inJson.contains("values") || !inJson["values"].is_object()
        || !inJson.contains("version") || !inJson["version"].is_number_unsigned())
        return std::nullopt;
    settings_tree::node node;
    node.version = inJson["version"].get<std::uint64_t>();
    for (const auto &[key, content] : inJson["values"].items()) {
        auto value = fromJsonValue(content);
        if (!value)
            return std::nullopt;
        node.values.emplace(key, *std::move(value));
    }
    return node;
}

} // namespace

std::string settings_tree::toJson() const
{
    json nodes = json::object();
    for (const auto &[path, node] : mNodes) {
        json values = json::object();
        for (const auto &[key, value] : node.values)
            values[key] = toJsonValue(value);
        nodes[path] = {{"values", std::move(values)}, {"version", node.version}};
    }
    json ids = json::array();
    for (const auto &[offset, id] : mRecentIds)
        ids.push_back({offset, id});
    return json{{"ids", std::move(ids)}, {"nodes", std::move(nodes)}, {"version", mVersion}}.dump();
}

core::result<settings_tree> settings_tree::sFromJson(std::string_view inText)
{
    const json document = json::parse(inText, nullptr, false);
    if (!document.is_object() || !document.contains("ids") || !document["ids"].is_array()
        || !document.contains("nodes") || !document["nodes"].is_object()
        || !document.contains("version") || !document["version"].is_number_unsigned())
        return malformed("a member is missing or of the wrong type");
    settings_tree tree;
    tree.mVersion = document["version"].get<std::uint64_t>();
    for (const json &entry : document["ids"]) {
        if (!entry.is_array() || entry.size() != 2 || !entry[0].is_number_unsigned()
            || !entry[1].is_string())
            return malformed("an id is malformed");
        tree.rememberId(entry[1].get<std::string>(), entry[0].get<std::uint64_t>());
    }
    for (const auto &[path, content] : document["nodes"].items()) {
        auto node = readNode(content);
        if (!node)
            return malformed("node " + path.substr(0, 200) + " is malformed");
        tree.replaceNode(path, std::move(node));
    }
    const std::vector<tree_problem> problems = checkTree(tree);
    if (!problems.empty())
        return malformed(problems.front().path + " " + problems.front().key + ": "
                         + problems.front().message);
    return tree;
}

} // namespace corneltally::settings
