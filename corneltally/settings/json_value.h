#pragma once

#include "corneltally/settings/setting_value.h"

#include <optional>

#include <nlohmann/json.hpp>

namespace corneltally::settings {

/// JSON form of a value.
nlohmann::json toJsonValue(const setting_value &inValue);

/// The value of a JSON text element; empty if no setting has such a type.
std::optional<setting_value> fromJsonValue(const nlohmann::json &inJson);

} // namespace corneltally::settings
