#include "corneltally/limits/fleet_allowance.h"

#include <algorithm>
#include <cmath>

namespace corneltally::limits {

namespace {

/// Part of the rate that counts as charged by all instances together even if they charged nothing,
/// so that an idle instance has a part when its first request arrives.
constexpr double cIdleDemand = 0.2;
/// Part of the burst up to which an instance collects its part of the rate before its first request
/// shows how much one needs.
constexpr double cFirstCredit = 0.1;
/// Largest credit, in requests of the largest amount. Beyond one request, so that nothing is lost
/// until the next one arrives.
constexpr double cMaxCredit = 1.5;
/// The silence of peers is determined again after this time, or when one is heard.
constexpr core::duration cSilenceCheckPeriod = std::chrono::milliseconds(20);

double inSeconds(core::duration inDuration)
{
    return std::chrono::duration<double>(inDuration).count();
}

core::duration fromSeconds(double inSeconds)
{
    return std::chrono::duration_cast<core::duration>(std::chrono::duration<double>(inSeconds));
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
    const std::set<std::string, std::less<>> peers(inPeers.begin(), inPeers.end());
    if (std::ranges::equal(peers, mPeers, {}, {}, &decltype(mPeers)::value_type::first))
        return;
    const auto isGone = [&](const std::string &inPeer) { return !peers.contains(inPeer); };
    for (auto &[name, account] : mAccounts) {
        refill(account, inNow);
        std::erase_if(account.silentPeers, isGone);
    }
    std::erase_if(mPeers, [&](const auto &inEntry) { return isGone(inEntry.first); });
    for (const std::string &peer : inPeers)
        mPeers.try_emplace(peer);
    mSilenceCheckedAt = {};
}

void fleet_allowance::applyPeerTotals(const std::string &inPeer, std::uint64_t inIncarnation,
                                      const std::vector<account_use> &inUses, bool inIsComplete,
                                      core::time_point inNow)
{
    updateSilence(inNow);
    peer_state &peer = mPeers[inPeer];
    if (peer.incarnation != inIncarnation) {
        // The totals of a restarted peer begin at zero. Those of a peer that was not known before
        // may be old.
        peer.hasBaseline = peer.incarnation != 0;
        peer.incarnation = inIncarnation;
        for (auto &[account, total] : peer.totals)
            total = 0;
    }
    for (const account_use &use : inUses) {
        const auto [known, isNew] = peer.totals.try_emplace(use.account, 0);
        // Negative if the peer refunded more than it charged since its last totals.
        const double used = isNew && !peer.hasBaseline ? 0 : use.amount - known->second;
        known->second = use.amount;
        const auto found = mAccounts.find(use.account);
        // The total of an unknown account is kept as its baseline, in case it is configured later.
        if (found == mAccounts.end())
            continue;
        account_state &account = found->second;
        refill(account, inNow);
        const auto reserved = account.reserved.find(inPeer);
        if (reserved != account.reserved.end()) {
            account.level += reserved->second;
            account.reserved.erase(reserved);
        }
        account.level = std::min(account.burst, account.level - used);
        account.allDemand += std::max(0.0, used);
        account.othersCharged += std::max(0.0, used);
        account.othersPeak = std::max(account.othersPeak, account.othersCharged);
    }
    peer.hasBaseline = peer.hasBaseline || inIsComplete;
    peer.lastReceivedAt = inNow;
    mSilent.erase(inPeer);
}

double fleet_allowance::ownBurst(const account_state &inAccount) const
{
    const auto all = static_cast<double>(mPeers.size() + 1);
    return inAccount.burst * (1 - static_cast<double>(inAccount.silentPeers.size()) / all);
}

double fleet_allowance::ownPart(const account_state &inAccount) const
{
    const auto all = static_cast<double>(mPeers.size() + 1);
    const double idle = cIdleDemand * inAccount.rate * inSeconds(cDemandTime);
    return std::min(1.0, (inAccount.ownDemand + idle / all) / (inAccount.allDemand + idle));
}

void fleet_allowance::updateSilence(core::time_point inNow)
{
    if (inNow - mSilenceCheckedAt < cSilenceCheckPeriod)
        return;
    mSilenceCheckedAt = inNow;
    for (const auto &[name, peer] : mPeers) {
        if (!peer.lastReceivedAt || inNow - *peer.lastReceivedAt > cPeerTimeout)
            mSilent.insert(name);
    }
    std::erase_if(mSilent, [&](const std::string &inPeer) { return !mPeers.contains(inPeer); });
}

/// Reserves an equal part of the remaining level for each peer that became silent. Instances that
/// are cut off from each other then share the remaining burst instead of each spending all of it.
void fleet_allowance::reserveForSilentPeers(account_state &ioAccount) const
{
    std::erase_if(ioAccount.silentPeers,
                  [&](const std::string &inPeer) { return !mSilent.contains(inPeer); });
    for (const std::string &name : mSilent) {
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
    updateSilence(inNow);
    reserveForSilentPeers(ioAccount);
    const double elapsed = std::max(0.0, inSeconds(inNow - ioAccount.updated));
    ioAccount.updated = inNow;
    while (!ioAccount.unheard.empty() && inNow - ioAccount.unheard.front().at >= cHearingTime) {
        const double amount = ioAccount.unheard.front().amount;
        ioAccount.unheardAmount -= amount;
        ioAccount.ownDemand += amount;
        ioAccount.allDemand += amount;
        ioAccount.unheard.pop_front();
    }
    if (ioAccount.unheard.empty())
        ioAccount.unheardAmount = 0;
    if (elapsed == 0)
        return;
    const double gained = elapsed * ioAccount.rate;
    const double share = gained / static_cast<double>(mPeers.size() + 1);
    for (const std::string &name : mSilent) {
        double &reserved = ioAccount.reserved[name];
        // A silent peer accumulates at most its part of the burst; the excess is lost.
        reserved
            = std::min(reserved + share, ioAccount.burst / static_cast<double>(mPeers.size() + 1));
    }
    const double kept = gained - share * static_cast<double>(mSilent.size());
    ioAccount.level = std::min(ownBurst(ioAccount), ioAccount.level + kept);
    const double maxCredit = ioAccount.largestAmount > 0 ? cMaxCredit * ioAccount.largestAmount
                                                         : cFirstCredit * ioAccount.burst;
    ioAccount.credit = std::min(maxCredit, ioAccount.credit + kept * ownPart(ioAccount));
    age(ioAccount, elapsed);
}

void fleet_allowance::age(account_state &ioAccount, double inElapsed)
{
    const double demand = std::exp(-inElapsed / inSeconds(cDemandTime));
    ioAccount.ownDemand *= demand;
    ioAccount.allDemand *= demand;
    ioAccount.othersCharged *= std::exp(-inElapsed / inSeconds(cHearingTime));
    ioAccount.othersPeak *= std::exp(-inElapsed / inSeconds(cPeakTime));
}

/// Whether an amount that the level covers may be taken from it before the others hear of it.
bool fleet_allowance::isCovered(const account_state &inAccount, double inAmount) const
{
    const double unheard = inAccount.unheardAmount;
    return inAccount.level - inAmount >= inAccount.othersPeak || inAmount <= inAccount.credit
        || unheard + inAmount <= ownPart(inAccount) * (std::max(0.0, inAccount.level) + unheard);
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
    const double needed = std::min(inAmount, ownBurst(account));
    account.largestAmount = std::max(account.largestAmount, needed);
    if (account.level < needed || !isCovered(account, needed))
        return false;
    account.level -= inAmount;
    account.ownTotal += inAmount;
    account.credit = std::max(0.0, account.credit - inAmount);
    account.unheard.push_back({inNow, inAmount});
    account.unheardAmount += inAmount;
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
    const double needed = std::min(inAmount, ownBurst(account));
    const core::duration refilled
        = fromSeconds(std::max(0.0, (needed - account.level) / account.rate));
    if (isCovered(account, needed))
        return refilled;
    const double ownRate = std::max(account.rate * ownPart(account), 1.0);
    core::duration covered = fromSeconds((needed - account.credit) / ownRate);
    if (!account.unheard.empty())
        covered = std::min(covered, account.unheard.front().at + cHearingTime - inNow);
    return std::max(refilled, covered);
}

void fleet_allowance::resetAfterPause(core::time_point inNow)
{
    for (auto &[name, account] : mAccounts) {
        account.level = std::min(account.level, 0.0);
        account.credit = 0;
        account.updated = inNow;
        account.reserved.clear();
    }
    for (auto &[name, peer] : mPeers)
        peer.lastReceivedAt.reset();
    mSilenceCheckedAt = {};
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
