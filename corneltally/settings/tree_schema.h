#pragma once

#include "corneltally/settings/key_definition.h"
#include "corneltally/settings/node_kind.h"

#include <string_view>
#include <vector>

namespace corneltally::settings {

/// A key of the settings tree and the kind of node that uses it.
struct tree_key
{
    node_kind user = node_kind::unknown;
    /// Whether a node without the key inherits it from the nearest ancestor that has it. Such a key
    /// may also be set on every ancestor of the user.
    bool inherited = false;
    /// Whether the node must have the key, inherited or not.
    bool required = false;
    key_definition definition;
};

/// All keys of the tree, grouped by the nodes that use them.
const std::vector<tree_key> &treeKeys();

/// Returns the definition of a key at a node kind; nullptr if the key may not be set there.
const tree_key *findTreeKey(node_kind inKind, std::string_view inKey);

/// Returns the remedy for a key that may not be set at a node kind.
std::string unknownKeyRemedy(node_kind inKind, std::string_view inKey);

} // namespace corneltally::settings
