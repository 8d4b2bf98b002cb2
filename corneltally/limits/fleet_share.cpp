#include "corneltally/limits/fleet_share.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace corneltally::limits {

namespace {

bool isUsable(const fleet_share::loan &inLoan, double inFleetRate, double inFleetBurst)
{
    constexpr double cTolerance = token_bucket::cTolerance;
    // Comparisons with NaN are false, so NaN is rejected too.
    return inLoan.rate >= 0 && inLoan.rate <= inFleetRate + cTolerance && inLoan.tokens >= 0
        && inLoan.tokens <= inLoan.burst + cTolerance && inLoan.burst <= inFleetBurst + cTolerance;
}

} // namespace

fleet_share::fleet_share(double inRate, double inBurst, double inFraction, core::time_point inStart)
    : mFleetRate(inRate)
    , mFleetBurst(inBurst)
    , mFraction(inFraction)
    , mActiveAt(inStart + cLoanDuration)
    , mTime(inStart)
    , mBucket(0, 0, inStart)
{
    assert(inFraction >= 0 && inFraction <= 1);
}

void fleet_share::setLimits(double inRate, double inBurst, core::time_point inNow)
{
    advance(inNow);
    mFleetRate = inRate;
    mFleetBurst = inBurst;
    updateLimits();
}

void fleet_share::setFraction(double inFraction, core::time_point inNow)
{
    assert(inFraction >= 0 && inFraction <= 1);
    advance(inNow);
    if (inFraction > mFraction) {
        if (mPendingFraction != inFraction) {
            mPendingFraction = inFraction;
            mPendingFractionAt = inNow + cGrowDelay;
        }
        return;
    }
    mFraction = inFraction;
    mPendingFraction.reset();
    updateLimits();
}

std::optional<token_accounting::charge_id> fleet_share::tryCharge(double inAmount,
                                                                  core::time_point inNow)
{
    advance(inNow);
    if (!mBucket.tryTake(inAmount, mTime))
        return std::nullopt;
    return mAccounting.open(inAmount);
}

void fleet_share::settle(token_accounting::charge_id inCharge, double inCharged, double inUsed,
                         core::time_point inNow)
{
    advance(inNow);
    if (inUsed > inCharged) {
        mAccounting.close(inCharge, 0);
        mBucket.take(inUsed - inCharged, mTime);
        return;
    }
    mBucket.give(mAccounting.close(inCharge, inCharged - inUsed), mTime);
    observeFreeCapacity();
}

void fleet_share::loanRequested(std::string_view inLender, std::uint64_t inLoanId,
                                core::time_point inNow)
{
    advance(inNow);
    mPending.insert_or_assign(inLoanId,
                              pending_loan{.lender = std::string(inLender), .requestedAt = inNow});
}

bool fleet_share::loanReceived(std::string_view inLender, std::uint64_t inLoanId,
                               const loan &inLoan, core::time_point inNow)
{
    advance(inNow);
    const auto found = mPending.find(inLoanId);
    if (found == mPending.end() || found->second.lender != inLender)
        return false;
    const core::time_point until
        = found->second.requestedAt + std::min(inLoan.validFor, cLoanDuration);
    mPending.erase(found);
    if (until <= inNow || !isUsable(inLoan, mFleetRate, mFleetBurst))
        return false;
    mBorrowed.push_back({.part = inLoan, .until = until});
    updateLimits();
    mBucket.give(inLoan.tokens, mTime);
    observeFreeCapacity();
    return true;
}

std::optional<fleet_share::loan> fleet_share::lend(std::string_view inBorrower,
                                                   std::uint64_t inLoanId, double inMaxRate,
                                                   double inMaxTokens, core::time_point inNow)
{
    advance(inNow);
    const bool granted = std::ranges::any_of(mLent, [&](const lent_part &inPart) {
        return inPart.loanId == inLoanId && inPart.borrower == inBorrower;
    });
    if (granted || !std::isfinite(inMaxRate) || !std::isfinite(inMaxTokens))
        return std::nullopt;
    const double content = std::max(0.0, mBucket.available(mTime));
    loan part;
    part.rate = std::clamp(inMaxRate, 0.0, ownRateNow());
    part.tokens = std::clamp(inMaxTokens, 0.0, std::min(content, ownBurst()));
    // The borrower also gets the part of the free capacity that the lent rate would have filled.
    const double empty = std::max(0.0, mBucket.burst() - content);
    const double ofRate = part.rate > 0 ? part.rate / ownRateNow() : 0;
    part.burst = std::min(ownBurst(), part.tokens + empty * ofRate);
    part.validFor = cLoanDuration;
    if (part.rate <= token_bucket::cTolerance && part.tokens <= token_bucket::cTolerance)
        return std::nullopt;
    mBucket.take(part.tokens, mTime);
    mLent.push_back({.borrower = std::string(inBorrower),
                     .loanId = inLoanId,
                     .part = part,
                     .until = mTime + cLoanDuration});
    updateLimits();
    return part;
}

