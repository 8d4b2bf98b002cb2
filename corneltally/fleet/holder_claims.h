#pragma once

#include "corneltally/core/boot_clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace corneltally::fleet {

/// Time limits of engine claims.
struct claim_options
{
    /// A holder gives orders only if its last read of the claims is more recent than this.
    core::duration maxReadAge = std::chrono::milliseconds(4000);
    /// Replaces maxReadAge while all known instances of the failure domain report the holder as
    /// live, since none of them claims the engines of a live instance. Instances of other domains
    /// do not report; a claim of theirs takes effect only after this time. An instance unknown to
    /// the holder can't give orders before its silenceTimeout and its wait for the former holder
    /// have passed.
    core::duration maxReadAgeWhenLive = std::chrono::milliseconds(11000);
    /// Maximum age of such a report. An instance claims only after its silenceTimeout, and a claim
    /// takes effect only after maxReadAge. The limit must therefore stay below their sum by the
    /// time after which an instance is no longer live (1.2 s) and a margin for late reports.
    core::duration maxLiveReportAge = std::chrono::milliseconds(6500);
    /// Pause between the orders of two successive holders of an engine, as set by the operator.
    core::duration handoverPause = std::chrono::milliseconds(3000);
    /// Added to handoverPause for delays of orders in flight.
    core::duration handoverMargin = std::chrono::milliseconds(400);
    /// An instance from which nothing is received for this long loses its engines. Most
    /// interruptions and restarts are shorter: a returning holder can continue at once, while a
    /// successor has to wait.
    core::duration silenceTimeout = std::chrono::milliseconds(7000);
    /// The same for a holder in another failure domain, whose instances take over first. Most cuts
    /// of a domain are shorter.
    core::duration foreignSilenceTimeout = std::chrono::milliseconds(10000);
    /// A claim is appended only if the last read of the claims is more recent than this. A slow
    /// store takes 0.25 s and more to answer a read.
    core::duration maxReadAgeForClaim = std::chrono::milliseconds(1000);
    /// Free engines are claimed only after this delay, so that the live instances know each other.
    core::duration firstClaimDelay = std::chrono::milliseconds(600);
    /// Longest time from the decision to claim to the claim's record.
    core::duration maxAppendTime = std::chrono::milliseconds(3000);
};

/// An engine claim: names the holder of an engine.
struct claim
{
    /// Name of the instance, and the machine that it runs on.
    std::string instance;
    std::string machine;
    std::uint64_t incarnation = 0;
    /// Fencing number of the holder's orders; increases with each claim on any engine.
    std::uint64_t fence = 0;
    /// Failure domain of the instance; empty in records of earlier releases.
    std::string failureDomain;
    /// Whether a holder on another machine may still give orders.
    bool followsOther = false;
    /// Until when, at most, in the boot time of the holder's machine; zero if the claim was made by
    /// another machine.
    core::time_point orderFrom = {};
    /// Era of the store whose record this is.
    std::uint64_t era = 0;

    friend auto operator<=>(const claim &, const claim &) = default;
};

/// A claim on an engine.
struct engine_claim
{
    std::string engine;
    claim holder;

    friend auto operator<=>(const engine_claim &, const engine_claim &) = default;
};

/// A live instance that engines can be claimed for.
struct live_candidate
{
    std::string name;
    std::string failureDomain;
    std::string machine;
    std::uint64_t incarnation = 0;

    friend auto operator<=>(const live_candidate &, const live_candidate &) = default;
};

/// An engine or instance and its failure domain.
struct fleet_node
{
    std::string name;
    std::string failureDomain;

    friend auto operator<=>(const fleet_node &, const fleet_node &) = default;
};

/// Decides which instance may give orders to which engine. Claims are records of a topic in the
/// store. A claim is appended only if the topic still ends where the claimant's last read ended, so
/// all instances agree on the sequence of claims. A claim on an engine of another holder takes
/// effect only after that holder must have stopped giving orders, also for a process that was
/// started since and reads the last claim alone.
class holder_claims
{
public:
    holder_claims(claim_options inOptions, claim inSelf, std::string inFailureDomain)
        : mOptions(inOptions)
        , mSelf(std::move(inSelf))
        , mFailureDomain(std::move(inFailureDomain))
    { }

    void setOptions(claim_options inOptions) { mOptions = inOptions; }

