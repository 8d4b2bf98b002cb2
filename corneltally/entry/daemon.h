#pragma once

namespace corneltally::settings {
struct process_settings;
}

namespace corneltally::entry {

/// Runs an entry instance until it is drained or superseded. Returns the exit code of the process.
int runEntry(const settings::process_settings &inSettings);

} // namespace corneltally::entry
