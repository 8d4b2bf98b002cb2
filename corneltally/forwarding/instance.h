#pragma once

#include <functional>
#include <optional>

namespace corneltally::settings {
struct forwarding_settings;
}

namespace corneltally::forwarding {

/// Runs a forwarding instance until it has drained after SIGTERM or SIGINT, and returns the exit
/// code. inReload reads the settings file again; it reports errors itself and returns nothing if
/// there are any.
int runInstance(const settings::forwarding_settings &inSettings,
                const std::function<std::optional<settings::forwarding_settings>()> &inReload);

} // namespace corneltally::forwarding
