#pragma once

#include "apps/commands.h"
#include "corneltally/settings/change.h"
#include "corneltally/settings/problem.h"

#include <optional>
#include <string>
#include <vector>

namespace corneltally::apps {

class command_line;

/// Builds the changes that the options of the publish command specify. Adds a problem for each
/// malformed option or file.
std::vector<settings::change> readChanges(const command_line &inLine,
                                          std::vector<settings::problem> &ioProblems);

} // namespace corneltally::apps
