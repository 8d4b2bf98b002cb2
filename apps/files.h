#pragma once

#include "corneltally/settings/problem.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace corneltally::apps {

/// Reads a file. Adds a problem and returns nothing if it cannot be read.
std::optional<std::string> readFile(const std::string &inPath,
                                    std::vector<settings::problem> &ioProblems);

/// Prints one line for each problem.
void printProblems(const std::vector<settings::problem> &inProblems, std::ostream &outErrors);

} // namespace corneltally::apps
