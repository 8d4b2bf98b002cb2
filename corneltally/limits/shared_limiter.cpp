#include "corneltally/limits/shared_limiter.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace corneltally::limits {

namespace {

/// Room for the error of the demand estimate.
constexpr double cDemandMargin = 1.2;
/// Seconds of its own demand that a lender keeps as content.
constexpr double cKeptSeconds = 0.5;

} // namespace

shared_limiter::shared_limiter(double inRate, double inBurst, double inFraction,
                               core::time_point inStart, std::uint64_t inFirstLoanId)
    : mShare(inRate, inBurst, inFraction, inStart)
    , mNextForget(inStart + cMaxOpen)
    , mNextLoanId(inFirstLoanId)
    , mNextAskAt(inStart)
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
    mAskedInRound = 0;
}

void shared_limiter::submit(std::string inRequestId, double inTokens, core::time_point inDeadline,
                            core::time_point inNow)
{
    forgetOldCharges(inNow);
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
                        .giveUpAt = std::min(inDeadline, inNow + cMaxWait)});
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
    const auto found = mOpen.find(inRequestId);
    if (found != mOpen.end())
        settleOpen(found, 0, inNow);
    return mWaiting.size() < before;
}

void shared_limiter::settle(std::string_view inRequestId, double inUsed, core::time_point inNow)
{
    const auto found = mOpen.find(inRequestId);
    if (found != mOpen.end())
        settleOpen(found, inUsed, inNow);
}

void shared_limiter::settleOpen(std::map<std::string, open_charge, std::less<>>::iterator inOpen,
                                double inUsed, core::time_point inNow)
{
    mShare.settle(inOpen->second.charge, inOpen->second.tokens, inUsed, inNow);
    mOpen.erase(inOpen);
}

fleet_share::loan shared_limiter::lend(std::string_view inBorrower, std::uint64_t inLoanId,
                                       double inRate, double inTokens, core::time_point inNow)
{
    if (!mWaiting.empty())
        return {};
    const double demand = mDemand.rate(inNow);
    const double spareRate
        = std::max(0.0, mShare.ownRate(inNow) + mShare.borrowedRate() - demand * cDemandMargin);
    const double spareTokens = std::max(0.0, mShare.available(inNow) - demand * cKeptSeconds);
    return mShare
        .lend(inBorrower, inLoanId, std::min(inRate, spareRate), std::min(inTokens, spareTokens),
              inNow)
        .value_or(fleet_share::loan{});
}

void shared_limiter::loanReceived(std::string_view inLender, std::uint64_t inLoanId,
                                  const fleet_share::loan &inLoan, core::time_point inNow)
{
    mShare.loanReceived(inLender, inLoanId, inLoan, inNow);
    if (mAsked == inLoanId) {
        mAsked.reset();
        mNextAskAt = mAskedInRound < mPeers.size() ? inNow : inNow + cRoundPause;
    }
}

void shared_limiter::paused(core::time_point inNow)
{
    mShare.paused(inNow);
    mAsked.reset();
}

shared_limiter::actions shared_limiter::poll(core::time_point inNow)
{
    actions result;
    decide(inNow, result);
    if (mWaiting.empty())
        mAskedInRound = 0;
    else
        seekLoan(inNow, result);
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
        if (!charge && inNow < head.giveUpAt)
            break;
        decision made{.requestId = head.id};
        if (charge) {
            made.outcome = limiter_outcome::admitted;
            mOpen.insert_or_assign(
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
    ioActions.wakeAt = head.giveUpAt;
    if (refill < head.giveUpAt - inNow)
        ioActions.wakeAt = inNow + refill;
}

void shared_limiter::seekLoan(core::time_point inNow, actions &ioActions)
{
    if (mPeers.empty())
        return;
    if (mNextAskAt <= inNow) {
        // A whole round without enough: wait for the peers' shares to refill.
        if (mAskedInRound >= mPeers.size() && mAsked) {
            mAsked.reset();
            mNextAskAt = inNow + cRoundPause;
            mAskedInRound = 0;
        } else {
            if (mAskedInRound >= mPeers.size())
                mAskedInRound = 0;
            const double missing = std::max(mWaitingTokens, mWaiting.front().tokens)
                - std::max(0.0, mShare.available(inNow));
            loan_ask ask;
            ask.lender = mPeers[mNextPeer++ % mPeers.size()];
            ask.loanId = mNextLoanId++;
            ask.rate = std::max(0.0, mDemand.rate(inNow) * cDemandMargin - mShare.rate(inNow));
            ask.tokens = std::clamp(missing, 0.0, mShare.fleetBurst());
            mShare.loanRequested(ask.lender, ask.loanId, inNow);
            mAsked = ask.loanId;
            ++mAskedInRound;
            mNextAskAt = inNow + cAskTimeout;
            ioActions.ask = std::move(ask);
        }
    }
    ioActions.wakeAt = std::min(ioActions.wakeAt.value_or(mNextAskAt), mNextAskAt);
}

void shared_limiter::forgetOldCharges(core::time_point inNow)
{
    if (inNow < mNextForget)
        return;
    mNextForget = inNow + cMaxOpen;
    for (auto item = mOpen.begin(); item != mOpen.end();) {
        const auto current = item++;
        if (current->second.openedAt + cMaxOpen <= inNow)
            settleOpen(current, current->second.tokens, inNow);
    }
}

} // namespace corneltally::limits
