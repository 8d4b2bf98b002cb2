#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/limits/demand_meter.h"
#include "corneltally/limits/fleet_share.h"

#include <chrono>
#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::limits {

/// Outcome of a request for tokens.
enum class limiter_outcome : std::uint8_t {
    admitted,
    /// Neither the refill nor loans covered the request in time.
    refused,
    /// Exceeds the burst of the account, so that no wait is long enough.
    too_large,
};

/// Admits or refuses requests for tokens of one fleet-wide limit: charges the share of this
/// instance, queues requests in order of arrival, and borrows from peers while requests wait.
class shared_limiter
{
public:
    /// Longest wait for the refill or a loan.
    static constexpr core::duration cMaxWait = std::chrono::milliseconds(250);
    /// Time without an answer after which the next peer is asked: a few round trips between failure
    /// domains.
    static constexpr core::duration cLoanRequestTimeout = std::chrono::milliseconds(20);
    /// Pause after all peers have been asked once.
    static constexpr core::duration cRoundPause = std::chrono::milliseconds(40);
    /// Limit of waiting requests, which bounds memory and work per account. Further requests are
    /// refused at once.
    static constexpr std::size_t cMaxWaiting = 4096;
    /// Age at which charges that were never settled count as fully used; longer than any request.
    static constexpr core::duration cMaxChargeAge = std::chrono::hours(1);

    struct decision
    {
        std::string requestId;
        limiter_outcome outcome = limiter_outcome::refused;
        /// Time until a refused request can expect tokens.
        core::duration retryAfter{};

        friend auto operator<=>(const decision &, const decision &) = default;
    };

    /// A request for a loan, to be sent to the lender.
    struct loan_request
    {
        std::string lender;
        std::uint64_t loanId = 0;
        double rate = 0;
        double tokens = 0;

        friend auto operator<=>(const loan_request &, const loan_request &) = default;
    };

    struct actions
    {
        std::vector<decision> decisions;
        std::optional<loan_request> loanRequest;
        /// Time of the next poll if nothing else happens before.
        std::optional<core::time_point> wakeAt;
    };

    /// Loan ids count up from inFirstLoanId. It must differ between starts of an instance, so that
    /// a late answer to an earlier process does not match a request of this one.
    shared_limiter(double inRate, double inBurst, double inFraction, core::time_point inStart,
                   std::uint64_t inFirstLoanId);

    void setLimits(double inRate, double inBurst, core::time_point inNow);
    void setFraction(double inFraction, core::time_point inNow);
    /// Sets the live peers, without this instance.
    void setPeers(std::vector<std::string> inPeers);

    void submit(std::string inRequestId, double inTokens, core::time_point inDeadline,
                core::time_point inNow);
    /// Removes a waiting request, which then gets no decision, or refunds the whole charge of an
    /// admitted one. Returns whether the request was waiting.
    bool cancel(std::string_view inRequestId, core::time_point inNow);
    /// Settles the charge of an admitted request with the tokens that it used.
    void settle(std::string_view inRequestId, double inUsed, core::time_point inNow);

    /// Answers a peer's loan request; the loan is empty if there is nothing to lend.
    fleet_share::loan lend(std::string_view inBorrower, std::uint64_t inLoanId, double inRate,
                           double inTokens, core::time_point inNow);
    void loanReceived(std::string_view inLender, std::uint64_t inLoanId,
                      const fleet_share::loan &inLoan, core::time_point inNow);

    /// Resets the share after a pause of the process.
    void paused(core::time_point inNow);

    /// Decides the requests that can be decided now, and requests a loan if others wait.
    actions poll(core::time_point inNow);

    std::size_t waiting() const { return mWaiting.size(); }
    fleet_share &share() { return mShare; }
    double demand(core::time_point inNow) const { return mDemand.rate(inNow); }

private:
    struct waiting_request
    {
        std::string id;
        double tokens = 0;
        core::time_point deadline;
    };
    struct open_charge
    {
        token_accounting::charge_id charge = 0;
        double tokens = 0;
        core::time_point openedAt;
    };

    core::duration retryAfter(double inTokens, core::time_point inNow);
    void decide(core::time_point inNow, actions &ioActions);
    void requestLoan(core::time_point inNow, actions &ioActions);
    void settleCharge(std::map<std::string, open_charge, std::less<>>::iterator inCharge,
                      double inUsed, core::time_point inNow);
    void expireCharges(core::time_point inNow);

    fleet_share mShare;
    demand_meter mDemand;
    std::deque<waiting_request> mWaiting;
    double mWaitingTokens = 0;
    std::vector<decision> mDecided;
    std::map<std::string, open_charge, std::less<>> mOpenCharges;
    core::time_point mNextExpiryAt;

    std::vector<std::string> mPeers;
    std::size_t mNextPeer = 0;
    std::size_t mRequestsInRound = 0;
    std::uint64_t mNextLoanId;
    std::optional<std::uint64_t> mOpenLoanId;
    core::time_point mNextRequestAt;
};

} // namespace corneltally::limits
