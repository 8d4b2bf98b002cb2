#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
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
class fleet_allowance
{
public:
    /// A peer without a heartbeat for this long counts as silent; heartbeats are sent five times a
    /// second.
    static constexpr core::duration cPeerTimeout = std::chrono::milliseconds(700);

    /// Sets the limits of an account; a rate of zero means no limit.
    void configure(const std::string &inAccount, double inRate, double inBurst,
                   core::time_point inNow);

    /// Removes the accounts that are not in the list.
    void retainAccounts(const std::vector<std::string> &inAccounts);

    /// Sets the other instances that may be admitting requests.
    void setPeers(const std::vector<std::string> &inPeers, core::time_point inNow);

    /// For each listed account, returns what was reserved for the peer while it was silent and
    /// subtracts what it charged since its last totals. Totals restart from zero with a new
    /// incarnation, which is a new start of the peer's process.
    void applyPeerTotals(const std::string &inPeer, std::uint64_t inIncarnation,
                         const std::vector<account_use> &inUses, core::time_point inNow);

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
        /// Last totals received, by account.
        std::map<std::string, double, std::less<>> totals;
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
        /// Amount withheld from the level for each silent peer.
        std::map<std::string, double, std::less<>> reserved;
        /// Peers for which a part of the level was reserved when they became silent.
        std::set<std::string, std::less<>> silentPeers;
    };

    /// Burst without the parts of silent peers.
    double ownBurst(const account_state &inAccount) const;
    void reserveForSilentPeers(account_state &ioAccount, core::time_point inNow);
    void refill(account_state &ioAccount, core::time_point inNow);

    std::map<std::string, account_state, std::less<>> mAccounts;
    std::map<std::string, peer_state, std::less<>> mPeers;
};

} // namespace corneltally::limits
