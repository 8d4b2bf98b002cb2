#include "corneltally/settings/json_value.h"

#include <limits>

namespace corneltally::settings {

nlohmann::json toJsonValue(const setting_value &inValue)
{
    return std::visit([](const auto &inContent) { return nlohmann::json(inContent); }, inValue);
}

std::optional<setting_value> fromJsonValue(const nlohmann::json &inJson)
{
    if (inJson.is_boolean())
        return inJson.get<bool>();
    if (inJson.is_number_unsigned()
        && inJson.get<std::uint64_t>()
            > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max()))
        return std::nullopt;
    if (inJson.is_number_integer())
        return inJson.get<std::int64_t>();
    if (inJson.is_number_float())
        return inJson.get<double>();
    if (inJson.is_string())
        return inJson.get<std::string>();
    if (!inJson.is_array())
        return std::nullopt;
    std::vector<std::string> list;
    for (const nlohmann::json &entry : inJson) {
        if (!entry.is_string())
            return std::nullopt;
        list.push_back(entry.get<std::string>());
    }
    return list;
}

} // namespace corneltally::settings
