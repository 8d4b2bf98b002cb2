#include "apps/command_line.h"
#include "apps/commands.h"
#include "apps/files.h"
#include "corneltally/forwarding/instance.h"
#include "corneltally/settings/forwarding_settings.h"
#include "platform/names.h"

#include <cstdlib>
#include <iostream>
#include <optional>

namespace corneltally::apps {

namespace {

std::optional<settings::forwarding_settings> readSettings(const std::string &inPath,
                                                          std::ostream &outErrors)
{
    std::vector<settings::problem> problems;
    std::optional<settings::forwarding_settings> read;
    if (const auto text = readFile(inPath, problems)) {
        if (const auto result = settings::forwarding_settings::sFromToml(*text, inPath, &problems))
            read = *result;
    }
    printProblems(problems, outErrors);
    return read;
}

} // namespace

int runForwardCommand(const std::vector<std::string> &inArguments, command_output inOutput)
{
    command_line line("forward", "Runs a forwarding instance until it is drained by SIGTERM.");
    line.add("settings", "FILE",
             std::string("instance settings (TOML); default: the file in ")
                 + platform::cSettingsVariable + " (environment variable)");
    if (!line.parse(inArguments, inOutput.text, inOutput.errors))
        return line.exitCode();
    const char *variable = std::getenv(platform::cSettingsVariable);
    const std::string path = line.value("settings", variable != nullptr ? variable : "");
    if (path.empty())
        return line.fail("--settings FILE is required", inOutput.errors);
    const auto settings = readSettings(path, inOutput.errors);
    if (!settings)
        return cExitUsage;
    return forwarding::runInstance(*settings, [path] { return readSettings(path, std::cerr); });
}

} // namespace corneltally::apps
