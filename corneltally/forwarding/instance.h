#pragma once

#include <functional>
#include <optional>

namespace corneltally::settings {
struct forwarding_settings;
}

namespace corneltally::forwarding {

/// Runs a forwarding instance until SIGTERM has drained it. inReload reads the settings file again;
/// it reports problems itself and gives nothing if there are any. Returns the exit code.
int runInstance(const settings::forwarding_settings &inSettings,
                const std::function<std::optional<settings::forwarding_settings>()> &inReload);

} // namespace corneltally::forwarding
