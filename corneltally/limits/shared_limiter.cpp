#include "corneltally/limits/shared_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corneltally::limits {

namespace {

/// Safety factor for errors of the demand estimate.
constexpr double cDemandMargin = 1.2;
/// Seconds of its own demand for which a lender keeps tokens.
constexpr double cReservedSeconds = 0.5;

} // namespace

shared_limiter::shared_limiter(double inRate, double inBurst, double inFraction,
                               core::time_point inStart, std::uint64_t inFirstLoanId)
    : mShare(inRate, inBurst, inFraction, inStart)
    , mNextExpiryAt(inStart + cMaxChargeAge)
    , mNextLoanId(inFirstLoanId)
    , mNextRequestAt(inStart)
{ }

void shared_limiter::setLimits(double inRate, double inBurst, core::time_point inNow)
{
    mShare.setLimits(inRate, inBurst, inNow);
}

void shared_limiter::setFraction(double inFraction, core::time_point inNow)
{
    mShare.setFraction(inFraction, inNow);
}

void shared_limiter::setPeers(std::vector<std::string> inPeers)
{
    if (inPeers == mPeers)
        return;
    mPeers = std::move(inPeers);
    mNextPeer = 0;
    mRequestsInRound = 0;
}

void shared_limiter::submit(std::string inRequestId, double inTokens, core::time_point inDeadline,
                            core::time_point inNow)
{
    expireCharges(inNow);
    if (inTokens > mShare.fleetBurst() + token_bucket::cTolerance) {
        mDecided.push_back(
            {.requestId = std::move(inRequestId), .outcome = limiter_outcome::too_large});
        return;
    }
    mDemand.add(inTokens, inNow);
    if (mWaiting.size() >= cMaxWaiting) {
        const core::duration delay = retryAfter(inTokens, inNow);
        mDecided.push_back({.requestId = std::move(inRequestId), .retryAfter = delay});
        return;
    }
    mWaiting.push_back({.id = std::move(inRequestId),
                        .tokens = inTokens,
                        .deadline = std::min(inDeadline, inNow + cMaxWait)});
    mWaitingTokens += inTokens;
}

bool shared_limiter::cancel(std::string_view inRequestId, core::time_point inNow)
{
    const std::size_t before = mWaiting.size();
    std::erase_if(mWaiting, [&](const waiting_request &inRequest) {
        if (inRequest.id != inRequestId)
            return false;
        mWaitingTokens -= inRequest.tokens;
        return true;
    });
    const auto found = mOpenCharges.find(inRequestId);
    if (found != mOpenCharges.end())
        settleCharge(found, 0, inNow);
    return mWaiting.size() < before;
}

void shared_limiter::settle(std::string_view inRequestId, double inUsed, core::time_point inNow)
{
    const auto found = mOpenCharges.find(inRequestId);
    if (found != mOpenCharges.end())
        settleCharge(found, inUsed, inNow);
}

void shared_limiter::settleCharge(
    std::map<std::string, open_charge, std::less<>>::iterator inCharge, double inUsed,
    core::time_point inNow)
{
    mShare.settle(inCharge->second.charge, inCharge->second.tokens, inUsed, inNow);
    mOpenCharges.erase(inCharge);
}

fleet_share::loan shared_limiter::lend(std::string_view inBorrower, std::uint64_t inLoanId,
                                       double inRate, double inTokens, core::time_point inNow)
{
    if (!mWaiting.empty())
        return {};
    const double demand = mDemand.rate(inNow);
    const double spareRate
        = std::max(0.0, mShare.ownRate(inNow) + mShare.borrowedRate() - demand * cDemandMargin);
    const double spareTokens = std::max(0.0, mShare.available(inNow) - demand * cReservedSeconds);
    return mShare
        .lend(inBorrower, inLoanId, std::min(inRate, spareRate), std::min(inTokens, spareTokens),
              inNow)
        .value_or(fleet_share::loan{});
}

void shared_limiter::loanReceived(std::string_view inLender, std::uint64_t inLoanId,
                                  const fleet_share::loan &inLoan, core::time_point inNow)
{
    mShare.loanReceived(inLender, inLoanId, inLoan, inNow);
    if (mOpenLoanId == inLoanId) {
        mOpenLoanId.reset();
        mNextRequestAt = mRequestsInRound < mPeers.size() ? inNow : inNow + cRoundPause;
    }
}

