#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/routing/route.h"

#include <string_view>

namespace corneltally::forwarding {

/// What is proven of the runs of a request so far.
enum class run_state {
    /// It did not run and never will.
    not_run,
    /// An endpoint ran it.
    ran,
    /// It may have run, or may run yet.
    unknown,
};

std::string_view toString(run_state inState);

/// How an attempt at one endpoint ended.
enum class attempt_result {
    /// No byte reached the endpoint.
    not_sent,
    /// The endpoint states that it did not run the request.
    refused,
    /// A failure that the endpoint answered after it had run the request.
    failure_answered,
    /// The connection broke, or no answer can be told from what came.
    broken,
};

/// What is known when an attempt has ended without a success.
struct attempt_facts
{
    attempt_result result = attempt_result::broken;
    routing::repetition kind = routing::repetition::once;
    /// Endpoints to which the request was sent, this one included.
    int endpointsUsed = 1;
    int maxEndpoints = 1;
    /// Whether the caller has already got a part of an answer.
    bool answerStarted = false;
    /// Statement on the attempts before this one.
    run_state stateBefore = run_state::not_run;
    core::duration timeLeft{};
};

/// What to do next.
enum class next_step {
    /// Send the request to another endpoint, if one is there and the retry budget allows it.
    try_other,
    /// Refuse it: the caller may come again.
    refuse,
    /// Pass the endpoint's failure on.
    pass_failure,
    /// Answer that the outcome is unknown.
    answer_unknown,
    /// Break the answer off that was begun.
    abort,
};

/// Least time for which another attempt is worth while.
inline constexpr core::duration cMinAttemptTime = std::chrono::milliseconds(30);

/// Statement after an attempt.
run_state runStateAfter(const attempt_facts &inFacts);

/// Next step after an attempt. If try_other is not possible, ask again with endpointsUsed at the
/// maximum.
next_step stepAfter(const attempt_facts &inFacts);

} // namespace corneltally::forwarding
