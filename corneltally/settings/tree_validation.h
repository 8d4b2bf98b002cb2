#pragma once

#include "corneltally/settings/node_kind.h"

#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::settings {

class settings_tree;

/// A mistake in a tree.
struct tree_problem
{
    std::string path;
    std::string key;
    std::string message;
    std::string remedy;
};

/// Adds what is wrong with the own values of a node: unknown keys, wrong types, ranges.
void checkOwnValues(const settings_tree &inTree, std::string_view inPath,
                    std::vector<tree_problem> &ioProblems);

/// Adds what is missing at a node, with inheritance.
void checkCompleteness(const settings_tree &inTree, std::string_view inPath,
                       std::vector<tree_problem> &ioProblems);

/// Adds contradictions between nodes of the given kinds and those that refer to them: references
/// to absent nodes, values that must be unique.
void checkRelations(const settings_tree &inTree, const std::set<node_kind> &inTouched,
                    std::vector<tree_problem> &ioProblems);

/// Checks everything.
std::vector<tree_problem> checkTree(const settings_tree &inTree);

} // namespace corneltally::settings
