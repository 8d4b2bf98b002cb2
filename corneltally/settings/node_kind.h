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

/// Kind of the node at a path; unknown if the path is not well-formed or not part of the tree's
/// layout.
node_kind kindOf(std::string_view inPath);

/// Path pattern of a kind, for messages and the reference page, such as "/accounts/<name>".
std::string_view pathPattern(node_kind inKind);

/// Kind of the nodes directly above; root for root.
node_kind parentKind(node_kind inKind);

/// Path of the node above; "/" for a top-level path and for "/" itself.
std::string_view parentPath(std::string_view inPath);

/// Last part of a path; empty for "/".
std::string_view nameOf(std::string_view inPath);

/// Most parts of a path. Bounds the cost of inheritance.
constexpr int cMaxDepth = 8;

} // namespace corneltally::settings
