#include "corneltally/forwarding/forwarded_request.h"

#include "corneltally/core/digest.h"
#include "corneltally/core/json_log.h"
#include "corneltally/core/metrics.h"
#include "corneltally/forwarding/forward_context.h"
#include "corneltally/kernel/service_registry.h"
#include "platform/request_codec.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace corneltally::forwarding {

namespace {

using milliseconds = std::chrono::milliseconds;

long long inMs(core::duration inDuration)
{
    return std::chrono::duration_cast<milliseconds>(inDuration).count();
}

std::string failureBody(int inStatus, std::string_view inReason, run_state inState)
{
    const std::string_view remedy = inStatus == 401 ? "send a valid key"
        : inStatus == 404                           ? "use the host and path of a route"
        : inStatus == 429 || inStatus == 503        ? "come back after the time that is stated"
                                                    : "find out whether it ran before repeating it";
    std::string body = R"({"error":{"status":)" + std::to_string(inStatus);
    body.append(R"(,"run":")").append(toString(inState));
    body.append(R"(","message":")").append(core::jsonEscape(inReason));
    body.append(R"(","remedy":")").append(remedy).append("\"}}\n");
    return body;
}

std::string_view toString(engines::endpoint_choice::readiness inState)
{
    using readiness = engines::endpoint_choice::readiness;
    return inState == readiness::ready   ? "resident"
        : inState == readiness::arriving ? "arriving"
                                         : "to_load";
}

std::optional<long long> eventNumber(std::string_view inId)
{
    long long number = 0;
    const auto [end, problem] = std::from_chars(inId.data(), inId.data() + inId.size(), number);
    if (problem != std::errc() || end != inId.data() + inId.size())
        return std::nullopt;
    return number;
}

} // namespace

core::duration forwarded_request::retryAfter() const
{
    constexpr std::uint64_t cSteps = 1000;
    const auto step = static_cast<long long>(core::stableHash(mTerms.requestId) % cSteps);
    return mContext.settings.minRetryAfter
        + mContext.settings.retryAfterSpread * step / static_cast<long long>(cSteps);
}

void forwarded_request::headArrived(const http1::response_head &inHead)
{
    mHeadReceived = true;
    mAnswer = platform::decodeAnswer(inHead);
    const engines::endpoint_noticed noticed{mChoice.endpoint, mEndpointStart,
                                            platform::decodeNotice(inHead.status, inHead.fields)};
    mAnswerAsksPause = noticed.notice.pause.has_value();
    if (mAnswer.coldLeft)
        mContext.endpoints.applyColdAnswer(mChoice.endpoint, mEndpointStart, *mAnswer.coldLeft,
                                           mSentAt, core::boot_clock::now());
    if (mContext.endpoints.applyNotice(noticed.endpoint, noticed.startedMs, noticed.notice,
                                       core::boot_clock::now()))
        mContext.registry.broadcast(noticed);
    const bool isEvents = http1::findField(inHead.fields, "Content-Type")
                              .value_or("")
                              .starts_with("text/event-stream");
    mBuffersAnswer
        = !routing::isStream(mRoute->kind) || !isEvents || mAnswer.status != 200 || !mAnswer.sealed;
    // A stream that is resumed at another endpoint keeps the head sent by the first one.
    if (!mAnswerStarted)
        mHead = inHead;
}

/// Returns false if the answer exceeds what is buffered of it.
bool forwarded_request::bodyArrived(std::string_view inData)
{
    if (!mBuffersAnswer)
        return forwardEvents(inData);
    mBody.append(inData);
    return mBody.size() <= mContext.settings.maxBufferedAnswerBytes;
}

void forwarded_request::beginAnswer(std::optional<std::uint64_t> inLength)
{
    mAnswerStarted = true;
    mState = state::answering;
    http1::response_head head = mHead;
    http1::removeConnectionFields(head.fields);
    mCaller.startResponse(std::move(head), inLength);
}

