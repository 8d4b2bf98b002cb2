#include "standins/flag_parser.h"
#include "standins/ledger_checker.h"

#include <cstdio>

int main(int inCount, char **inArguments)
{
    std::vector<std::string> files;
    standins::flag_parser flags(
        "checks ledgers against the guarantees; exit code 1 on a violation");
    flags.add("ledger", "ledger file (several)", files);
    if (!flags.parse(inCount, inArguments))
        return 2;
    standins::ledger_checker checker;
    for (const std::string &file : files) {
        if (!checker.addFile(file)) {
            std::fprintf(stderr, "cannot read %s\n", file.c_str());
            return 2;
        }
    }
    const std::vector<standins::violation> found = checker.check();
    for (const standins::violation &entry : found)
        std::printf("%s: %s\n", entry.guarantee.c_str(), entry.message.c_str());
    std::printf("%zu facts, %zu runs, %zu calls, %zu violations\n", checker.factCount(),
                checker.runCount(), checker.callCount(), found.size());
    return found.empty() ? 0 : 1;
}
