#pragma once

#include "corneltally/core/result.h"
#include "corneltally/settings/change.h"
#include "corneltally/settings/problem.h"

#include <string_view>
#include <vector>

namespace corneltally::settings {

class settings_tree;

/// Parses an operator's change: JSON in the form of a log record, or TOML with the nodes to set
/// below `[set]`, a list `remove`, and optionally `author`, `id` and `[base]`. Does not fill in a
/// missing `base`; completeBase() does.
core::result<change> readChangeFile(std::string_view inText, std::string_view inFile,
                                    std::vector<problem> *outProblems = nullptr);

/// Adds the current version of each node that a change modifies, unless the operator gave one.
void completeBase(change &ioChange, const settings_tree &inTree);

/// Returns changes that create a whole tree when they are applied in order. Each fits into a log
/// record.
std::vector<change> changesFor(const settings_tree &inTree);

} // namespace corneltally::settings
