#include "corneltally/settings/change.h"

#include "corneltally/settings/json_value.h"

namespace corneltally::settings {

namespace {

using nlohmann::json;

core::error malformed(const std::string &inWhat)
{
    return {core::error_kind::invalid_request, "the change is malformed: " + inWhat,
            "use {\"set\":[{\"path\",\"key\",\"value\"}],\"remove\":[path]}"};
}

std::optional<core::error> readAssignments(const json &inJson, change &ioChange)
{
    if (!inJson.is_array())
        return malformed("\"set\" is not a list");
    for (const json &entry : inJson) {
        if (!entry.is_object() || !entry.contains("path") || !entry["path"].is_string()
            || !entry.contains("key") || !entry["key"].is_string() || !entry.contains("value")
            || entry.size() != 3)
            return malformed("an entry of \"set\" needs exactly path, key and value");
        change::assignment next{entry["path"], entry["key"], std::nullopt};
        if (!entry["value"].is_null()) {
            next.value = fromJsonValue(entry["value"]);
            if (!next.value)
                return malformed("the value of " + next.path.substr(0, 200) + " "
                                 + next.key.substr(0, 200) + " is of an unsupported type");
        }
        ioChange.set.push_back(std::move(next));
    }
    return std::nullopt;
}

std::optional<core::error> readMember(const std::string &inName, const json &inJson,
                                      change &ioChange)
{
    if (inName == "id" || inName == "author") {
        if (!inJson.is_string())
            return malformed("\"" + inName + "\" is not a string");
        (inName == "id" ? ioChange.id : ioChange.author) = inJson.get<std::string>();
    } else if (inName == "base") {
        if (!inJson.is_object())
            return malformed("\"base\" is not an object");
        for (const auto &[path, version] : inJson.items()) {
            if (!version.is_number_unsigned())
                return malformed("a version in \"base\" is not a whole number");
            ioChange.base[path] = version.get<std::uint64_t>();
        }
    } else if (inName == "set") {
        return readAssignments(inJson, ioChange);
    } else if (inName == "remove") {
        const auto paths = fromJsonValue(inJson);
        if (!paths || !std::holds_alternative<std::vector<std::string>>(*paths))
            return malformed("\"remove\" is not a list of paths");
        ioChange.remove = std::get<std::vector<std::string>>(*paths);
    } else {
        return malformed("unknown member \"" + inName.substr(0, 200) + "\"");
    }
    return std::nullopt;
}

} // namespace

std::string change::toJson() const
{
    json assignments = json::array();
    for (const assignment &entry : set)
        assignments.push_back({{"path", entry.path},
                               {"key", entry.key},
                               {"value", entry.value ? toJsonValue(*entry.value) : json()}});
    const json record{{"id", id},
                      {"author", author},
                      {"base", json::object()},
                      {"set", std::move(assignments)},
                      {"remove", remove}};
    json result = record;
    for (const auto &[path, version] : base)
        result["base"][path] = version;
    return result.dump(-1, ' ', false, json::error_handler_t::replace);
}

core::result<change> change::sFromJson(std::string_view inText)
{
    const json document = json::parse(inText, nullptr, false);
    if (!document.is_object())
        return malformed("it is not a JSON object");
    change result;
    for (const auto &[name, value] : document.items()) {
        if (auto reason = readMember(name, value, result))
            return *std::move(reason);
    }
    return result;
}

} // namespace corneltally::settings
