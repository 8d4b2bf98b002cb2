#include "apps/command_line.h"

#include <ostream>

#include <boost/program_options.hpp>

namespace corneltally::apps {

namespace options = boost::program_options;

command_line::command_line(std::string inCommand, std::string inSummary)
    : mCommand(std::move(inCommand))
    , mSummary(std::move(inSummary))
{ }

void command_line::add(std::string inName, std::string inValueName, std::string inDescription,
                       std::size_t inValueCount)
{
    mOptions.push_back(
        {std::move(inName), std::move(inValueName), std::move(inDescription), inValueCount});
}

bool command_line::parse(const std::vector<std::string> &inArguments, std::ostream &outText,
                         std::ostream &outErrors)
{
    options::options_description description("Options");
    description.add_options()("help", "show this help and exit");
    for (const option &entry : mOptions) {
        auto *semantic = options::value<std::vector<std::string>>()->value_name(entry.valueName);
        semantic->composing();
        if (entry.valueCount > 1)
            semantic->multitoken();
        else if (entry.valueCount == 0)
            semantic->zero_tokens();
        description.add_options()(entry.name.c_str(), semantic, entry.description.c_str());
    }
    try {
        const auto style = options::command_line_style::unix_style
            & ~options::command_line_style::allow_guessing;
        options::positional_options_description none;
        options::variables_map map;
        options::store(options::command_line_parser(inArguments)
                           .options(description)
                           .positional(none)
                           .style(style)
                           .run(),
                       map);
        if (map.count("help") > 0) {
            outText << "Usage: corneltally " << mCommand << " [options]\n"
                    << mSummary << "\n\n"
                    << description;
            return false;
        }
        for (const option &entry : mOptions) {
            if (map.count(entry.name) > 0)
                mValues[entry.name] = map[entry.name].as<std::vector<std::string>>();
        }
    } catch (const options::error &failure) {
        mExitCode = fail(failure.what(), outErrors);
        return false;
    }
    for (const option &entry : mOptions) {
        if (entry.valueCount > 0 && values(entry.name).size() % entry.valueCount != 0) {
            mExitCode = fail("--" + entry.name + " needs " + entry.valueName, outErrors);
            return false;
        }
    }
    return true;
}

const std::vector<std::string> &command_line::values(const std::string &inName) const
{
    static const std::vector<std::string> sNone;
    const auto found = mValues.find(inName);
    return found == mValues.end() ? sNone : found->second;
}

std::string command_line::value(const std::string &inName, std::string_view inDefault) const
{
    const std::vector<std::string> &found = values(inName);
    return found.empty() ? std::string(inDefault) : found.back();
}

int command_line::fail(std::string_view inMessage, std::ostream &outErrors) const
{
    outErrors << "corneltally " << mCommand << ": " << inMessage << "; see corneltally " << mCommand
              << " --help\n";
    return cExitUsage;
}

} // namespace corneltally::apps
