#include "corneltally/claims/claim_coordinator.h"

#include <algorithm>
#include <utility>

namespace corneltally::claims {

namespace {

using namespace std::chrono_literals;

/// Time after the deadline for which grants are kept; a late cancellation arrives long before.
constexpr core::duration cGrantRetention = 30s;
constexpr core::duration cCatchUpRetryAfter = 1s;
constexpr core::duration cOutageRetryAfter = 2s;
/// One lost append is resolved within a round trip; two in a row count as a write outage.
constexpr int cMaxFailures = 2;

} // namespace

claim_coordinator::claim_coordinator(std::string inInstance, std::uint64_t inIncarnation,
                                     std::chrono::milliseconds inWindow)
    : mInstance(std::move(inInstance))
    , mIncarnation(inIncarnation)
    , mTable(inWindow)
    , mBatcher(mInstance + "-" + std::to_string(inIncarnation))
{ }

void claim_coordinator::setWindow(std::chrono::milliseconds inWindow)
{
    mTable.setWindow(inWindow);
}

void claim_coordinator::begin(const std::string &inRequestId, const std::string &inKey,
                              const std::string &inRequestDigest, core::time_point inDeadline,
                              core::time_point inNow)
{
    if (!mCaughtUp) {
        refuse(inRequestId, "the claims stream has not been read yet", cCatchUpRetryAfter);
    } else if (!mReadable || !isWritable(inNow)) {
        refuse(inRequestId, "the claims log cannot be reached", cOutageRetryAfter);
    } else if (mPending.size() >= cMaxPending) {
        refuse(inRequestId, "too many requests are waiting for idempotency keys",
               cCatchUpRetryAfter);
    } else {
        const auto [added, isNew] = mPending.insert_or_assign(
            inRequestId,
            pending_request{
                .key = inKey, .requestDigest = inRequestDigest, .deadline = inDeadline});
        claimOrWait(added, inNow);
    }
}

void claim_coordinator::cancel(const std::string &inRequestId, core::time_point inNow)
{
    const auto pending = mPending.find(inRequestId);
    if (pending != mPending.end()) {
        mBatcher.withdraw(pending->second.claimId);
        mPending.erase(pending);
        refuse(inRequestId, "the request was cancelled", 0s);
        return;
    }
    // The cancellation was sent before the grant arrived.
    const auto granted = mGranted.find(inRequestId);
    if (granted == mGranted.end())
        return;
    const granted_claim claim = granted->second;
    addRelease(claim.key, claim.claimId, inNow);
}

void claim_coordinator::finish(claim_record inDone, core::time_point inNow)
{
    std::erase_if(mGranted,
                  [&](const auto &inItem) { return inItem.second.claimId == inDone.claimId; });
    inDone.action = claim_action::done;
    if (inDone.body.size() > cMaxClaimBody) {
        inDone.status = 0;
        inDone.contentType.clear();
        inDone.body.clear();
    }
    mBatcher.add(std::move(inDone), inNow);
}

void claim_coordinator::release(const std::string &inKey, const std::string &inClaimId,
                                core::time_point inNow)
{
    addRelease(inKey, inClaimId, inNow);
}

void claim_coordinator::pageRead(const std::vector<stream_record> &inRecords, std::uint64_t inNext,
                                 core::time_point inSentAt, core::time_point inNow)
{
    mReadable = true;
    if (!mCatchUpEnd)
        mCatchUpEnd = inNext;
    for (const stream_record &record : inRecords) {
        if (record.offset < mPosition)
            continue;
        mPosition = record.offset + 1;
        const auto batch = decodeBatch(record.data);
        if (!batch)
            continue;
        const auto effects = mTable.apply(record.offset, record.timeMs, *batch);
        mBatcher.batchRead(*batch);
        for (std::size_t index = 0; index < effects.size(); ++index)
            applyRecord(batch->records[index], effects[index], inNow);
    }
    // Offsets need not start at 0, and an empty stream has no record that shows where they start.
    if (inRecords.empty())
        mPosition = std::max(mPosition, inNext);
    mLatestReadAt = inNow;
    mCaughtUp = mCaughtUp || mPosition >= *mCatchUpEnd;
    if (mPosition >= inNext)
        mBatcher.readToEnd(inSentAt, inNow);
}

void claim_coordinator::pageExpired(std::uint64_t inFirst)
{
    // Claims may have been missed, so the state is rebuilt from the records that the log still has.
    const bool hadRead = mPosition > 0;
    mPosition = inFirst;
    mCatchUpEnd.reset();
    mCaughtUp = false;
    if (!hadRead)
        return;
    mTable.clear();
    refuseClaiming("records of the claims stream expired before they were read",
                   cCatchUpRetryAfter);
}

void claim_coordinator::readFailed(core::time_point)
{
    mReadable = false;
    refuseClaiming("the claims log cannot be read", cOutageRetryAfter);
}

claim_coordinator::actions claim_coordinator::poll(core::time_point inNow)
{
    actions result;
    checkAppends(inNow);
    expirePending(inNow);
    result.append = mBatcher.poll(inNow);
    result.readNow = mBatcher.needsRead();
    result.results.swap(mResults);
    const auto wakeBy = [&](std::optional<core::time_point> inTime) {
        if (inTime && (!result.wakeAt || *inTime < *result.wakeAt))
            result.wakeAt = inTime;
    };
    wakeBy(mBatcher.nextPoll());
    if (const auto sentAt = mBatcher.sentAt(); sentAt && !mPending.empty())
        wakeBy(std::max(*sentAt + cAppendTimeout, inNow + 100ms));
    for (const auto &[id, request] : mPending)
        wakeBy(request.deadline);
    return result;
}

std::int64_t claim_coordinator::logTimeMs(core::time_point inNow) const
{
    // The latest record may be older than the time it was read; keys are then held slightly longer.
    const core::duration since = inNow - mLatestReadAt;
    return mTable.latestTimeMs()
        + std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
}

void claim_coordinator::claimOrWait(pending_map::iterator inPending, core::time_point inNow)
{
    if (answerFromHolder(inPending, inNow))
        return;
    pending_request &request = inPending->second;
    request.claimId.clear();
    if (mTable.find(request.key, logTimeMs(inNow)) != nullptr)
        return;
    request.claimId
        = mInstance + "-" + std::to_string(mIncarnation) + "-" + std::to_string(mNextClaim++);
    mBatcher.add({.action = claim_action::claim,
                  .key = request.key,
                  .claimId = request.claimId,
                  .instance = mInstance,
                  .incarnation = mIncarnation,
                  .requestDigest = request.requestDigest},
                 inNow);
}

/// Answers a request if the state of the key's holder decides it. Returns whether it did.
bool claim_coordinator::answerFromHolder(pending_map::iterator inPending, core::time_point inNow)
{
    const pending_request &request = inPending->second;
    const claim_holder *holder = mTable.find(request.key, logTimeMs(inNow));
    if (holder == nullptr)
        return false;
    result decided;
    if (holder->requestDigest != request.requestDigest) {
        decided.decision = claim_decision::conflict;
        decided.error
            = {core::error_kind::conflict, "the idempotency key was used for a different request",
               "use a new key for a new request"};
    } else if (holder->done && holder->status != 0) {
        decided.decision = claim_decision::answered;
        decided.status = holder->status;
        decided.contentType = holder->contentType;
        decided.body = holder->body;
    } else if (holder->done) {
        decided.decision = claim_decision::unknown;
        decided.error = {core::error_kind::conflict,
                         "the request with this idempotency key completed, but its answer was too "
                         "long to be stored",
                         "look up the result at the application; do not send it under a new key"};
    } else {
        return false;
    }
    answer(inPending, std::move(decided));
    return true;
}

void claim_coordinator::applyRecord(const claim_record &inRecord, claim_table::effect inEffect,
                                    core::time_point inNow)
{
    switch (inEffect) {
    case claim_table::effect::held:
    case claim_table::effect::lost:
        if (inRecord.instance == mInstance && inRecord.incarnation == mIncarnation)
            applyOwnClaim(inRecord, inEffect == claim_table::effect::held, inNow);
        break;
    case claim_table::effect::released:
    case claim_table::effect::done:
        keyChanged(inRecord.key, inNow);
        break;
    case claim_table::effect::none:
        break;
    }
}

void claim_coordinator::applyOwnClaim(const claim_record &inRecord, bool inHeld,
                                      core::time_point inNow)
{
    const auto found = std::ranges::find_if(
        mPending, [&](const auto &inItem) { return inItem.second.claimId == inRecord.claimId; });
    if (found == mPending.end()) {
        // Its request was cancelled or refused in the meantime.
        if (inHeld)
            addRelease(inRecord.key, inRecord.claimId, inNow);
        return;
    }
    if (!inHeld) {
        claimOrWait(found, inNow);
    } else if (inNow >= found->second.deadline) {
        addRelease(inRecord.key, inRecord.claimId, inNow);
        refuse(found->first, "the idempotency key could not be claimed in time",
               cCatchUpRetryAfter);
        mPending.erase(found);
    } else {
        mGranted.insert_or_assign(
            found->first,
            granted_claim{.key = inRecord.key,
                          .claimId = inRecord.claimId,
                          .expiresAt = found->second.deadline + cGrantRetention});
        answer(found, {.decision = claim_decision::granted, .claimId = inRecord.claimId});
    }
}

/// Continues the requests that wait for a key after its holder finished or released it.
void claim_coordinator::keyChanged(const std::string &inKey, core::time_point inNow)
{
    for (auto item = mPending.begin(); item != mPending.end();) {
        const auto current = item++;
        if (current->second.key == inKey && current->second.claimId.empty())
            claimOrWait(current, inNow);
    }
}

void claim_coordinator::answer(pending_map::iterator inPending, result inResult)
{
    inResult.requestId = inPending->first;
    mBatcher.withdraw(inPending->second.claimId);
    mResults.push_back(std::move(inResult));
    mPending.erase(inPending);
}

void claim_coordinator::refuse(const std::string &inRequestId, std::string inMessage,
                               core::duration inRetryAfter)
{
    mResults.push_back({.requestId = inRequestId,
                        .decision = claim_decision::refused,
                        .error = {core::error_kind::unavailable, std::move(inMessage),
                                  "send the request again with the same idempotency key"},
                        .retryAfter = inRetryAfter});
}

/// Refuses the requests whose claims are queued or in flight. A claim that still takes effect is
/// released when it is read. Requests that wait for another holder continue to wait.
void claim_coordinator::refuseClaiming(const std::string &inMessage, core::duration inRetryAfter)
{
    for (auto item = mPending.begin(); item != mPending.end();) {
        const auto current = item++;
        if (current->second.claimId.empty())
            continue;
        mBatcher.withdraw(current->second.claimId);
        refuse(current->first, inMessage, inRetryAfter);
        mPending.erase(current);
    }
}

void claim_coordinator::expirePending(core::time_point inNow)
{
    for (auto item = mPending.begin(); item != mPending.end();) {
        const auto current = item++;
        if (inNow < current->second.deadline)
            continue;
        if (current->second.claimId.empty()) {
            answer(current,
                   {.decision = claim_decision::unknown,
                    .error = {core::error_kind::conflict,
                              "another request with this idempotency key has not finished",
                              "send it again with the same key to get the result, or look it up at "
                              "the application; do not use a new key"}});
        } else {
            mBatcher.withdraw(current->second.claimId);
            refuse(current->first, "the idempotency key could not be claimed in time",
                   cCatchUpRetryAfter);
            mPending.erase(current);
        }
    }
    std::erase_if(mGranted, [&](const auto &inItem) { return inItem.second.expiresAt <= inNow; });
}

/// Refuses claims for cRefusalTime if the log cannot be written.
void claim_coordinator::checkAppends(core::time_point inNow)
{
    const auto sentAt = mBatcher.sentAt();
    const bool hasTimedOut = sentAt && inNow - *sentAt >= cAppendTimeout;
    const int failures = mBatcher.failures();
    const bool hasFailed = failures >= cMaxFailures && failures != mFailuresSeen;
    mFailuresSeen = failures;
    if (!hasTimedOut && !hasFailed)
        return;
    mRefuseUntil = inNow + cRefusalTime;
    refuseClaiming("the claims log cannot be written", cOutageRetryAfter);
}

void claim_coordinator::addRelease(const std::string &inKey, const std::string &inClaimId,
                                   core::time_point inNow)
{
    std::erase_if(mGranted, [&](const auto &inItem) { return inItem.second.claimId == inClaimId; });
    mBatcher.add({.action = claim_action::release, .key = inKey, .claimId = inClaimId}, inNow);
}

} // namespace corneltally::claims
