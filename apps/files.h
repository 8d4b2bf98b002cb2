#pragma once

#include "corneltally/settings/problem.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::apps {

/// Content of a file; a problem is added if it cannot be read.
std::optional<std::string> readFile(const std::string &inPath,
                                    std::vector<settings::problem> &ioProblems);

/// Prints problems, a line for each.
void printProblems(const std::vector<settings::problem> &inProblems, std::ostream &outErrors);

} // namespace corneltally::apps
