#pragma once

#include "corneltally/settings/setting_value.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace corneltally::settings {

/// Converts a value to JSON.
nlohmann::json toJsonValue(const setting_value &inValue);

/// Converts JSON to a value; empty if the JSON type is not a type of settings.
std::optional<setting_value> fromJsonValue(const nlohmann::json &inJson);

} // namespace corneltally::settings