void fleet_share::paused(core::time_point inNow)
{
    advance(inNow);
    mBorrowed.clear();
    mPending.clear();
    mBucket.clear(mTime);
    mActiveAt = std::max(mActiveAt, mTime + cLoanDuration);
    updateLimits();
}

double fleet_share::available(core::time_point inNow)
{
    advance(inNow);
    return mBucket.available(mTime);
}

core::duration fleet_share::timeUntil(double inAmount, core::time_point inNow)
{
    advance(inNow);
    // Until the base share is active the rate of the bucket does not include it.
    if (!isActive() && inAmount > mBucket.available(mTime)) {
        const double rate = mFleetRate * mFraction;
        if (rate <= 0)
            return core::duration::max();
        return (mActiveAt - mTime)
            + std::chrono::duration_cast<core::duration>(
                   std::chrono::duration<double>(std::min(inAmount / rate, 3600.0)));
    }
    return mBucket.timeUntil(inAmount, mTime);
}

double fleet_share::rate(core::time_point inNow)
{
    advance(inNow);
    return mBucket.rate();
}

double fleet_share::burst(core::time_point inNow)
{
    advance(inNow);
    return mBucket.burst();
}

double fleet_share::ownRate(core::time_point inNow)
{
    advance(inNow);
    return ownRateNow();
}

double fleet_share::lentRate() const
{
    double sum = 0;
    for (const lent_part &item : mLent)
        sum += item.part.rate;
    return sum;
}

double fleet_share::borrowedRate() const
{
    double sum = 0;
    for (const borrowed_part &item : mBorrowed)
        sum += item.part.rate;
    return sum;
}

double fleet_share::ownRateNow() const
{
    return isActive() ? std::max(0.0, mFleetRate * mFraction - lentRate()) : 0.0;
}

double fleet_share::ownBurst() const
{
    if (!isActive())
        return 0;
    double lent = 0;
    for (const lent_part &item : mLent)
        lent += item.part.burst;
    return std::max(0.0, mFleetBurst * mFraction - lent);
}

std::optional<core::time_point> fleet_share::nextChangeTime() const
{
    std::optional<core::time_point> next;
    const auto consider = [&](core::time_point inTime) {
        if (!next || inTime < *next)
            next = inTime;
    };
    if (!isActive())
        consider(mActiveAt);
    if (mPendingFraction)
        consider(mPendingFractionAt);
    for (const lent_part &item : mLent)
        consider(item.until);
    for (const borrowed_part &item : mBorrowed)
        consider(item.until);
    return next;
}

void fleet_share::advance(core::time_point inNow)
{
    // Applies the changes that fell due since the last call in order, each at its own time.
    for (auto next = nextChangeTime(); next && *next <= inNow; next = nextChangeTime()) {
        step(*next);
        expire(*next);
    }
    step(inNow);
    std::erase_if(mPending, [&](const auto &inItem) {
        return inItem.second.requestedAt + cLoanDuration <= mTime;
    });
}

void fleet_share::step(core::time_point inNow)
{
    mTime = std::max(mTime, inNow);
    observeFreeCapacity();
}

void fleet_share::expire(core::time_point inNow)
{
    std::erase_if(mLent, [&](const lent_part &inItem) { return inItem.until <= inNow; });
    std::erase_if(mBorrowed, [&](const borrowed_part &inItem) { return inItem.until <= inNow; });
    if (mPendingFraction && mPendingFractionAt <= inNow) {
        mFraction = *mPendingFraction;
        mPendingFraction.reset();
    }
    updateLimits();
}

void fleet_share::updateLimits()
{
    double rate = ownRateNow();
    double burst = ownBurst();
    for (const borrowed_part &item : mBorrowed) {
        rate += item.part.rate;
        burst += item.part.burst;
    }
    mBucket.setLimits(rate, burst, mTime);
    observeFreeCapacity();
}

void fleet_share::observeFreeCapacity()
{
    mAccounting.observeFreeCapacity(mBucket.burst() - mBucket.available(mTime));
}

} // namespace corneltally::limits
