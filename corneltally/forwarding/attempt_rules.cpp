#include "corneltally/forwarding/attempt_rules.h"

namespace corneltally::forwarding {

std::string_view toString(run_statement inStatement)
{
    switch (inStatement) {
    case run_statement::not_run:
        return "not_run";
    case run_statement::ran:
        return "ran";
    case run_statement::unknown:
        break;
    }
    return "unknown";
}

run_statement statementAfter(const attempt_facts &inFacts)
{
    switch (inFacts.end) {
    case attempt_end::not_sent:
    case attempt_end::refused:
        return inFacts.before;
    case attempt_end::failure_answered:
        return run_statement::ran;
    case attempt_end::broken:
        break;
    }
    return inFacts.before == run_statement::ran ? run_statement::ran : run_statement::unknown;
}

next_step stepAfter(const attempt_facts &inFacts)
{
    const bool repeatable = routing::mayRepeat(inFacts.kind);
    const run_statement statement = statementAfter(inFacts);
    const bool mayGoOn = statement == run_statement::not_run || repeatable;
    // An attempt that reached nobody does not count against the endpoints of a request.
    const bool endpointsLeft
        = inFacts.end == attempt_end::not_sent || inFacts.endpointsUsed < inFacts.maxEndpoints;
    if (inFacts.answerBegun && inFacts.kind != routing::repetition::resumable_stream)
        return next_step::abort;
    if (mayGoOn && endpointsLeft && inFacts.timeLeft >= cLeastAttemptTime)
        return next_step::try_other;
    if (inFacts.answerBegun)
        return next_step::abort;
    if (inFacts.end == attempt_end::failure_answered)
        return next_step::pass_failure;
    // A repeatable request may come again whatever became of it.
    return statement == run_statement::not_run ? next_step::refuse : next_step::answer_unknown;
}

} // namespace corneltally::forwarding
