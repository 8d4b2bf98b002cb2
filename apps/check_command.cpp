#include "apps/check_configuration.h"
#include "apps/command_line.h"
#include "apps/commands.h"
#include "apps/files.h"
#include "corneltally/settings/forwarding_settings.h"
#include "corneltally/settings/node_kind.h"
#include "corneltally/settings/process_settings.h"
#include "corneltally/settings/settings_tree.h"
#include "corneltally/settings/toml_document.h"
#include "corneltally/settings/tree_schema.h"

#include <optional>
#include <ostream>

namespace corneltally::apps {

namespace {

using settings::problem;
using settings::process_settings;
using settings::settings_tree;

struct checked_tree
{
    std::string file;
    std::string text;
    settings_tree tree;
};

std::optional<process_settings> checkSettings(const std::string &inPath,
                                              std::vector<problem> &ioProblems)
{
    const auto text = readFile(inPath, ioProblems);
    if (!text)
        return std::nullopt;
    std::vector<problem> problems;
    if (settings::forwarding_settings::sIsForwardingFile(*text)) {
        settings::forwarding_settings::sFromToml(*text, inPath, &problems);
        ioProblems.insert(ioProblems.end(), problems.begin(), problems.end());
        return std::nullopt;
    }
    const auto result = process_settings::sFromToml(*text, inPath, &problems);
    ioProblems.insert(ioProblems.end(), problems.begin(), problems.end());
    return result ? std::optional(*result) : std::nullopt;
}

std::optional<checked_tree> checkTreeFile(const std::string &inPath,
                                          std::vector<problem> &ioProblems)
{
    const auto text = readFile(inPath, ioProblems);
    if (!text)
        return std::nullopt;
    std::vector<problem> problems;
    const auto result = settings_tree::sFromToml(*text, inPath, &problems);
    ioProblems.insert(ioProblems.end(), problems.begin(), problems.end());
    if (!result)
        return std::nullopt;
    return checked_tree{inPath, *text, *result};
}

/// Adds a problem for each contradiction between process settings and the settings tree.
void checkConsistency(const std::string &inFile, const process_settings &inSettings,
                      const settings_tree &inTree, std::vector<problem> &ioProblems)
{
    const std::string path = "/instances/" + inSettings.instanceName;
    if (!inTree.contains(path)) {
        ioProblems.push_back({inFile, 0, "instance.name", path + " is not in the tree",
                              "add the instance to the tree or correct its name"});
    } else if (const auto domain = inTree.find(path, "failure_domain");
               domain && domain->value != settings::setting_value(inSettings.failureDomain)) {
        ioProblems.push_back({inFile, 0, "instance.failure_domain",
                              "the tree has " + settings::toText(domain->value),
                              "use the same failure domain in both"});
    }
    for (const std::string &name : inTree.children("/instances")) {
        if (!inTree.find("/instances/" + name, "peer_address")
            && !inSettings.peerAddresses.contains(name) && name != inSettings.instanceName)
            ioProblems.push_back({inFile, 0, "peer_addresses." + name,
                                  "the tree has no peer_address for this instance",
                                  "set one here or in the tree"});
    }
    for (const auto &[name, address] : inSettings.peerAddresses) {
        if (!inTree.contains("/instances/" + name))
            ioProblems.push_back({inFile, 0, "peer_addresses." + name,
                                  "the tree does not contain this instance",
                                  "remove the entry or correct its name"});
    }
}

int lineOf(const checked_tree &inTree, const std::string &inPath, const std::string &inKey)
{
    std::vector<problem> ignored;
    const auto document = settings::toml_document::sParse(inTree.text, inTree.file, ignored);
    for (const auto &entry : document.entries()) {
        if (!entry.isTable && entry.key == inKey && settings::nodePath(entry.table) == inPath)
            return entry.line;
    }
    return 0;
}

int explain(const checked_tree &inTree, const std::string &inPath, const std::string &inKey,
            command_output inOutput)
{
    const settings::node_kind kind = settings::kindOf(inPath);
    const settings::tree_key *definition = settings::findTreeKey(kind, inKey);
    if (definition == nullptr) {
        inOutput.errors << inPath << " " << inKey << ": unknown key at this node; "
                        << settings::unknownKeyRemedy(kind, inKey) << '\n';
        return cExitUsage;
    }
    inOutput.text << inPath << " " << inKey << " = ";
    if (const auto found = inTree.tree.find(inPath, inKey)) {
        inOutput.text << settings::toText(found->value) << ", "
                      << (found->path == inPath ? "set at " : "inherited from ") << found->path
                      << " (" << inTree.file << ":" << lineOf(inTree, found->path, inKey) << ")\n";
    } else if (!definition->definition.defaultText.empty()) {
        inOutput.text << definition->definition.defaultText << ", the default\n";
    } else {
        inOutput.text << "not set, no default\n";
    }
    return cExitDone;
}

} // namespace

int runCheck(const std::vector<std::string> &inArguments, command_output inOutput)
{
    command_line line("check",
                      "Checks whole files and reports every problem with its file, line, key "
                      "and remedy.");
    line.add("settings", "FILE", "process settings (TOML)");
    line.add("tree", "FILE", "settings tree (TOML)");
    line.add("explain", "PATH KEY",
             "show the value of a key at a node of --tree and where it is set", 2);
    line.add("configuration", "FILE", "configuration document of forwarding instances (JSON)");
    line.add("in-force", "FILE", "version in force, to list what --configuration changes");
    if (!line.parse(inArguments, inOutput.text, inOutput.errors))
        return line.exitCode();
    if (line.has("in-force") && !line.has("configuration"))
        return line.fail("--in-force needs --configuration FILE", inOutput.errors);
    if (!line.has("settings") && !line.has("tree") && !line.has("configuration"))
        return line.fail("--settings FILE, --tree FILE or --configuration FILE is required",
                         inOutput.errors);
    if (line.has("explain") && !line.has("tree"))
        return line.fail("--explain needs --tree FILE", inOutput.errors);

    std::vector<problem> problems;
    std::optional<process_settings> process;
    std::optional<checked_tree> tree;
    if (line.has("settings"))
        process = checkSettings(line.value("settings"), problems);
    if (line.has("tree"))
        tree = checkTreeFile(line.value("tree"), problems);
    if (process && tree)
        checkConsistency(line.value("settings"), *process, tree->tree, problems);
    std::size_t warnings = 0;
    if (line.has("configuration"))
        warnings = checkConfigurationFiles(
            {line.value("configuration"), line.value("in-force"), line.value("settings")}, problems,
            inOutput.text);
    printProblems(problems, inOutput.errors);
    if (!problems.empty())
        return cExitUsage;
    const std::vector<std::string> &explainArguments = line.values("explain");
    for (std::size_t i = 0; i + 1 < explainArguments.size(); i += 2) {
        if (const int code = explain(*tree, explainArguments[i], explainArguments[i + 1], inOutput);
            code != cExitDone)
            return code;
    }
    if (explainArguments.empty() && warnings == 0)
        inOutput.text << "no problems found\n";
    return cExitDone;
}

} // namespace corneltally::apps
