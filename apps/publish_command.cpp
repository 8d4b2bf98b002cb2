#include "apps/command_line.h"
#include "apps/commands.h"
#include "apps/files.h"
#include "apps/publish_changes.h"
#include "apps/random_hex.h"
#include "corneltally/entry/settings_publisher.h"
#include "corneltally/kernel/event_loop.h"
#include "corneltally/settings/change_file.h"

#include <charconv>
#include <ostream>

namespace corneltally::apps {

namespace {

using entry::publish_outcome;
using entry::publish_result;
using settings::change;

constexpr long long cMaxTimeoutSeconds = 3'600;

/// Runs the asynchronous calls of the settings publisher to completion, one at a time.
class publish_session
{
public:
    publish_session(const http::address &inPlatform, core::duration inTimeLimit)
        : mLog(mLoop, inPlatform)
        , mPublisher(mLoop, mLog, inTimeLimit)
    { }

    std::optional<core::error> load()
    {
        std::optional<core::error> result;
        mPublisher.load([&](const std::optional<core::error> &inReason) {
            result = inReason;
            mLoop.stop();
        });
        mLoop.run();
        return result;
    }

    publish_result publish(const change &inChange)
    {
        publish_result result;
        mPublisher.publish(inChange, [&](const publish_result &inResult) {
            result = inResult;
            mLoop.stop();
        });
        mLoop.run();
        return result;
    }

    bool isPublished(const std::string &inId) const
    {
        return mPublisher.findVerdict(inId).has_value();
    }

    const settings::settings_tree &tree() const { return mPublisher.replica().tree(); }

private:
    kernel::event_loop mLoop;
    platform::log_client mLog;
    entry::settings_publisher<platform::log_client> mPublisher;
};

void addOptions(command_line &ioLine)
{
    ioLine.add("platform", "IP:PORT", "address of the platform");
    ioLine.add("change", "FILE", "publish a change (TOML or JSON)");
    ioLine.add("tree", "FILE", "publish a whole tree as the first one (TOML)");
    ioLine.add("set", "PATH KEY=VALUE", "set one value (repeatable, one change)", 2);
    ioLine.add("unset", "PATH KEY", "remove one value, so that it is inherited again (repeatable)",
               2);
    ioLine.add("remove", "PATH", "remove a node and all nodes below it (repeatable)");
    ioLine.add("author", "NAME", "author of the change (default: operator)");
    ioLine.add("id", "ID",
               "id of the change, to resolve an unknown outcome by publishing it again");
    ioLine.add("timeout", "SECONDS", "time limit for publishing (default: 30)");
}

/// Returns an error message if the combination of options is invalid, or an empty string.
std::string findUsageError(const command_line &inLine)
{
    if (http::parseAddress(inLine.value("platform")).port == 0)
        return "--platform IP:PORT is required";
    const bool hasOptions = inLine.has("set") || inLine.has("unset") || inLine.has("remove");
    if (int(inLine.has("change")) + int(inLine.has("tree")) + int(hasOptions) != 1)
        return "give either --change, or --tree, or --set, --unset and --remove";
    if (inLine.has("tree") && inLine.has("id"))
        return "--id applies to a single change";
    return "";
}

std::optional<core::duration> timeLimit(const command_line &inLine)
{
    const std::string text = inLine.value("timeout", "30");
    long long seconds = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), seconds);
    if (failure != std::errc() || end != text.data() + text.size() || seconds < 1
        || seconds > cMaxTimeoutSeconds)
        return std::nullopt;
    return std::chrono::seconds(seconds);
}

int report(const change &inChange, const publish_result &inResult, command_output inOutput)
{
    switch (inResult.outcome) {
    case publish_outcome::accepted:
        inOutput.text << "accepted: change " << inChange.id << " is version " << inResult.offset
                      << '\n';
        return cExitDone;
    case publish_outcome::rejected:
        inOutput.errors << "rejected: change " << inChange.id << " at offset " << inResult.offset
                        << ": " << inResult.reason.message << "; " << inResult.reason.remedy
                        << '\n';
        return cExitFailed;
    case publish_outcome::not_published:
        inOutput.errors << "not published: change " << inChange.id << ": "
                        << inResult.reason.message << "; " << inResult.reason.remedy << '\n';
        return cExitFailed;
    case publish_outcome::unknown:
        break;
    }
    inOutput.errors << "unknown: change " << inChange.id
                    << " may take effect: " << inResult.reason.message
                    << "; publish it again with --id " << inChange.id
                    << ", which cannot apply it twice\n";
    return cExitFailed;
}

bool completeChange(change &ioChange, const command_line &inLine, command_output inOutput)
{
    if (inLine.has("author") || ioChange.author.empty())
        ioChange.author = inLine.value("author", "operator");
    if (inLine.has("id"))
        ioChange.id = inLine.value("id");
    if (!ioChange.id.empty())
        return true;
    const auto digits = randomHex(12);
    if (!digits) {
        inOutput.errors
            << "corneltally publish: the system's random number generator failed; use --id\n";
        return false;
    }
    ioChange.id = "change-" + *digits;
    return true;
}

int publishChange(publish_session &ioSession, change &ioChange, command_output inOutput)
{
    // A change that is already on the log is only looked up. It may not apply to the current tree,
    // which is newer than the one it was made for.
    if (!ioSession.isPublished(ioChange.id)) {
        settings::completeBase(ioChange, ioSession.tree());
        const auto next = ioSession.tree().apply(ioChange, ioSession.tree().version() + 1);
        if (!next) {
            inOutput.errors << "not published: " << next.reason().message << "; "
                            << next.reason().remedy << '\n';
            return next.reason().kind == core::error_kind::conflict ? cExitFailed : cExitUsage;
        }
    }
    return report(ioChange, ioSession.publish(ioChange), inOutput);
}

} // namespace

int runPublish(const std::vector<std::string> &inArguments, command_output inOutput)
{
    command_line line("publish",
                      "Publishes a change to the settings tree and reports whether it was "
                      "accepted.");
    addOptions(line);
    if (!line.parse(inArguments, inOutput.text, inOutput.errors))
        return line.exitCode();
    if (const std::string usageError = findUsageError(line); !usageError.empty())
        return line.fail(usageError, inOutput.errors);
    const auto limit = timeLimit(line);
    if (!limit)
        return line.fail("--timeout needs whole seconds from 1 to 3600", inOutput.errors);

    std::vector<settings::problem> problems;
    std::vector<change> changes = readChanges(line, problems);
    printProblems(problems, inOutput.errors);
    if (!problems.empty())
        return cExitUsage;
    publish_session session(http::parseAddress(line.value("platform")), *limit);
    if (const auto reason = session.load()) {
        inOutput.errors << "not published: " << reason->message << "; " << reason->remedy << '\n';
        return cExitFailed;
    }
    if (line.has("tree") && session.tree().version() > 0) {
        inOutput.errors << "not published: there is already a tree of version "
                        << session.tree().version() << "; use --change, --set or --remove\n";
        return cExitFailed;
    }
    for (change &entry : changes) {
        if (!completeChange(entry, line, inOutput))
            return cExitFailed;
        if (const int code = publishChange(session, entry, inOutput); code != cExitDone)
            return code;
    }
    return cExitDone;
}

} // namespace corneltally::apps
