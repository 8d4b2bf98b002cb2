#include "apps/command_line.h"
#include "apps/commands.h"
#include "apps/http_get.h"

#include <cstdint>
#include <ostream>
#include <set>

#include <nlohmann/json.hpp>

namespace corneltally::apps {

namespace {

/// Prints the status of one instance. Returns its settings version, or nothing if it cannot be
/// read.
std::optional<std::uint64_t> printStatus(const std::string &inAddress, command_output inOutput)
{
    const http::response answer = httpGet(http::parseAddress(inAddress), "/version");
    if (const std::string failure = describeFailure(answer); !failure.empty()) {
        inOutput.errors << inAddress << ": " << failure << '\n';
        return std::nullopt;
    }
    const auto body = nlohmann::json::parse(answer.body, nullptr, false);
    if (!body.is_object()
        || !body.value("settings_version", nlohmann::json()).is_number_unsigned()) {
        inOutput.errors << inAddress
                        << ": the answer has no settings_version; check that the "
                           "instance runs the same release\n";
        return std::nullopt;
    }
    const auto version = body["settings_version"].get<std::uint64_t>();
    const auto name = body.value("instance", nlohmann::json());
    inOutput.text << inAddress << " " << (name.is_string() ? name.get<std::string>() : "?")
                  << " version " << version
                  << (body.value("draining", nlohmann::json(false)) == true ? " draining" : "")
                  << '\n';
    return version;
}

} // namespace

int runStatus(const std::vector<std::string> &inArguments, command_output inOutput)
{
    command_line line("status",
                      "Shows the settings version in force at each instance. Fails if an "
                      "instance has none or if they differ.");
    line.add("operators", "IP:PORT", "operator address of an instance (repeatable)");
    if (!line.parse(inArguments, inOutput.text, inOutput.errors))
        return line.exitCode();
    if (!line.has("operators"))
        return line.fail("--operators IP:PORT is required", inOutput.errors);
    std::set<std::uint64_t> versions;
    bool isComplete = true;
    for (const std::string &address : line.values("operators")) {
        if (http::parseAddress(address).port == 0)
            return line.fail("\"" + address + "\" is not an address", inOutput.errors);
        const auto version = printStatus(address, inOutput);
        isComplete = isComplete && version && *version > 0;
        if (version)
            versions.insert(*version);
    }
    if (versions.size() > 1)
        inOutput.errors
            << "the versions differ; wait 3 s and run the command again, then check the log of the "
               "instance with the lowest version\n";
    return isComplete && versions.size() == 1 ? cExitDone : cExitFailed;
}

} // namespace corneltally::apps
