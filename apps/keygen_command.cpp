#include "apps/command_line.h"
#include "apps/commands.h"
#include "apps/random_hex.h"
#include "corneltally/core/digest.h"

#include <ostream>

namespace corneltally::apps {

int runKeygen(const std::vector<std::string> &inArguments, command_output inOutput)
{
    constexpr std::size_t cKeyBytes = 32;
    command_line line("keygen",
                      "Generates a caller's key. Give the key to the caller and set the digest at "
                      "/accounts/<name>/keys/<id>. The key is not stored anywhere.");
    if (!line.parse(inArguments, inOutput.text, inOutput.errors))
        return line.exitCode();
    const auto digits = randomHex(cKeyBytes);
    if (!digits) {
        inOutput.errors
            << "corneltally keygen: the system's random number generator failed; try again\n";
        return cExitFailed;
    }
    const std::string key = "ct-" + *digits;
    inOutput.text << "key = \"" << key << "\"\ndigest = \"" << core::sha256Hex(key) << "\"\n";
    return cExitDone;
}

} // namespace corneltally::apps
