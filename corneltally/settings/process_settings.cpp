#include "corneltally/settings/process_settings.h"

#include "corneltally/settings/nearest_name.h"
#include "corneltally/settings/toml_document.h"

#include <algorithm>
#include <array>
#include <limits>

namespace corneltally::settings {

namespace {

using table_key = process_settings::table_key;

constexpr std::string_view cPeerTable = "peer_addresses";
constexpr std::string_view cEndpointTable = "endpoint_addresses";
constexpr std::string_view cTestTable = "test";

struct file_check
{
    std::string file;
    process_settings settings;
    std::vector<problem> problems;
    /// Known keys that the file contains, as "table.key".
    std::vector<std::string> found;
    /// Addresses, each with the first key that contains it.
    std::map<std::string, std::string> addresses;

    void report(int inLine, std::string inKey, std::string inMessage, std::string inRemedy)
    {
        problems.push_back(
            {file, inLine, std::move(inKey), std::move(inMessage), std::move(inRemedy)});
    }
};

std::string qualified(std::string_view inTable, std::string_view inKey)
{
    return std::string(inTable) + "." + std::string(inKey);
}

std::string *textTarget(process_settings &ioSettings, std::string_view inQualified)
{
    if (inQualified == "instance.name")
        return &ioSettings.instanceName;
    if (inQualified == "instance.failure_domain")
        return &ioSettings.failureDomain;
    if (inQualified == "listen.callers")
        return &ioSettings.callers;
    if (inQualified == "listen.operators")
        return &ioSettings.operators;
    if (inQualified == "listen.peers")
        return &ioSettings.peers;
    return &ioSettings.platformAddress;
}

std::int64_t *limitTarget(process_limits &ioLimits, std::string_view inKey)
{
    if (inKey == "max_connections")
        return &ioLimits.maxConnections;
    if (inKey == "max_body_bytes")
        return &ioLimits.maxBodyBytes;
    if (inKey == "request_timeout_ms")
        return &ioLimits.requestTimeoutMs;
    if (inKey == "idle_timeout_ms")
        return &ioLimits.idleTimeoutMs;
    return &ioLimits.maxUnsentBytes;
}

std::string suggestion(std::string_view inName, const std::vector<std::string_view> &inCandidates)
{
    const std::string_view nearest = nearestName(inName, inCandidates);
    if (!nearest.empty())
        return "did you mean \"" + std::string(nearest) + "\"?";
    std::string text = "remove it; known here:";
    for (const std::string_view candidate : inCandidates)
        text += " " + std::string(candidate);
    return text;
}

void checkAddress(file_check &ioCheck, const std::string &inKey, const std::string &inAddress,
                  int inLine)
{
    if (!isAddress(inAddress, false))
        return;
    const auto [other, isNew] = ioCheck.addresses.emplace(inAddress, inKey);
    if (!isNew)
        ioCheck.report(inLine, inKey, inAddress + " is also the address of " + other->second,
                       "use a different address for each");
}

void readNamedAddress(file_check &ioCheck, const toml_document::entry &inEntry)
{
    static constexpr key_definition cDefinition{"", value_type::address, "", "", 0, 0, ""};
    const bool isPeer = inEntry.table.front() == cPeerTable;
    const std::string key = qualified(inEntry.table.front(), inEntry.key);
    if (!isName(inEntry.key)) {
        const std::string kind = isPeer ? "instance" : "endpoint";
        ioCheck.report(inEntry.line, key, "not a valid " + kind + " name",
                       "use the name of an " + kind + " of the settings tree");
    }
    const auto failure = inEntry.value
        ? checkValue(cDefinition, *inEntry.value)
        : value_problem{"wrong type", "write an address \"ip:port\""};
    if (failure) {
        ioCheck.report(inEntry.line, key, failure->message, failure->remedy);
        return;
    }
    const auto &address = std::get<std::string>(*inEntry.value);
    checkAddress(ioCheck, key, address, inEntry.line);
    auto &target = isPeer ? ioCheck.settings.peerAddresses : ioCheck.settings.endpointAddresses;
    target[inEntry.key] = address;
}

std::vector<std::string_view> tableNames()
{
    std::vector<std::string_view> names;
    for (const table_key &entry : process_settings::sKeys()) {
        if (std::ranges::find(names, entry.table) == names.end())
            names.push_back(entry.table);
    }
    names.push_back(cPeerTable);
    names.push_back(cEndpointTable);
    return names;
}

void readTable(file_check &ioCheck, const toml_document::entry &inEntry)
{
    if (!inEntry.table.empty()) {
        const std::string key = qualified(inEntry.table.front(), inEntry.key);
        ioCheck.report(inEntry.line, key, "a table is not expected here", "remove it");
    } else if (inEntry.key == cTestTable) {
        return; // Absent from tableNames(), so that no message suggests it.
    } else if (const auto names = tableNames();
               std::ranges::find(names, inEntry.key) == names.end()) {
        ioCheck.report(inEntry.line, inEntry.key, "unknown table", suggestion(inEntry.key, names));
    }
}

void readKnownValue(file_check &ioCheck, const toml_document::entry &inEntry,
                    const table_key &inKey)
{
    const std::string key = qualified(inKey.table, inEntry.key);
    ioCheck.found.push_back(key);
    // No key of this file accepts a list, so an empty one makes a value of an unsupported type
    // fail.
    const setting_value value = inEntry.value.value_or(std::vector<std::string>());
    if (const auto failure = checkValue(inKey.definition, value)) {
        ioCheck.report(inEntry.line, key, failure->message, failure->remedy);
    } else if (const auto *integer = std::get_if<std::int64_t>(&value)) {
        *limitTarget(ioCheck.settings.limits, inEntry.key) = *integer;
    } else {
        const auto &text = std::get<std::string>(value);
        *textTarget(ioCheck.settings, key) = text;
        checkAddress(ioCheck, key, text, inEntry.line);
    }
}

void readBrokenGuard(file_check &ioCheck, const toml_document::entry &inEntry)
{
    static constexpr std::array<std::string_view, 4> cGuards{"claim", "fence", "shares",
                                                             "withdraw"};
    const std::string *guard = inEntry.value ? std::get_if<std::string>(&*inEntry.value) : nullptr;
    if (inEntry.key != "break" || guard == nullptr
        || std::ranges::find(cGuards, *guard) == cGuards.end()) {
        ioCheck.report(inEntry.line, qualified(cTestTable, inEntry.key), "unknown test setting",
                       R"(write break = "claim", "fence", "shares" or "withdraw")");
        return;
    }
    ioCheck.settings.brokenGuard = *guard;
}

void readEntry(file_check &ioCheck, const toml_document::entry &inEntry)
{
    if (inEntry.isTable) {
        readTable(ioCheck, inEntry);
        return;
    }
    if (inEntry.table.empty()) {
        ioCheck.report(inEntry.line, inEntry.key, "the value is outside of a table",
                       suggestion(inEntry.key, tableNames()));
        return;
    }
    if (inEntry.table.size() > 1)
        return; // readTable() reported the nested table.
    const std::string &table = inEntry.table.front();
    if (table == cPeerTable || table == cEndpointTable) {
        readNamedAddress(ioCheck, inEntry);
        return;
    }
    if (table == cTestTable) {
        readBrokenGuard(ioCheck, inEntry);
        return;
    }
    std::vector<std::string_view> known;
    for (const table_key &candidate : process_settings::sKeys()) {
        if (candidate.table != table)
            continue;
        if (candidate.definition.key == inEntry.key) {
            readKnownValue(ioCheck, inEntry, candidate);
            return;
        }
        known.push_back(candidate.definition.key);
    }
    if (!known.empty())
        ioCheck.report(inEntry.line, qualified(table, inEntry.key), "unknown key",
                       suggestion(inEntry.key, known));
}

} // namespace

const std::vector<table_key> &process_settings::sKeys()
{
    using enum value_type;
    static const std::vector<table_key> sTable{
        {"instance", true, {"name", name, "", "", 0, 0, ""}},
        {"instance", true, {"failure_domain", name, "", "", 0, 0, ""}},
        {"listen", true, {"callers", listen_address, "", "", 0, 0, ""}},
        {"listen", true, {"operators", listen_address, "", "", 0, 0, ""}},
        {"listen", true, {"peers", listen_address, "", "", 0, 0, ""}},
        {"platform", true, {"address", address, "", "", 0, 0, ""}},
        {"limits", false, {"max_connections", integer, "connections", "10000", 1, 1e6, ""}},
        {"limits", false, {"max_body_bytes", integer, "bytes", "1048576", 1024, 1048576, ""}},
        {"limits", false, {"request_timeout_ms", integer, "milliseconds", "10000", 100, 6e5, ""}},
        {"limits", false, {"idle_timeout_ms", integer, "milliseconds", "75000", 100, 36e5, ""}},
        {"limits", false, {"max_unsent_bytes", integer, "bytes", "1048576", 4096, 67108864, ""}},
    };
    return sTable;
}

core::result<process_settings> process_settings::sFromToml(std::string_view inText,
                                                           std::string_view inFile,
                                                           std::vector<problem> *outProblems)
{
    file_check check{.file = std::string(inFile)};
    const toml_document document = toml_document::sParse(inText, inFile, check.problems);
    const bool readable = check.problems.empty();
    for (const toml_document::entry &entry : document.entries())
        readEntry(check, entry);
    for (const table_key &entry : sKeys()) {
        const std::string key = qualified(entry.table, entry.definition.key);
        if (readable && entry.required && std::ranges::find(check.found, key) == check.found.end())
            check.report(0, key, "required key is missing",
                         "add it to [" + std::string(entry.table) + "]");
    }
    std::ranges::stable_sort(check.problems, {}, [](const problem &inProblem) {
        return inProblem.line > 0 ? inProblem.line : std::numeric_limits<int>::max();
    });
    if (outProblems != nullptr)
        *outProblems = check.problems;
    if (!check.problems.empty())
        return toError(check.problems);
    return check.settings;
}

} // namespace corneltally::settings
