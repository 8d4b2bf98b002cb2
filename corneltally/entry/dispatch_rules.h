#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/entry/run_event.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace corneltally::entry {

/// Properties of a failed attempt that decide whether the run may be attempted again.
struct failed_attempt
{
    run_outcome outcome = run_outcome::unknown;
    bool repeatable = false;
    /// A part of the answer was passed on to the caller.
    bool partDelivered = false;
    /// Attempts made so far.
    int attempts = 1;
    core::duration remaining{};
};

/// Maximum number of attempts for one request.
inline constexpr int cMaxAttempts = 4;

/// Whether another attempt is safe: nothing ran or the route is repeatable, no part of the answer
/// was passed on to the caller, and attempts and time remain.
bool mayRepeat(const failed_attempt &inAttempt);

/// Delay before the next attempt, with full jitter: uniform between 0 and a bound that doubles with
/// each attempt up to a maximum.
core::duration retryDelay(int inAttempts, std::uint64_t inRandom);

/// An application endpoint that could serve a request.
struct service_option
{
    std::string_view name;
    bool sameDomain = false;
    bool mayStart = true;
    /// An earlier attempt of the request failed there.
    bool excluded = false;
    int outstanding = 0;
    /// Share of the load that the endpoint's health permits, from 0 (none) to 1 (healthy).
    double healthWeight = 1;
};

/// Index of the best endpoint for a request, or nothing if none may be used. Prefers endpoints
/// where no attempt of the request failed, then the own failure domain, then the fewest outstanding
/// requests relative to health.
std::optional<std::size_t> chooseService(std::span<const service_option> inOptions,
                                         std::uint64_t inRandom);

/// Whether a new status of an endpoint replaces the known one. The greater fencing number wins, so
/// that a replaced owner that is still live does not overwrite the status from its successor.
/// Any status replaces that of an owner that is no longer live.
bool replacesStatus(std::uint64_t inKnownFence, bool inKnownOwnerLive, std::uint64_t inNewFence);

} // namespace corneltally::entry
