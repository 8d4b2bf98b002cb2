#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/limits/token_accounting.h"
#include "corneltally/limits/token_bucket.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::limits {

/// This instance's part of a fleet-wide rate and burst: a base share, minus what it lent to peers,
/// plus what it borrowed.
///
/// Over the fleet, the sum of all rates and bursts in use, including loans in transit, never
/// exceeds the limits of the account, and tokens only move between buckets. The fleet therefore
/// spends at most rate x window + burst in any window:
/// - A lender subtracts rate, burst and tokens before it answers, and gets rate and burst back
///   cLoanDuration after the grant. The borrower stops using them cLoanDuration after its request,
///   which is never later. Clocks of different machines are not compared.
/// - A process may have lent before it was restarted. Its base share therefore starts empty and
///   does not refill for cLoanDuration after the start.
/// - A process that was paused may have been replaced. The same delay applies, so that it learns of
///   its replacement first.
/// - Instances see a change of their number within 3 s of each other. A share shrinks at once, and
///   grows only after all others have shrunk and their loans have ended.
class fleet_share
{
public:
    static constexpr core::duration cLoanDuration = std::chrono::seconds(2);
    static constexpr core::duration cGrowDelay = 2 * cLoanDuration + std::chrono::seconds(3);

    /// A part of a share that moves from a lender to a borrower for a limited time.
    struct loan
    {
        double rate = 0;
        double burst = 0;
        /// Tokens taken from the lender's bucket, at most the burst of the loan.
        double tokens = 0;
        core::duration validFor{};

        friend auto operator<=>(const loan &, const loan &) = default;
    };

    /// Takes the fleet-wide limits and this instance's fraction of them at the start of the
    /// process.
    fleet_share(double inRate, double inBurst, double inFraction, core::time_point inStart);

    /// Changes the fleet-wide limits at once.
    void setLimits(double inRate, double inBurst, core::time_point inNow);

    /// Changes the fraction: at once if it shrinks, after cGrowDelay if it grows.
    void setFraction(double inFraction, core::time_point inNow);

    /// Charges the amount if the share covers it.
    std::optional<token_accounting::charge_id> tryCharge(double inAmount, core::time_point inNow);

    /// Ends a charge and refunds the unused part as far as the limits allow. If more was used than
    /// charged, charges the difference.
    void settle(token_accounting::charge_id inCharge, double inCharged, double inUsed,
                core::time_point inNow);

    /// Records that a loan is requested now; the loan ends at most cLoanDuration later.
    void loanRequested(std::string_view inLender, std::uint64_t inLoanId, core::time_point inNow);

    /// Adds a loan to the share. Returns false if it was not requested, was received before, has
    /// ended or has invalid values.
    bool loanReceived(std::string_view inLender, std::uint64_t inLoanId, const loan &inLoan,
                      core::time_point inNow);

    /// Lends at most the given rate and tokens. Returns nothing if the loan was granted before or
    /// there is nothing to lend.
    std::optional<loan> lend(std::string_view inBorrower, std::uint64_t inLoanId, double inMaxRate,
                             double inMaxTokens, core::time_point inNow);

    /// Resets the share after the process did not run for longer than the kernel's limit.
    void paused(core::time_point inNow);

    /// Tokens in the bucket.
    double available(core::time_point inNow);
    core::duration timeUntil(double inAmount, core::time_point inNow);

    /// Rate and burst that this instance can use now.
    double rate(core::time_point inNow);
    double burst(core::time_point inNow);
    /// Rate of the base share that is not lent.
    double ownRate(core::time_point inNow);

    double fleetRate() const { return mFleetRate; }
    double fleetBurst() const { return mFleetBurst; }
    double lentRate() const;
    double borrowedRate() const;
    std::size_t openCharges() const { return mAccounting.size(); }

private:
    struct lent_part
    {
        std::string borrower;
        std::uint64_t loanId = 0;
        loan part;
        core::time_point until;
    };
    struct borrowed_part
    {
        loan part;
        core::time_point until;
    };
    struct pending_loan
    {
        std::string lender;
        core::time_point requestedAt;
    };

    bool isActive() const { return mTime >= mActiveAt; }
    double ownBurst() const;
    double ownRateNow() const;
    std::optional<core::time_point> nextChangeTime() const;
    void advance(core::time_point inNow);
    void step(core::time_point inNow);
    void expire(core::time_point inNow);
    void updateLimits();
    void observeFreeCapacity();

    double mFleetRate;
    double mFleetBurst;
    double mFraction;
    std::optional<double> mPendingFraction;
    core::time_point mPendingFractionAt;
    core::time_point mActiveAt;
    core::time_point mTime;
    token_bucket mBucket;
    token_accounting mAccounting;
    std::vector<lent_part> mLent;
    std::vector<borrowed_part> mBorrowed;
    std::map<std::uint64_t, pending_loan> mPending;
};

} // namespace corneltally::limits
