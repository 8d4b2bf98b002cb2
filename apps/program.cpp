#include "apps/command_line.h"
#include "apps/commands.h"

#include <array>
#include <ostream>
#include <string_view>

namespace corneltally::apps {

namespace {

struct subcommand
{
    std::string_view name;
    std::string_view summary;
    int (*run)(const std::vector<std::string> &, command_output);
};

constexpr std::array<subcommand, 7> cCommands{{
    {"entry", "run an entry instance", &runEntryCommand},
    {"forward", "run a forwarding instance", &runForwardCommand},
    {"check", "check a settings file and a settings tree", &runCheck},
    {"publish", "publish a change to the settings tree", &runPublish},
    {"status", "show the settings version in force at each instance", &runStatus},
    {"dump", "print the state of an instance", &runDump},
    {"keygen", "generate a caller's key and its digest", &runKeygen},
}};

void printHelp(std::ostream &outText)
{
    outText << "Usage: corneltally <command> [options]\n\nCommands:\n";
    for (const subcommand &entry : cCommands)
        outText << "  " << entry.name << std::string(10 - entry.name.size(), ' ') << entry.summary
                << '\n';
    outText
        << "\ncorneltally <command> --help describes a command, corneltally --version prints "
           "the version.\nExit codes: 0 success, 1 failure, 2 usage error or invalid settings.\n";
}

} // namespace

int runProgram(const std::vector<std::string> &inArguments, command_output inOutput)
{
    if (inArguments.empty()) {
        printHelp(inOutput.errors);
        return cExitUsage;
    }
    const std::string &name = inArguments.front();
    if (name == "--help") {
        printHelp(inOutput.text);
        return cExitDone;
    }
    if (name == "--version") {
        inOutput.text << "corneltally " << CORNELTALLY_VERSION << '\n';
        return cExitDone;
    }
    for (const subcommand &entry : cCommands) {
        if (entry.name == name)
            return entry.run({inArguments.begin() + 1, inArguments.end()}, inOutput);
    }
    inOutput.errors << "corneltally: unknown command \"" << name << "\"; see corneltally --help\n";
    return cExitUsage;
}

} // namespace corneltally::apps
