#include "standins/flag_parser.h"

#include <iostream>

#include <boost/program_options.hpp>

namespace standins {

namespace options = boost::program_options;

struct flag_parser::implementation
{
    options::options_description description;

    template <typename Target>
    void add(const char *inName, const char *inHelp, Target &outTarget)
    {
        description.add_options()(inName, options::value(&outTarget)->default_value(outTarget),
                                  inHelp);
    }
};

flag_parser::flag_parser(const std::string &inTitle)
    : mImplementation(
        std::make_unique<implementation>(implementation{options::options_description(inTitle)}))
{
    mImplementation->description.add_options()("help", "print this text");
}

flag_parser::~flag_parser() = default;

void flag_parser::add(const char *inName, const char *inHelp, std::string &outTarget)
{
    mImplementation->add(inName, inHelp, outTarget);
}

void flag_parser::add(const char *inName, const char *inHelp, long long &outTarget)
{
    mImplementation->add(inName, inHelp, outTarget);
}

void flag_parser::add(const char *inName, const char *inHelp, double &outTarget)
{
    mImplementation->add(inName, inHelp, outTarget);
}

void flag_parser::add(const char *inName, const char *inHelp, bool &outTarget)
{
    mImplementation->description.add_options()(inName, options::bool_switch(&outTarget), inHelp);
}

void flag_parser::add(const char *inName, const char *inHelp, std::vector<std::string> &outTarget)
{
    mImplementation->description.add_options()(
        inName, options::value(&outTarget)->multitoken()->composing(), inHelp);
}

bool flag_parser::parse(int inCount, char **inArguments)
{
    options::variables_map values;
    try {
        options::store(
            options::parse_command_line(inCount, inArguments, mImplementation->description),
            values);
        options::notify(values);
    } catch (const options::error &failure) {
        std::cerr << failure.what() << "\nRun with --help for the list of flags.\n";
        return false;
    }
    if (values.count("help") != 0) {
        std::cerr << mImplementation->description << "\n";
        return false;
    }
    return true;
}

} // namespace standins
