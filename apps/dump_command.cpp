#include "apps/command_line.h"
#include "apps/commands.h"
#include "apps/http_get.h"

#include <ostream>

namespace corneltally::apps {

int runDump(const std::vector<std::string> &inArguments, command_output inOutput)
{
    command_line line("dump", "Prints the state of each service of an instance as JSON.");
    line.add("operators", "IP:PORT", "operator address of the instance");
    if (!line.parse(inArguments, inOutput.text, inOutput.errors))
        return line.exitCode();
    const http::address address = http::parseAddress(line.value("operators"));
    if (address.port == 0)
        return line.fail("--operators IP:PORT is required", inOutput.errors);
    const http::response answer = httpGet(address, "/dump");
    if (const std::string failure = describeFailure(answer); !failure.empty()) {
        inOutput.errors << address.toString() << ": " << failure << '\n';
        return cExitFailed;
    }
    inOutput.text << answer.body << '\n';
    return cExitDone;
}

} // namespace corneltally::apps
