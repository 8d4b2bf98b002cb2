#include "apps/command_line.h"
#include "apps/commands.h"
#include "apps/files.h"
#include "corneltally/entry/daemon.h"
#include "corneltally/settings/process_settings.h"

namespace corneltally::apps {

int runEntryCommand(const std::vector<std::string> &inArguments, command_output inOutput)
{
    command_line line("entry", "Runs an entry instance until it is drained by SIGTERM.");
    line.add("settings", "FILE", "process settings (TOML)");
    line.add("allow-test-settings", "", "accept settings that disable a safety check", 0);
    if (!line.parse(inArguments, inOutput.text, inOutput.errors))
        return line.exitCode();
    if (!line.has("settings"))
        return line.fail("--settings FILE is required", inOutput.errors);
    std::vector<settings::problem> problems;
    const std::string path = line.value("settings");
    if (const auto text = readFile(path, problems)) {
        const auto settings = settings::process_settings::sFromToml(*text, path, &problems);
        if (settings && !settings->brokenGuard.empty() && !line.has("allow-test-settings"))
            return line.fail("the settings file disables a safety check; remove [test]",
                             inOutput.errors);
        if (settings)
            return entry::runEntry(*settings);
    }
    printProblems(problems, inOutput.errors);
    return cExitUsage;
}

} // namespace corneltally::apps
