#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace corneltally::limits {

/// Total that one instance has charged to an account since its start.
struct account_use
{
    std::string account;
    double amount = 0;

    friend auto operator<=>(const account_use &, const account_use &) = default;
};

/// Limits the rate of each client account over all instances. Each instance charges what it admits,
/// sends its totals to its peers several times a second, and subtracts theirs from its allowance. A
/// silent peer is assumed to use its equal share, so that the sum stays within the rate while
/// instances cannot reach each other.
///
/// All instances see the level recover at the same moment, and hear of each other's charges only
/// later. An instance therefore takes from the level only what remains if the others go on charging
/// at their recent peak, or no more than its part of the level until its charges are heard. The
/// part is what it charged recently compared with all instances. Where it is smaller than a
/// request, its part of the rate adds up until it covers one.
class fleet_allowance
{
public:
    /// A peer without a heartbeat for this long counts as silent; heartbeats are sent five times a
    /// second, and those of other failure domains arrive in summaries.
    static constexpr core::duration cPeerTimeout = std::chrono::milliseconds(700);
    /// Time after which all peers have heard of a charge: two periods of heartbeats and a delay.
    static constexpr core::duration cHearingTime = std::chrono::milliseconds(500);
    /// Time constant of the recent charges that determine an instance's part.
    static constexpr core::duration cDemandTime = std::chrono::milliseconds(10000);
    /// Time constant after which a peak of the others' charges no longer counts.
    static constexpr core::duration cPeakTime = std::chrono::milliseconds(10000);

    /// Sets the limits of an account; a rate of zero means no limit.
    void configure(const std::string &inAccount, double inRate, double inBurst,
                   core::time_point inNow);

    /// Removes the accounts that are not in the list.
    void retainAccounts(const std::vector<std::string> &inAccounts);

    /// Sets the other instances that may be admitting requests.
    void setPeers(const std::vector<std::string> &inPeers, core::time_point inNow);

    /// For each listed account, returns what was reserved for the peer while it was silent and
    /// subtracts what it charged since its last totals. Accounts that have not changed may be
    /// omitted unless inIsComplete. Totals restart from zero with a new incarnation, which is a new
    /// start of the peer's process.
    void applyPeerTotals(const std::string &inPeer, std::uint64_t inIncarnation,
                         const std::vector<account_use> &inUses, bool inIsComplete,
                         core::time_point inNow);

    /// Charges an amount if the allowance covers it.
    bool tryCharge(std::string_view inAccount, double inAmount, core::time_point inNow);

    /// Refunds the charge of a request that did not run.
    void refund(std::string_view inAccount, double inAmount);

    /// Time until the amount is admitted if there are no other charges before.
    core::duration timeUntil(std::string_view inAccount, double inAmount, core::time_point inNow);

    /// Empties all allowances and marks all peers as silent, after a pause of the process.
    void resetAfterPause(core::time_point inNow);

    /// Totals of this instance, to be sent to its peers.
    std::vector<account_use> ownUses() const;

private:
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        std::optional<core::time_point> lastReceivedAt;
        /// Whether an account that is not in totals was not charged before.
        bool hasBaseline = false;
        /// Last totals received, by account.
        std::map<std::string, double, std::less<>> totals;
    };
    struct charge
    {
        core::time_point at;
        double amount = 0;
    };
    struct account_state
    {
        double rate = 0;
        double burst = 0;
        /// Amount left to charge; negative after a charge larger than the burst, or if peers
        /// charged more than was left.
        double level = 0;
        double ownTotal = 0;
        core::time_point updated;
        /// Recent charges of this instance and of all, weighted by their age. Those that not all
        /// peers have heard of are left out, so that the parts of all instances add up to one.
        double ownDemand = 0;
        double allDemand = 0;
        /// Charges of the others within the hearing time, weighted by their age, and their peak.
        double othersCharged = 0;
        double othersPeak = 0;
        /// Part of the rate that this instance has not used.
        double credit = 0;
        double largestAmount = 0;
        /// Charges that not all peers have heard of.
        std::deque<charge> unheard;
        double unheardAmount = 0;
        /// Amount withheld from the level for each silent peer.
        std::map<std::string, double, std::less<>> reserved;
        /// Peers for which a part of the level was reserved when they became silent.
        std::set<std::string, std::less<>> silentPeers;
    };

    /// Burst without the parts of silent peers.
    double ownBurst(const account_state &inAccount) const;
    /// Part of this instance in what all instances charge.
    double ownPart(const account_state &inAccount) const;
    bool isCovered(const account_state &inAccount, double inAmount) const;
    static void age(account_state &ioAccount, double inElapsed);
    void updateSilence(core::time_point inNow);
    void reserveForSilentPeers(account_state &ioAccount) const;
    void refill(account_state &ioAccount, core::time_point inNow);

    std::map<std::string, account_state, std::less<>> mAccounts;
    std::map<std::string, peer_state, std::less<>> mPeers;
    std::set<std::string, std::less<>> mSilent;
    core::time_point mSilenceCheckedAt;
};

} // namespace corneltally::limits