/// Returns false if an event is too long.
bool forwarded_request::forwardEvents(std::string_view inData)
{
    std::string bytes;
    for (event_splitter::event &event : mSplitter.append(inData)) {
        const auto last = eventNumber(mLastEventId);
        const auto number = eventNumber(event.id);
        // A resumed stream must not repeat events that the caller already has.
        if (mSendCount > 1 && last && number && *number <= *last)
            continue;
        if (!event.id.empty())
            mLastEventId = event.id;
        bytes.append(event.bytes);
    }
    const bool isWithinLimit
        = mSplitter.remainder().size() <= mContext.settings.maxBufferedAnswerBytes;
    if (bytes.empty())
        return isWithinLimit;
    eventsReceived();
    if (!mAnswerStarted)
        beginAnswer(std::nullopt);
    mCaller.sendBody(bytes);
    if (!mUpstreamReadPaused && mCaller.unsentBytes() > mContext.settings.maxUnsentBytes) {
        mUpstreamReadPaused = true;
        mUpstream->setReading(false);
    }
    return isWithinLimit;
}

void forwarded_request::callerDrained()
{
    if (!mUpstreamReadPaused || !mUpstream)
        return;
    mUpstreamReadPaused = false;
    mUpstream->setReading(true);
}

void forwarded_request::answerComplete()
{
    const core::time_point now = core::boot_clock::now();
    firstEventReceived();
    if (engines::endpoint *target = currentTarget()) {
        target->health.succeeded(*mFirstByteAt - mSentAt, now);
        recordPause(*target);
        recordInterval(*target);
    }
    partsProved();
    uncountLoad();
    mRunState = run_state::ran;
    if (mBuffersAnswer) {
        beginAnswer(mBody.size());
        mCaller.sendBody(mBody);
    } else {
        if (!mAnswerStarted)
            beginAnswer(std::nullopt);
        mCaller.sendBody(mSplitter.remainder());
    }
    mState = state::done;
    finish(mHead.status, "served", "complete");
    mCaller.endResponse();
}

/// Records the longest pause of the answer for its endpoint, here and for the next heartbeat. If
/// the request was sent more than once, the pause is not attributable to one endpoint.
void forwarded_request::recordPause(const engines::endpoint &inTarget)
{
    if (mSendCount > 1 || mLongestPause < engines::endpoint_table::sMinPrefillPause)
        return;
    mContext.endpoints.recordPause(inTarget.digest, mLongestPause);
    mContext.pauses.push_back(
        {inTarget.digest, std::chrono::duration_cast<milliseconds>(mLongestPause)});
}

/// Records how fast the endpoint generated the answer, here and for the next heartbeat.
void forwarded_request::recordInterval(const engines::endpoint &inTarget)
{
    const auto interval = mIntervals.lowerQuartile();
    if (mSendCount > 1 || !mService->engine || !interval)
        return;
    mContext.endpoints.recordInterval(inTarget.digest, *interval, core::boot_clock::now());
    mContext.intervals.push_back(
        {inTarget.digest, std::chrono::duration_cast<std::chrono::microseconds>(*interval)});
}

/// Forwards the failure that an endpoint answered.
void forwarded_request::passFailure()
{
    if (mAnswerStarted) {
        abortAnswer("the endpoint failed");
        return;
    }
    uncountLoad();
    mRunState = run_state::ran;
    const int status = mAnswer.status;
    // To callers these statuses mean that the request has not run, which the endpoint did not
    // state.
    if (status == 408 || status == 429 || status == 503) {
        answerUnknown("the endpoint gave no clear answer");
        return;
    }
    beginAnswer(mBody.size());
    mCaller.sendBody(mBody);
    mState = state::done;
    finish(status, "failure_passed", "the endpoint failed");
    mCaller.endResponse();
}

/// Aborts an answer that can't be completed, so that the caller notices that it is truncated.
void forwarded_request::abortAnswer(std::string_view inReason)
{
    cancelAttempt();
    finish(mHead.status, "broken_off", inReason);
    mCaller.abort();
}

void forwarded_request::refuse(int inStatus, std::string_view inReason,
                               std::optional<core::duration> inRetryAfter)
{
    if (mAnswerStarted) {
        abortAnswer(inReason);
        return;
    }
    if (mChargedAmount > 0 && mRunState == run_state::not_run)
        mContext.allowance.refund(mAccount, mChargedAmount);
    mState = state::done;
    std::optional<milliseconds> wait;
    if (inRetryAfter)
        wait = std::chrono::duration_cast<milliseconds>(*inRetryAfter);
    finish(inStatus, "refused", inReason);
    mCaller.respond(platform::encodeLocalAnswer(inStatus, mTerms.requestId, wait),
                    failureBody(inStatus, inReason, mRunState));
}

