#pragma once

#include <iosfwd>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::apps {

/// Exit codes of all subcommands.
constexpr int cExitDone = 0;
constexpr int cExitFailed = 1;
constexpr int cExitUsage = 2;

/// Option parser of one subcommand. Wraps Boost.Program_options, which is slow to compile, so that
/// the other sources do not include it.
class command_line
{
public:
    command_line(std::string inCommand, std::string inSummary);

    /// Adds an option that takes the given number of values at each occurrence.
    void add(std::string inName, std::string inValueName, std::string inDescription,
             std::size_t inValueCount = 1);

    /// Parses the arguments after the subcommand. Returns false if the command must exit with
    /// exitCode(): it has printed the help, or it has reported a usage error.
    bool parse(const std::vector<std::string> &inArguments, std::ostream &outText,
               std::ostream &outErrors);

    int exitCode() const { return mExitCode; }

    /// Values of an option in the order given; empty if it is absent.
    const std::vector<std::string> &values(const std::string &inName) const;

    /// The last value of an option, or the default if it is absent.
    std::string value(const std::string &inName, std::string_view inDefault = "") const;

    bool has(const std::string &inName) const { return mValues.contains(inName); }

    /// Prints a usage error and returns its exit code.
    int fail(std::string_view inMessage, std::ostream &outErrors) const;

private:
    struct option
    {
        std::string name;
        std::string valueName;
        std::string description;
        std::size_t valueCount = 1;
    };

    std::string mCommand;
    std::string mSummary;
    std::vector<option> mOptions;
    std::map<std::string, std::vector<std::string>> mValues;
    int mExitCode = cExitDone;
};

} // namespace corneltally::apps