void shared_limiter::paused(core::time_point inNow)
{
    mShare.paused(inNow);
    mOpenLoanId.reset();
}

shared_limiter::actions shared_limiter::poll(core::time_point inNow)
{
    actions result;
    decide(inNow, result);
    if (mWaiting.empty())
        mRequestsInRound = 0;
    else
        requestLoan(inNow, result);
    return result;
}

core::duration shared_limiter::retryAfter(double inTokens, core::time_point inNow)
{
    const double ahead = std::min(inTokens + mWaitingTokens, mShare.burst(inNow));
    const core::duration delay = mShare.timeUntil(std::max(inTokens, ahead), inNow);
    if (delay != core::duration::max())
        return delay;
    // Only a loan can provide that much here; the fleet as a whole refills at its full rate.
    if (mShare.fleetRate() <= 0)
        return std::chrono::hours(1);
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(std::min(inTokens / mShare.fleetRate(), 3600.0)));
}

void shared_limiter::decide(core::time_point inNow, actions &ioActions)
{
    ioActions.decisions.swap(mDecided);
    while (!mWaiting.empty()) {
        const waiting_request &head = mWaiting.front();
        const auto charge = mShare.tryCharge(head.tokens, inNow);
        if (!charge && inNow < head.deadline)
            break;
        decision made{.requestId = head.id};
        if (charge) {
            made.outcome = limiter_outcome::admitted;
            mOpenCharges.insert_or_assign(
                head.id, open_charge{.charge = *charge, .tokens = head.tokens, .openedAt = inNow});
        } else {
            made.retryAfter = retryAfter(head.tokens, inNow);
        }
        mWaitingTokens -= head.tokens;
        ioActions.decisions.push_back(std::move(made));
        mWaiting.pop_front();
    }
    if (mWaiting.empty()) {
        mWaitingTokens = 0;
        return;
    }
    const waiting_request &head = mWaiting.front();
    const core::duration refill = mShare.timeUntil(head.tokens, inNow);
    ioActions.wakeAt = head.deadline;
    if (refill < head.deadline - inNow)
        ioActions.wakeAt = inNow + refill;
}

void shared_limiter::requestLoan(core::time_point inNow, actions &ioActions)
{
    if (mPeers.empty())
        return;
    if (mNextRequestAt <= inNow) {
        // All peers were asked and the loans were not enough: wait until their shares refill.
        if (mRequestsInRound >= mPeers.size() && mOpenLoanId) {
            mOpenLoanId.reset();
            mNextRequestAt = inNow + cRoundPause;
            mRequestsInRound = 0;
        } else {
            if (mRequestsInRound >= mPeers.size())
                mRequestsInRound = 0;
            const double missing = std::max(mWaitingTokens, mWaiting.front().tokens)
                - std::max(0.0, mShare.available(inNow));
            loan_request request;
            request.lender = mPeers[mNextPeer++ % mPeers.size()];
            request.loanId = mNextLoanId++;
            request.rate = std::max(0.0, mDemand.rate(inNow) * cDemandMargin - mShare.rate(inNow));
            request.tokens = std::clamp(missing, 0.0, mShare.fleetBurst());
            mShare.loanRequested(request.lender, request.loanId, inNow);
            mOpenLoanId = request.loanId;
            ++mRequestsInRound;
            mNextRequestAt = inNow + cLoanRequestTimeout;
            ioActions.loanRequest = std::move(request);
        }
    }
    ioActions.wakeAt = std::min(ioActions.wakeAt.value_or(mNextRequestAt), mNextRequestAt);
}

void shared_limiter::expireCharges(core::time_point inNow)
{
    if (inNow < mNextExpiryAt)
        return;
    mNextExpiryAt = inNow + cMaxChargeAge;
    for (auto item = mOpenCharges.begin(); item != mOpenCharges.end();) {
        const auto current = item++;
        if (current->second.openedAt + cMaxChargeAge <= inNow)
            settleCharge(current, current->second.tokens, inNow);
    }
}

} // namespace corneltally::limits
