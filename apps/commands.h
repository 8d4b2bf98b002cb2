#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace corneltally::apps {

/// Output streams of a subcommand.
struct command_output
{
    std::ostream &text;
    std::ostream &errors;
};

/// Runs the program with the arguments after its name and returns its exit code.
int runProgram(const std::vector<std::string> &inArguments, command_output inOutput);

/// The subcommands; each returns its exit code.
int runEntryCommand(const std::vector<std::string> &inArguments, command_output inOutput);
int runForwardCommand(const std::vector<std::string> &inArguments, command_output inOutput);
int runCheck(const std::vector<std::string> &inArguments, command_output inOutput);
int runPublish(const std::vector<std::string> &inArguments, command_output inOutput);
int runStatus(const std::vector<std::string> &inArguments, command_output inOutput);
int runDump(const std::vector<std::string> &inArguments, command_output inOutput);
int runKeygen(const std::vector<std::string> &inArguments, command_output inOutput);

} // namespace corneltally::apps
