#pragma once

#include "corneltally/core/error.h"

#include <compare>
#include <string>
#include <vector>

namespace corneltally::settings {

/// One error in a settings file.
struct problem
{
    std::string file;
    /// Line number, starting at 1; 0 if the problem has no line (for example a missing key).
    int line = 0;
    /// Key, qualified by its table or node.
    std::string key;
    std::string message;
    std::string remedy;

    friend auto operator<=>(const problem &, const problem &) = default;
};

/// Formats a problem on one line: "file:line: key: message; remedy".
std::string toText(const problem &inProblem);

/// Combines all problems into one error with a line for each.
core::error toError(const std::vector<problem> &inProblems);

} // namespace corneltally::settings
