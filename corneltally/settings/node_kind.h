#pragma once

#include <cstdint>
#include <string_view>

namespace corneltally::settings {

/// Kind of a node of the settings tree, given by its path. Groups (`accounts`, ...) hold defaults
/// for the nodes below them.
enum class node_kind : std::uint8_t {
    unknown,
    root,
    accounts,
    account,
    keys,
    key,
    adapters,
    adapter,
    routes,
    route,
    endpoints,
    endpoint,
    instances,
    instance,
};

/// Kind of the node at a path; unknown if the path is malformed or the tree has no such path.
node_kind kindOf(std::string_view inPath);

/// Path pattern of a kind, for messages and the reference page, such as "/accounts/<name>".
std::string_view pathPattern(node_kind inKind);

/// Kind of the parent node; root for root.
node_kind parentKind(node_kind inKind);

/// Path of the parent node; "/" for a top-level path and for "/" itself.
std::string_view parentPath(std::string_view inPath);

/// Last component of a path; empty for "/".
std::string_view nameOf(std::string_view inPath);

/// Maximum number of path components; bounds the cost of looking up inherited values.
constexpr int cMaxDepth = 8;

} // namespace corneltally::settings
