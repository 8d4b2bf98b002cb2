#include "corneltally/forwarding/attempt_rules.h"

namespace corneltally::forwarding {

std::string_view toString(run_state inState)
{
    switch (inState) {
    case run_state::not_run:
        return "not_run";
    case run_state::ran:
        return "ran";
    case run_state::unknown:
        break;
    }
    return "unknown";
}

run_state runStateAfter(const attempt_facts &inFacts)
{
    switch (inFacts.result) {
    case attempt_result::not_sent:
    case attempt_result::refused:
        return inFacts.stateBefore;
    case attempt_result::failure_answered:
        return run_state::ran;
    case attempt_result::broken:
        break;
    }
    return inFacts.stateBefore == run_state::ran ? run_state::ran : run_state::unknown;
}

next_step stepAfter(const attempt_facts &inFacts)
{
    const bool repeatable = routing::mayRepeat(inFacts.kind);
    const run_state state = runStateAfter(inFacts);
    const bool maySendAgain = state == run_state::not_run || repeatable;
    // An attempt that sent nothing does not count towards maxEndpoints.
    const bool endpointsLeft = inFacts.result == attempt_result::not_sent
        || inFacts.endpointsUsed < inFacts.maxEndpoints;
    if (inFacts.answerStarted && inFacts.kind != routing::repetition::resumable_stream)
        return next_step::abort;
    if (maySendAgain && endpointsLeft && inFacts.timeLeft >= cMinAttemptTime)
        return next_step::try_other;
    if (inFacts.answerStarted)
        return next_step::abort;
    if (inFacts.result == attempt_result::failure_answered)
        return next_step::pass_failure;
    // A refusal states that the request has not run. The caller may retry a repeatable request
    // after either answer.
    return state == run_state::not_run ? next_step::refuse : next_step::answer_unknown;
}

} // namespace corneltally::forwarding
