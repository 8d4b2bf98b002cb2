#pragma once

#include "corneltally/settings/node_kind.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::settings {

class settings_tree;

/// A violation of the schema or of a reference in a tree.
struct tree_problem
{
    std::string path;
    std::string key;
    std::string message;
    std::string remedy;
};

/// Reports unknown keys, wrong types and values out of range among the own values of a node.
void checkOwnValues(const settings_tree &inTree, std::string_view inPath,
                    std::vector<tree_problem> &ioProblems);

/// Reports required keys that a node neither has nor inherits, and a missing parent account.
void checkCompleteness(const settings_tree &inTree, std::string_view inPath,
                       std::vector<tree_problem> &ioProblems);

/// Reports inconsistencies between nodes of the given kinds and the nodes that refer to them, such
/// as references to absent nodes and duplicates of values that must be unique.
void checkRelations(const settings_tree &inTree, const std::set<node_kind> &inChangedKinds,
                    std::vector<tree_problem> &ioProblems);

/// Runs all checks on all nodes.
std::vector<tree_problem> checkTree(const settings_tree &inTree);

} // namespace corneltally::settings
