#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace standins {

/// Command-line flags of a stand-in. Keeps Boost.Program_options out of the other sources, since
/// its headers are slow to compile.
class flag_parser
{
public:
    explicit flag_parser(const std::string &inTitle);
    ~flag_parser();
    flag_parser(const flag_parser &) = delete;
    flag_parser &operator=(const flag_parser &) = delete;

    /// The current value of the target is the default.
    void add(const char *inName, const char *inHelp, std::string &outTarget);
    void add(const char *inName, const char *inHelp, long long &outTarget);
    void add(const char *inName, const char *inHelp, double &outTarget);
    /// Present or absent; takes no value.
    void add(const char *inName, const char *inHelp, bool &outTarget);
    /// May be given several times.
    void add(const char *inName, const char *inHelp, std::vector<std::string> &outTarget);

    /// Returns false after it printed the help text or what is wrong; the process should exit.
    bool parse(int inCount, char **inArguments);

private:
    struct implementation;
    std::unique_ptr<implementation> mImplementation;
};

} // namespace standins
