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

/// What one instance has charged to an account since its start.
struct account_use
{
    std::string account;
    double amount = 0;

    friend auto operator<=>(const account_use &, const account_use &) = default;
};

/// Rates of client accounts over all instances. Each instance charges what it admits, tells the
/// others its totals several times a second, and subtracts theirs. An instance that is not heard is
/// taken to use its equal share, so that the sum stays within the rate when instances lose each
/// other.
class fleet_allowance
{
public:
    /// An instance that was not heard for this long is taken to use its share; heartbeats come five
    /// times a second.
    static constexpr core::duration cPeerTimeout = std::chrono::milliseconds(700);

    /// Sets the limits of an account; no limit if the rate is zero.
    void configure(const std::string &inAccount, double inRate, double inBurst,
                   core::time_point inNow);

    /// Forgets accounts that are not in the list.
    void retainAccounts(const std::vector<std::string> &inAccounts);

    /// The other instances that may be admitting requests.
    void setPeers(const std::vector<std::string> &inPeers, core::time_point inNow);

    /// Totals of another instance; the incarnation tells its starts apart.
    void applyPeerTotals(const std::string &inPeer, std::uint64_t inIncarnation,
                         const std::vector<account_use> &inUses, core::time_point inNow);

    /// Charges an amount if the allowance holds it.
    bool tryCharge(std::string_view inAccount, double inAmount, core::time_point inNow);

    /// Returns a charge for a request that did not run.
    void refund(std::string_view inAccount, double inAmount);

    /// Time until the amount would be admitted, if nobody else charges meanwhile.
    core::duration timeUntil(std::string_view inAccount, double inAmount, core::time_point inNow);

    /// Empties all allowances and counts all others as not heard, after a pause of the process.
    void resetAfterPause(core::time_point inNow);

    /// Totals of this instance.
    std::vector<account_use> ownUses() const;

private:
    struct peer_state
    {
        std::uint64_t incarnation = 0;
        std::optional<core::time_point> lastHeard;
        std::map<std::string, double, std::less<>> totals;
    };
    struct account_state
    {
        double rate = 0;
        double burst = 0;
        double level = 0;
        double ownTotal = 0;
        core::time_point updated;
        /// Taken from the level for instances that were not heard, by instance.
        std::map<std::string, double, std::less<>> reserved;
        /// Instances whose part of the level was taken since they fell silent.
        std::set<std::string, std::less<>> silentPeers;
    };

    /// Burst less the parts of the instances that are not heard.
    double ownBurst(const account_state &inAccount) const;
    void reserveForSilentPeers(account_state &ioAccount, core::time_point inNow);
    void refill(account_state &ioAccount, core::time_point inNow);

    std::map<std::string, account_state, std::less<>> mAccounts;
    std::map<std::string, peer_state, std::less<>> mPeers;
};

} // namespace corneltally::limits
