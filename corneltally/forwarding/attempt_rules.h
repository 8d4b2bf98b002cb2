#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/routing/route.h"

#include <string_view>

namespace corneltally::forwarding {

/// Whether a request has run, as far as its attempts so far prove it.
enum class run_state {
    /// No endpoint has run the request or will run it.
    not_run,
    /// An endpoint ran the request.
    ran,
    /// An endpoint may have run the request or may still run it.
    unknown,
};

std::string_view toString(run_state inState);

/// Result of an attempt at one endpoint.
enum class attempt_result {
    /// No byte reached the endpoint.
    not_sent,
    /// The endpoint stated that it did not run the request.
    refused,
    /// The endpoint ran the request and answered with a failure.
    failure_answered,
    /// The connection broke, or the received bytes are not a valid answer.
    broken,
};

/// Inputs to the decision that follows an unsuccessful attempt.
struct attempt_facts
{
    attempt_result result = attempt_result::broken;
    routing::repetition kind = routing::repetition::once;
    /// Number of endpoints that the request was sent to, including this one.
    int endpointsUsed = 1;
    int maxEndpoints = 1;
    /// Whether a part of an answer was already sent to the caller.
    bool answerStarted = false;
    /// Run state after the previous attempts.
    run_state stateBefore = run_state::not_run;
    core::duration timeLeft{};
};

/// Action after an unsuccessful attempt.
enum class next_step {
    /// Send the request to another endpoint if one is available and the retry budget allows it.
    try_other,
    /// Refuse the request; the caller may retry it.
    refuse,
    /// Forward the endpoint's failure to the caller.
    pass_failure,
    /// Answer that the outcome is unknown.
    answer_unknown,
    /// Abort the answer that was already started.
    abort,
};

/// An attempt is started only if at least this much time is left.
inline constexpr core::duration cMinAttemptTime = std::chrono::milliseconds(30);

/// Returns the run state after an attempt.
run_state runStateAfter(const attempt_facts &inFacts);

/// Returns the action after an attempt. If try_other is not possible, call it again with
/// endpointsUsed set to maxEndpoints.
next_step stepAfter(const attempt_facts &inFacts);

} // namespace corneltally::forwarding
