#pragma once

#include "apps/commands.h"
#include "corneltally/settings/change.h"
#include "corneltally/settings/problem.h"

#include <optional>
#include <string>
#include <vector>

namespace corneltally::apps {

class command_line;

/// Builds the changes that the options of the publish command ask for. Problems are added if they
/// are not well-formed.
std::vector<settings::change> readChanges(const command_line &inLine,
                                          std::vector<settings::problem> &ioProblems);

} // namespace corneltally::apps
