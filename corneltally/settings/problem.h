#pragma once

#include "corneltally/core/error.h"

#include <compare>
#include <string>
#include <vector>

namespace corneltally::settings {

/// One mistake in a settings file.
struct problem
{
    std::string file;
    /// 1 for the first line; 0 if the mistake has no line (for example a missing key).
    int line = 0;
    /// Key with the table or node that holds it.
    std::string key;
    std::string message;
    std::string remedy;

    friend auto operator<=>(const problem &, const problem &) = default;
};

/// "file:line: key: message; remedy", on one line.
std::string toText(const problem &inProblem);

/// All problems as one error, a line for each.
core::error toError(const std::vector<problem> &inProblems);

} // namespace corneltally::settings
