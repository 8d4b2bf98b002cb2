#include "corneltally/core/digest.h"
#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/forwarding/forward_context.h"
#include "corneltally/forwarding/forwarded_request.h"

#include <algorithm>
#include <string>

namespace corneltally::forwarding {

namespace {

using milliseconds = std::chrono::duration<double, std::milli>;
using rule = scheduling::overload_decision::rule;

/// Time of an engine's step, which generates a token of each answer in progress.
constexpr double cStepMs = 5;

long long inMs(core::duration inDuration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(inDuration).count();
}

core::duration fromMs(double inMilliseconds)
{
    return std::chrono::duration_cast<core::duration>(milliseconds(inMilliseconds));
}

/// Number in [0, 1) for a request. A caller may use the id again when it returns, so that the time
/// of arrival is part of it.
double drawOf(std::string_view inRequestId, core::time_point inArrived)
{
    constexpr std::uint64_t cSteps = 1'000'000;
    const std::uint64_t hash = core::stableHash(
        std::to_string(inArrived.time_since_epoch().count()), core::stableHash(inRequestId));
    return static_cast<double>(hash % cSteps) / static_cast<double>(cSteps);
}

/// Texts are label values and must stay as they are.
std::string_view reasonOf(rule inRule)
{
    return inRule == rule::shed_priority ? "overload: more important requests are served less often"
        : inRule == rule::shed_late      ? "overload: the request would be too late for its work"
                                         : "the estimated wait is longer than the time left";
}

} // namespace

/// Properties of the request that the overload policy weighs, for the chosen endpoint.
scheduling::overload_request forwarded_request::overloadRequest(core::time_point inNow) const
{
    const engines::choice_options &options = mContext.settings.choice;
    const engines::endpoint &chosen = *mContext.endpoints.find(mChoice.endpoint);
    const core::duration ahead = fromMs(mContext.endpoints.totalLoad(chosen).promptTokens
                                        / options.promptTokensPerMs * (1 + options.stepOverhead));
    const double answer = mWork.expectedTokens > 0 ? mWork.expectedTokens : mWork.answerTokens;
    core::duration work = std::max(core::duration::zero(), mChoice.prefillEstimate - ahead)
        + fromMs(answer * cStepMs / std::max(1, mWork.engineBatch));
    if (mChoice.state == engines::endpoint_choice::readiness::to_load)
        work += options.adapterLoad;
    const int priority = mPriority.value_or(mRoute->priority);
    // A route without target is served in time until its limit.
    const core::time_point target = mRoute->targetLatency > core::duration::zero()
        ? std::min(mRequest.arrived + mRoute->targetLatency, mAnswerDeadline)
        : mAnswerDeadline;
    return {.kind = mRoute->name + "/" + std::to_string(priority),
            .account = mAccount,
            .priority = priority,
            .toTarget = target - inNow,
            .toLimit = mAnswerDeadline - inNow,
            .promptTokens = mWork.promptTokens,
            .work = work,
            .estimate = mChoice.estimate,
            .backlogAhead = ahead,
            .draw = drawOf(mTerms.requestId, mRequest.arrived),
            .mayRefuse = !mAnswerStarted && mRunState == run_state::not_run,
            .isNew = !mOverload};
}

/// Decides whether the chosen endpoint is sent the request, and with which urgency. Returns false
/// if the request was refused.
bool forwarded_request::weighOverload(core::time_point inNow)
{
    const scheduling::overload_request request = overloadRequest(inNow);
    mOverload = mContext.overload.decide(mService->name, request, mContext.endpoints, inNow);
    if (mOverload->decidedBy == rule::none || (!request.isNew && !mOverload->isRefused()))
        return true;
    const std::string_view decidedBy = toString(mOverload->decidedBy);
    mContext.metrics.count("overload_decisions_total{rule=\"" + std::string(decidedBy)
                           + "\",priority=\"" + std::to_string(request.priority) + "\"}");
    if (!mOverload->isRefused())
        return true;
    core::logEvent(core::log_level::info, "overload_refused",
                   {{"request", mTerms.requestId},
                    {"service", mService->name},
                    {"kind", request.kind},
                    {"account", mAccount},
                    {"rule", decidedBy},
                    {"backlog_ms", inMs(mOverload->backlog)},
                    {"estimate_ms", inMs(request.estimate)},
                    {"expected_ms", inMs(mOverload->expected)},
                    {"bound_ms", inMs(mOverload->bound)},
                    {"to_target_ms", inMs(request.toTarget)},
                    {"to_limit_ms", inMs(request.toLimit)},
                    {"work_ms", inMs(request.work)},
                    {"kind_served", mOverload->kindServed},
                    {"compared_served", mOverload->comparedServed},
                    {"retry_after_ms", inMs(mOverload->retryAfter)}});
    const core::duration wait = mOverload->retryAfter;
    refuse(503, reasonOf(mOverload->decidedBy),
           wait > core::duration::zero() ? wait : retryAfter());
    return false;
}

/// Urgency of the request at engines; none if neither its route nor its account has a priority.
std::optional<int> forwarded_request::urgency() const
{
    if (!mService->engine || !mPriority)
        return std::nullopt;
    return mOverload ? mOverload->urgency : std::clamp(*mPriority, 0, cMaxUrgency);
}

/// Counts the prompt as waiting at its endpoint with the urgency that it was sent with.
void forwarded_request::countOverload()
{
    if (!mOverload)
        return;
    mCountedUrgency = mOverload->urgency;
    mContext.overload.policyFor(mService->name).sent(mOverload->urgency, mWork.promptTokens);
}

void forwarded_request::uncountOverload(bool inBegun)
{
    if (!mCountedUrgency)
        return;
    mContext.overload.policyFor(mService->name)
        .noLongerWaiting(*mCountedUrgency, mWork.promptTokens, inBegun, core::boot_clock::now());
    mCountedUrgency.reset();
}

/// Records that a request that was sent ran out of time.
void forwarded_request::overloadNotServed()
{
    if (!mOverload || mOverload->isRefused() || mAnswerStarted)
        return;
    const core::time_point now = core::boot_clock::now();
    if (const engines::endpoint *target = currentTarget(); target != nullptr)
        mContext.overload.policyFor(mService->name).notServed(overloadRequest(now), now);
}

} // namespace corneltally::forwarding
