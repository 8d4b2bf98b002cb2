#include "corneltally/limits/fleet_allowance.h"

#include <algorithm>

namespace corneltally::limits {

namespace {

double inSeconds(core::duration inDuration)
{
    return std::chrono::duration<double>(inDuration).count();
}

} // namespace

void fleet_allowance::configure(const std::string &inAccount, double inRate, double inBurst,
                                core::time_point inNow)
{
    const auto [found, isNew] = mAccounts.try_emplace(inAccount);
    account_state &account = found->second;
    // A new account starts empty because this instance does not know what the others admitted
    // before it started.
    if (isNew)
        account.updated = inNow;
    else
        refill(account, inNow);
    account.rate = inRate;
    account.burst = inBurst;
    account.level = std::min(account.level, inBurst);
}

void fleet_allowance::retainAccounts(const std::vector<std::string> &inAccounts)
{
    std::erase_if(mAccounts, [&](const auto &inEntry) {
        return std::ranges::find(inAccounts, inEntry.first) == inAccounts.end();
    });
}

void fleet_allowance::setPeers(const std::vector<std::string> &inPeers, core::time_point inNow)
{
    const auto isGone = [&](const std::string &inPeer) {
        return std::ranges::find(inPeers, inPeer) == inPeers.end();
    };
    for (auto &[name, account] : mAccounts) {
        refill(account, inNow);
        std::erase_if(account.silentPeers, isGone);
    }
    std::erase_if(mPeers, [&](const auto &inEntry) { return isGone(inEntry.first); });
    for (const std::string &peer : inPeers)
        mPeers.try_emplace(peer);
}

void fleet_allowance::applyPeerTotals(const std::string &inPeer, std::uint64_t inIncarnation,
                                      const std::vector<account_use> &inUses,
                                      core::time_point inNow)
{
    for (auto &[name, account] : mAccounts)
        refill(account, inNow);
    peer_state &peer = mPeers[inPeer];
    if (peer.incarnation != inIncarnation) {
        peer.incarnation = inIncarnation;
        for (auto &[account, total] : peer.totals)
            total = 0;
    }
    // The first totals of a peer only set the baseline: its earlier charges may be old.
    const bool isFirst = !peer.lastReceivedAt && peer.totals.empty();
    peer.lastReceivedAt = inNow;
    for (const account_use &use : inUses) {
        const auto found = mAccounts.find(use.account);
        double &known = peer.totals[use.account];
        // Negative if the peer refunded more than it charged since its last totals.
        const double used = isFirst ? 0 : use.amount - known;
        known = use.amount;
        // The total of an unknown account is kept as its baseline, in case it is configured later.
        if (found == mAccounts.end())
            continue;
        account_state &account = found->second;
        double &reserved = account.reserved[inPeer];
        account.level = std::min(account.burst, account.level + reserved - used);
        reserved = 0;
    }
}

double fleet_allowance::ownBurst(const account_state &inAccount) const
{
    const auto all = static_cast<double>(mPeers.size() + 1);
    return inAccount.burst * (1 - static_cast<double>(inAccount.silentPeers.size()) / all);
}

/// Reserves an equal part of the remaining level for each peer that became silent. Instances that
/// are cut off from each other then share the remaining burst instead of each spending all of it.
void fleet_allowance::reserveForSilentPeers(account_state &ioAccount, core::time_point inNow)
{
    for (const auto &[name, peer] : mPeers) {
        if (peer.lastReceivedAt && inNow - *peer.lastReceivedAt <= cPeerTimeout) {
            ioAccount.silentPeers.erase(name);
            continue;
        }
        const double parts = static_cast<double>(mPeers.size() + 1 - ioAccount.silentPeers.size());
        if (!ioAccount.silentPeers.insert(name).second || parts < 2)
            continue;
        const double part = std::max(0.0, ioAccount.level) / parts;
        ioAccount.level -= part;
        ioAccount.reserved[name] += part;
    }
}

void fleet_allowance::refill(account_state &ioAccount, core::time_point inNow)
{
    reserveForSilentPeers(ioAccount, inNow);
    const double elapsed = std::max(0.0, inSeconds(inNow - ioAccount.updated));
    ioAccount.updated = inNow;
    if (elapsed == 0)
        return;
    const double gained = elapsed * ioAccount.rate;
    const double share = gained / static_cast<double>(mPeers.size() + 1);
    double kept = gained;
    for (const auto &[name, peer] : mPeers) {
        if (peer.lastReceivedAt && inNow - *peer.lastReceivedAt <= cPeerTimeout)
            continue;
        kept -= share;
        double &reserved = ioAccount.reserved[name];
        // A silent peer accumulates at most its part of the burst; the excess is lost.
        reserved
            = std::min(reserved + share, ioAccount.burst / static_cast<double>(mPeers.size() + 1));
    }
    ioAccount.level = std::min(ownBurst(ioAccount), ioAccount.level + kept);
}

bool fleet_allowance::tryCharge(std::string_view inAccount, double inAmount, core::time_point inNow)
{
    const auto found = mAccounts.find(inAccount);
    if (found == mAccounts.end())
        return true;
    account_state &account = found->second;
    if (account.rate <= 0) {
        account.ownTotal += inAmount;
        return true;
    }
    refill(account, inNow);
    // A request larger than the burst is admitted when the allowance is full.
    if (account.level < std::min(inAmount, ownBurst(account)))
        return false;
    account.level -= inAmount;
    account.ownTotal += inAmount;
    return true;
}

void fleet_allowance::refund(std::string_view inAccount, double inAmount)
{
    const auto found = mAccounts.find(inAccount);
    if (found == mAccounts.end())
        return;
    account_state &account = found->second;
    account.ownTotal -= inAmount;
    account.level = std::min(account.burst, account.level + inAmount);
}

core::duration fleet_allowance::timeUntil(std::string_view inAccount, double inAmount,
                                          core::time_point inNow)
{
    const auto found = mAccounts.find(inAccount);
    if (found == mAccounts.end() || found->second.rate <= 0)
        return {};
    account_state &account = found->second;
    refill(account, inNow);
    const double missing = std::min(inAmount, ownBurst(account)) - account.level;
    return std::chrono::duration_cast<core::duration>(
        std::chrono::duration<double>(std::max(0.0, missing / account.rate)));
}

void fleet_allowance::resetAfterPause(core::time_point inNow)
{
    for (auto &[name, account] : mAccounts) {
        account.level = std::min(account.level, 0.0);
        account.updated = inNow;
        account.reserved.clear();
    }
    for (auto &[name, peer] : mPeers)
        peer.lastReceivedAt.reset();
}

std::vector<account_use> fleet_allowance::ownUses() const
{
    std::vector<account_use> uses;
    for (const auto &[name, account] : mAccounts) {
        if (account.ownTotal > 0)
            uses.push_back({name, account.ownTotal});
    }
    return uses;
}

} // namespace corneltally::limits
