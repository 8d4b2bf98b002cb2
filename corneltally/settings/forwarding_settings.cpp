#include "corneltally/settings/forwarding_settings.h"

#include "corneltally/settings/nearest_name.h"
#include "corneltally/settings/toml_document.h"

#include <algorithm>
#include <limits>
#include <variant>

namespace corneltally::settings {

namespace {

/// A table with keys of any name, whose values are texts.
using text_table = std::map<std::string, std::string, std::less<>>;

using target_member
    = std::variant<std::string forwarding_settings::*, std::int64_t forwarding_settings::*,
                   double forwarding_settings::*, bool forwarding_settings::*,
                   text_table forwarding_settings::*>;

struct known_key
{
    forwarding_settings::table_key key;
    target_member target;

    bool hasAnyName() const
    {
        return std::holds_alternative<text_table forwarding_settings::*>(target);
    }
    bool matches(std::string_view inTable, std::string_view inKey) const
    {
        return key.table == inTable && (key.definition.key == inKey || hasAnyName());
    }
};

const std::vector<known_key> &knownKeys()
{
    using enum value_type;
    using self = forwarding_settings;
    static const std::vector<known_key> sKeys{
        {{"instance", true, {"name", name, "", "", 0, 0, ""}}, &self::instanceName},
        {{"instance", true, {"failure_domain", name, "", "", 0, 0, ""}}, &self::failureDomain},
        {{"instance", false, {"region", name, "", "", 0, 0, ""}}, &self::region},
        {{"instance", true, {"machine", name, "", "", 0, 0, ""}}, &self::machine},
        {{"listen", true, {"callers", listen_address, "", "", 0, 0, ""}}, &self::callers},
        {{"listen", true, {"operators", listen_address, "", "", 0, 0, ""}}, &self::operators},
        {{"listen", true, {"peers", listen_address, "", "", 0, 0, ""}}, &self::peers},
        {{"store", true, {"address", address, "", "", 0, 0, ""}}, &self::storeAddress},
        {{"store", false, {"seeds", text, "", "", 0, 0, ""}}, &self::seeds},
        {{"limits", false, {"stop_ms", integer, "milliseconds", "8000", 500, 6e5, ""}},
         &self::stopMs},
        {{"limits", false, {"memory_mb", integer, "MB", "512", 64, 1e6, ""}}, &self::memoryMb},
        {{"limits", false, {"holder_pause_ms", integer, "milliseconds", "3000", 0, 6e4, ""}},
         &self::holderPauseMs},
        {{"retries", false, {"ratio", number, "", "0.2", 0, 10, ""}}, &self::retryRatio},
        {{"retries", false, {"window_ms", integer, "milliseconds", "10000", 100, 6e5, ""}},
         &self::retryWindowMs},
        {{"retries", false, {"slack", number, "requests", "0", 0, 1e6, ""}}, &self::retrySlack},
        {{"evacuation", false, {"within_ms", integer, "milliseconds", "0", 0, 6e5, ""}},
         &self::evacuationMs},
        {{"engines", false, {"adapter_load_ms", integer, "milliseconds", "250", 1, 6e4, ""}},
         &self::adapterLoadMs},
        {{"engines", false, {"prompt_tokens_per_ms", number, "tokens/ms", "40", 0.01, 1e6, ""}},
         &self::promptTokensPerMs},
        {{"engines", false, {"learn_speed", boolean, "", "false", 0, 0, ""}}, &self::learnsSpeed},
        {{"regions", false, {"<failure_domain>", name, "", "", 0, 0, ""}}, &self::regions},
        {{"cold", false, {"over", number, "", "0", 0, 1000, ""}}, &self::coldOver},
        {{"cold", false, {"slack", number, "requests", "0", 0, 1e6, ""}}, &self::coldSlack},
        {{"overload", false, {"weigh_requests", boolean, "", "false", 0, 0, ""}},
         &self::weighsOverload},
    };
    return sKeys;
}

std::string qualified(std::string_view inTable, std::string_view inKey)
{
    return std::string(inTable) + "." + std::string(inKey);
}

void assign(forwarding_settings &ioSettings, const target_member &inTarget,
            const std::string &inKey, const setting_value &inValue)
{
    if (const auto *table = std::get_if<text_table forwarding_settings::*>(&inTarget)) {
        (ioSettings.*(*table))[inKey] = std::get<std::string>(inValue);
    } else if (const auto *text = std::get_if<std::string forwarding_settings::*>(&inTarget)) {
        ioSettings.*(*text) = std::get<std::string>(inValue);
    } else if (const auto *integer = std::get_if<std::int64_t forwarding_settings::*>(&inTarget)) {
        ioSettings.*(*integer) = std::get<std::int64_t>(inValue);
    } else if (const auto *flag = std::get_if<bool forwarding_settings::*>(&inTarget)) {
        ioSettings.*(*flag) = std::get<bool>(inValue);
    } else {
        const auto *whole = std::get_if<std::int64_t>(&inValue);
        ioSettings.*std::get<double forwarding_settings::*>(inTarget)
            = whole != nullptr ? static_cast<double>(*whole) : std::get<double>(inValue);
    }
}

problem unknownKey(std::string_view inFile, const toml_document::entry &inEntry,
                   const std::string &inKey)
{
    std::vector<std::string_view> candidates;
    for (const known_key &entry : knownKeys())
        candidates.push_back(inEntry.isTable ? entry.key.table : entry.key.definition.key);
    const std::string_view nearest = nearestName(inEntry.key, candidates);
    return {std::string(inFile), inEntry.line, inKey,
            inEntry.isTable ? "unknown table" : "unknown key",
            nearest.empty() ? "remove it" : "did you mean \"" + std::string(nearest) + "\"?"};
}

} // namespace

std::vector<forwarding_settings::table_key> forwarding_settings::sKeys()
{
    std::vector<table_key> keys;
    for (const known_key &entry : knownKeys())
        keys.push_back(entry.key);
    return keys;
}

bool forwarding_settings::sIsForwardingFile(std::string_view inText)
{
    return inText.starts_with("[store]") || inText.find("\n[store]") != std::string_view::npos;
}

core::result<forwarding_settings> forwarding_settings::sFromToml(std::string_view inText,
                                                                 std::string_view inFile,
                                                                 std::vector<problem> *outProblems)
{
    forwarding_settings settings;
    std::vector<problem> problems;
    const toml_document document = toml_document::sParse(inText, inFile, problems);
    const bool readable = problems.empty();
    std::vector<std::string> found;
    for (const toml_document::entry &entry : document.entries()) {
        const std::string table = entry.table.empty() ? std::string() : entry.table.front();
        const std::string key = entry.isTable ? entry.key : qualified(table, entry.key);
        const auto known = std::ranges::find_if(knownKeys(), [&](const known_key &inKnown) {
            return entry.isTable ? inKnown.key.table == entry.key
                                 : inKnown.matches(table, entry.key);
        });
        if (known == knownKeys().end()) {
            problems.push_back(unknownKey(inFile, entry, key));
            continue;
        }
        if (entry.isTable)
            continue;
        found.push_back(key);
        const setting_value value = entry.value.value_or(std::vector<std::string>());
        if (known->hasAnyName() && !isName(entry.key))
            problems.push_back({std::string(inFile), entry.line, key, "the key is not a name",
                                "use letters, digits, '.', '_' and '-'"});
        else if (const auto failure = checkValue(known->key.definition, value))
            problems.push_back(
                {std::string(inFile), entry.line, key, failure->message, failure->remedy});
        else
            assign(settings, known->target, entry.key, value);
    }
    for (const known_key &entry : knownKeys()) {
        const std::string key = qualified(entry.key.table, entry.key.definition.key);
        if (readable && entry.key.required && std::ranges::find(found, key) == found.end())
            problems.push_back({std::string(inFile), 0, key, "required key is missing",
                                "add it to [" + std::string(entry.key.table) + "]"});
    }
    std::ranges::stable_sort(problems, {}, [](const problem &inProblem) {
        return inProblem.line > 0 ? inProblem.line : std::numeric_limits<int>::max();
    });
    if (outProblems != nullptr)
        *outProblems = problems;
    if (!problems.empty())
        return toError(problems);
    return settings;
}

} // namespace corneltally::settings
