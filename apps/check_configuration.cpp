#include "apps/check_configuration.h"

#include "apps/files.h"
#include "corneltally/routing/configuration_check.h"
#include "corneltally/routing/configuration_difference.h"
#include "corneltally/settings/forwarding_settings.h"
#include "platform/configuration_format.h"
#include "platform/document_codec.h"

#include <iterator>
#include <optional>
#include <ostream>

namespace corneltally::apps {

namespace {

using routing::finding;
using settings::forwarding_settings;
using settings::problem;

std::optional<routing::configuration>
decodeFile(const std::string &inPath, const std::string &inText, std::vector<problem> &ioProblems)
{
    const auto decoded = platform::decodeConfiguration(inText);
    if (decoded)
        return *decoded;
    ioProblems.push_back({inPath, 0, "", decoded.reason().message, decoded.reason().remedy});
    return std::nullopt;
}

/// Reads the settings for the regions. Their problems are reported by the check of the settings.
std::optional<forwarding_settings> readSettings(const std::string &inPath,
                                                std::vector<problem> &ioProblems)
{
    std::vector<problem> reported;
    const auto text = readFile(inPath, reported);
    if (!text)
        return std::nullopt;
    if (!forwarding_settings::sIsForwardingFile(*text)) {
        ioProblems.push_back({inPath, 0, "", "these are not the settings of a forwarding instance",
                              "name the file of one, or leave it out"});
        return std::nullopt;
    }
    const auto settings = forwarding_settings::sFromToml(*text, inPath, &reported);
    return settings ? std::optional(*settings) : std::nullopt;
}

void addRegionOfInstance(const forwarding_settings &inSettings, std::vector<finding> &ioFindings)
{
    const auto found = inSettings.regions.find(inSettings.failureDomain);
    const std::string region = found == inSettings.regions.end() ? "none" : found->second;
    if (!inSettings.region.empty() && region != inSettings.region)
        ioFindings.push_back({finding::severity::warning, "settings",
                              "instance.region is " + inSettings.region + ", but [regions] has "
                                  + region + " for its failure domain " + inSettings.failureDomain,
                              "use the same region in both"});
}

} // namespace

std::size_t checkConfigurationFiles(const configuration_files &inFiles,
                                    std::vector<problem> &ioProblems, std::ostream &outText)
{
    const auto text = readFile(inFiles.configuration, ioProblems);
    if (!text)
        return 0;
    std::vector<finding> findings = routing::findingsOf(platform::findMemberFaults(*text));
    const auto add = [&findings](std::vector<finding> inMore) {
        findings.insert(findings.end(), std::make_move_iterator(inMore.begin()),
                        std::make_move_iterator(inMore.end()));
    };
    std::optional<forwarding_settings> settings;
    if (!inFiles.settings.empty())
        settings = readSettings(inFiles.settings, ioProblems);
    if (settings)
        addRegionOfInstance(*settings, findings);
    if (const auto checked = decodeFile(inFiles.configuration, *text, ioProblems)) {
        add(routing::checkConfiguration(*checked, settings ? &settings->regions : nullptr));
        std::optional<std::string> before;
        if (!inFiles.inForce.empty())
            before = readFile(inFiles.inForce, ioProblems);
        if (before) {
            if (const auto inForce = decodeFile(inFiles.inForce, *before, ioProblems))
                add(routing::compareConfigurations(*inForce, *checked));
        }
    }
    std::size_t warnings = 0;
    for (const finding &entry : findings) {
        if (entry.kind == finding::severity::error) {
            ioProblems.push_back(
                {inFiles.configuration, 0, entry.entry, entry.message, entry.remedy});
        } else if (entry.kind == finding::severity::warning) {
            ++warnings;
            outText << "warning: "
                    << settings::toText(
                           {inFiles.configuration, 0, entry.entry, entry.message, entry.remedy})
                    << '\n';
        } else {
            outText << "difference: " << entry.entry << ": " << entry.message << '\n';
        }
    }
    return warnings;
}

} // namespace corneltally::apps
