#include "apps/files.h"

#include <fstream>
#include <iterator>
#include <ostream>

namespace corneltally::apps {

std::optional<std::string> readFile(const std::string &inPath,
                                    std::vector<settings::problem> &ioProblems)
{
    std::ifstream file(inPath, std::ios::binary);
    std::string text{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    if (!file.good() && !file.eof()) {
        ioProblems.push_back({inPath, 0, "", "the file cannot be read",
                              "check the path and the permissions of the file"});
        return std::nullopt;
    }
    return text;
}

void printProblems(const std::vector<settings::problem> &inProblems, std::ostream &outErrors)
{
    for (const settings::problem &entry : inProblems)
        outErrors << settings::toText(entry) << '\n';
}

} // namespace corneltally::apps
