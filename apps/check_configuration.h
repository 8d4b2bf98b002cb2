#pragma once

#include "apps/commands.h"
#include "corneltally/settings/problem.h"

#include <string>
#include <vector>

namespace corneltally::apps {

/// Files of the check of a configuration document; only the first one is required.
struct configuration_files
{
    std::string configuration;
    /// Document in force, to compare with.
    std::string inForce;
    /// Settings of a forwarding instance, which name the regions.
    std::string settings;
};

/// Checks a configuration document. Prints warnings and differences, and adds errors to
/// ioProblems. Returns the number of warnings.
std::size_t checkConfigurationFiles(const configuration_files &inFiles,
                                    std::vector<settings::problem> &ioProblems,
                                    std::ostream &outText);

} // namespace corneltally::apps
