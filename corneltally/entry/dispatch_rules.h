#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/entry/run_event.h"

#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace corneltally::entry {

/// What decides whether an attempt that failed may be followed by another one.
struct failed_attempt
{
    run_outcome outcome = run_outcome::unknown;
    bool repeatable = false;
    /// A part of the answer reached the caller.
    bool partDelivered = false;
    /// Attempts made so far.
    int attempts = 1;
    core::duration remaining{};
};

/// Attempts for one request.
inline constexpr int cMaxAttempts = 4;

/// Whether another attempt cannot break a promise: nothing ran, or the route is repeatable, and no
/// part of the answer reached the caller.
bool mayRepeat(const failed_attempt &inAttempt);

/// Delay before an attempt with full jitter: uniform between 0 and a bound that doubles with each
/// attempt.
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
    /// From 0 (none) to 1 (healthy).
    double healthWeight = 1;
};

/// Index of the endpoint for a request: one that did not fail it, of the own failure domain, with
/// the least outstanding requests for its health. Nothing if none may be used.
std::optional<std::size_t> chooseService(std::span<const service_option> inOptions,
                                         std::uint64_t inRandom);

/// Whether a report about an endpoint replaces the known one. The greater fencing number wins, so
/// that the reports of an owner that was replaced do not come back while it is still heard.
bool replacesStatus(std::uint64_t inKnownFence, bool inKnownOwnerLive, std::uint64_t inNewFence);

} // namespace corneltally::entry