void forwarded_request::refuseBusy(std::string_view inReason)
{
    refuse(503, inReason, retryAfter());
}

/// Refuses the request since no endpoint takes it now. If those that are left are cold, or all
/// asked for a pause, the caller is told when they come back.
void forwarded_request::refuseUnserved(std::string_view inReason)
{
    const core::time_point now = core::boot_clock::now();
    const auto permits
        = mContext.endpoints.permitTimes(mService->name, mWork.excluded, mWork.domains, now);
    const auto ends
        = permits ? permits : mContext.endpoints.pauseEnds(mService->name, now, mWork.domains);
    if (!ends) {
        refuseBusy(inReason);
        return;
    }
    if (permits)
        mContext.metrics.count("requests_without_permit_total");
    // Callers return spread over the time in which the endpoints do.
    const core::duration first = ends->first - now;
    const core::duration spread = ends->second - ends->first;
    const core::duration own = retryAfter();
    const double fraction = std::chrono::duration<double>(own - mContext.settings.minRetryAfter)
        / std::chrono::duration<double>(mContext.settings.retryAfterSpread);
    refuse(503, permits ? "the endpoints are cold" : "all endpoints asked for a pause",
           first + std::chrono::duration_cast<core::duration>(spread * fraction) + own);
}

void forwarded_request::answerUnknown(std::string_view inReason)
{
    if (mAnswerStarted) {
        abortAnswer(inReason);
        return;
    }
    // The deadline timer may fire slightly early, so a short remaining time counts as none.
    const int status = timeLeft() < cMinAttemptTime ? 504 : 502;
    mState = state::done;
    finish(status, "unknown", inReason);
    mCaller.respond(platform::encodeLocalAnswer(status, mTerms.requestId, std::nullopt),
                    failureBody(status, inReason, mRunState));
}

void forwarded_request::finish(int inStatus, std::string_view inOutcome, std::string_view inReason)
{
    const core::time_point now = core::boot_clock::now();
    mState = state::done;
    uncountWaiting();
    mDeadline.cancel();
    mAdapterTimer.cancel();
    forgetPermit();
    mContext.metrics.count("requests_total{outcome=\"" + std::string(inOutcome) + "\"}");
    mContext.metrics.observe("request_seconds", now - mRequest.arrived);
    if (mFirstByteAt)
        mContext.metrics.observe("first_byte_seconds", *mFirstByteAt - mRequest.arrived);
    const engines::endpoint *target = mContext.endpoints.find(mChoice.endpoint);
    core::logEvent(
        core::log_level::info, "request",
        {{"request", mTerms.requestId},
         {"route", mRoute != nullptr ? mRoute->name : std::string()},
         {"account", mAccount},
         {"regions", mRegions.toText()},
         {"kept_by", mKeptInRegions ? mRegions.source() : std::string_view()},
         {"configuration", mTable ? mTable->version() : 0},
         {"endpoint", mChoice.endpoint},
         {"adapter", mWork.adapter},
         {"parts", engines::sharedPartIds(mWork)},
         {"sends", mSendCount},
         {"loads", mLoadsRequested},
         {"status", inStatus},
         {"outcome", inOutcome},
         {"reason", inReason},
         {"run", toString(mRunState)},
         {"estimate_ms", inMs(mChoice.estimate)},
         {"report_age_ms",
          target != nullptr && target->holderReportAt != core::time_point()
              ? inMs(now - target->holderReportAt)
              : -1},
         {"sent_ms", mSendCount > 0 ? inMs(mSentAt - mRequest.arrived) : -1},
         {"adapter_state", toString(mChoice.state)},
         {"overload_rule", mOverload ? toString(mOverload->decidedBy) : "off"},
         {"urgency", mOverload ? mOverload->urgency : -1},
         {"longest_pause_ms", inMs(mLongestPause)},
         {"relative_time", target != nullptr ? mContext.endpoints.relativeTime(*target, now) : 1},
         {"first_ms", mFirstByteAt ? inMs(*mFirstByteAt - mRequest.arrived) : -1},
         {"ms", inMs(now - mRequest.arrived)}});
    const auto done = mDone;
    done();
}

} // namespace corneltally::forwarding