    /// Applies a claim read from the store. Without a claim the engine is free.
    void applyClaim(const std::string &inEngine, std::optional<claim> inClaim,
                    core::time_point inNow);

    /// Notes that all claims up to the end of the topic were read by a read started at inStartedAt.
    void confirmRead(core::time_point inStartedAt);

    /// Invalidates the last read of the claims, for example after the process was suspended.
    void invalidateRead() { mConfirmedAt = {}; }

    /// Drops the claims on all engines except these, which are all that the store has in an era. A
    /// claim of an earlier era stays, since its holder does not know yet that the store has lost
    /// it.
    void keepOnly(const std::set<std::string> &inEngines, std::uint64_t inEra);

    /// Whether this instance may give orders now. Must be checked immediately before each order.
    bool mayOrder(std::string_view inEngine, core::time_point inNow) const;

    /// Whether this instance holds the engine, even if it still has to wait before its first order.
    bool holds(std::string_view inEngine) const;

    const claim *find(std::string_view inEngine) const;

    /// Notes that a message of another instance was received.
    void messageReceived(std::string_view inInstance, core::time_point inNow);

    /// Notes that another instance reported this one as live.
    void reportedLiveBy(std::string_view inInstance, core::time_point inNow);

    /// Notes that the record of this instance was read. Holders take no account of instances
    /// without a record, so this one claims engines of others only after the silenceTimeout has
    /// passed since then.
    void setRecorded(core::time_point inNow) { mRecordedAt = inNow; }

    /// Whether all other instances that may exist reported this one as live within inAge.
    bool isReportedLiveByAll(core::duration inAge, core::time_point inNow) const;

    /// Whether the last read of the claims is recent enough to append a claim.
    bool hasFreshRead(core::time_point inNow) const
    {
        return inNow - mConfirmedAt < mOptions.maxReadAgeForClaim;
    }

    /// Sets the other instances that may claim the engines of live instances of this domain.
    void setMembers(std::vector<std::string> inMembers) { mMembers = std::move(inMembers); }

    /// Returns which of the existing engines this instance should claim after a fresh read: free
    /// ones, and its own whose claims the store has lost.
    std::vector<std::string> enginesToClaim(const std::vector<fleet_node> &inEngines,
                                            const std::vector<fleet_node> &inLiveInstances,
                                            core::time_point inNow) const;

    /// Returns the claims that this instance should make for the other live instances of its
    /// failure domain, so that one append serves the domain.
    std::vector<engine_claim>
    claimsForLocalPeers(const std::vector<fleet_node> &inEngines,
                        const std::vector<live_candidate> &inLiveInstances,
                        core::time_point inNow) const;

    /// Completes a claim with what a former holder on another machine may still do, so that a new
    /// start of the claim's holder knows it from the record.
    claim claimAfterFormer(std::string_view inEngine, claim inClaim, core::time_point inNow) const;

    /// Returns the engines held by this instance that no longer exist, whose claims can be removed.
    std::vector<std::string> obsoleteClaims(const std::vector<fleet_node> &inEngines) const;

    const claim &self() const { return mSelf; }

private:
    struct held_engine
    {
        claim holder;
        /// This instance may give orders only from this time on.
        core::time_point notBefore;
    };

    core::duration waitAfter(const claim &inFormer, const claim &inNext) const;
    core::time_point waitOfRecord(const claim &inClaim, core::time_point inNow) const;
    bool isPreferred(const fleet_node &inEngine,
                     const std::vector<fleet_node> &inLiveInstances) const;
    std::pair<bool, std::uint64_t> preference(const fleet_node &inEngine,
                                              const std::string &inInstance,
                                              const std::string &inDomain) const;
    bool isFree(const fleet_node &inEngine, core::time_point inNow) const;
    core::time_point lastReceived(const std::string &inInstance) const;
    bool isReadValid(core::time_point inNow) const;

    claim_options mOptions;
    claim mSelf;
    std::string mFailureDomain;
    std::map<std::string, held_engine, std::less<>> mEngines;
    std::map<std::string, core::time_point, std::less<>> mLastReceived;
    std::map<std::string, core::time_point, std::less<>> mLiveReports;
    std::vector<std::string> mMembers;
    /// Era of the claims that were read last.
    std::uint64_t mEra = 0;
    core::time_point mConfirmedAt;
    std::optional<core::time_point> mRecordedAt;
    std::optional<core::time_point> mFirstConfirmed;
};

} // namespace corneltally::fleet
