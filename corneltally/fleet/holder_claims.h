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

/// Constants of claims on engines.
struct claim_settings
{
    /// A holder orders only while its last look at the claims is younger than this, ...
    core::duration maxReadAge = std::chrono::milliseconds(4000);
    /// ... or younger than this while all instances that it knows of say that they hear it: nobody
    /// claims engines of an instance that it hears. An instance that the holder does not know of
    /// yet can't order before its own silence and its wait for the holder are over.
    core::duration maxReadAgeWhenHeard = std::chrono::milliseconds(11000);
    /// Longest age of such a word. An instance claims only after its own silence time, and a claim
    /// takes effect only after the lookAge, so this may be their sum, less the time after which an
    /// instance counts as not heard (1.2 s) and a margin for words that arrive late.
    core::duration maxHeardAge = std::chrono::milliseconds(6500);
    /// Time between the orders of two holders of one engine that the operator asks for.
    core::duration handoverPause = std::chrono::milliseconds(3000);
    /// Added to the changePause for delays of orders on their way.
    core::duration handoverMargin = std::chrono::milliseconds(400);
    /// An instance that was not heard for this long loses its engines. Most cuts and restarts are
    /// shorter, and a holder that comes back goes on at once, a successor has to wait.
    core::duration silenceTimeout = std::chrono::milliseconds(7000);
    /// A claim is appended only behind a look that is younger than this. A slow store takes a
    /// quarter of a second and more to answer one.
    core::duration maxReadAgeForClaim = std::chrono::milliseconds(1000);
    /// Free engines are claimed only after this time, when the live instances know each other.
    core::duration firstClaimDelay = std::chrono::milliseconds(600);
};

/// Who holds an engine.
struct claim
{
    /// Name of the instance and the machine that it runs on.
    std::string instance;
    std::string machine;
    std::uint64_t incarnation = 0;
    /// Grows with each claim on any engine; the fencing number of the holder's orders.
    std::uint64_t fence = 0;

    friend auto operator<=>(const claim &, const claim &) = default;
};

/// An engine or an instance with its failure domain.
struct fleet_node
{
    std::string name;
    std::string failureDomain;

    friend auto operator<=>(const fleet_node &, const fleet_node &) = default;
};

/// Which instance may give orders to which engine. The claims are records of a topic of the store,
/// appended only behind the last record that the claimant has read, so all instances agree on
/// their order. A claim on an engine of another holder takes effect only after that holder must
/// have stopped.
class holder_claims
{
public:
    holder_claims(claim_settings inSettings, claim inSelf, std::string inFailureDomain)
        : mSettings(inSettings)
        , mSelf(std::move(inSelf))
        , mFailureDomain(std::move(inFailureDomain))
    { }

    void setSettings(claim_settings inSettings) { mSettings = inSettings; }

    /// A claim was read from the store; without one the engine is free.
    void applyClaim(const std::string &inEngine, std::optional<claim> inClaim,
                    core::time_point inNow);

    /// All claims up to the end of the topic were read, in a read that was started at a time.
    void confirmRead(core::time_point inStartedAt);

    /// The last look at the claims does not count any more, after a pause of the process.
    void invalidateRead() { mConfirmedAt = {}; }

    /// The store holds exactly these claims.
    void keepOnly(const std::set<std::string> &inEngines);

    /// Whether this instance may order now. To be asked immediately before each order.
    bool mayOrder(std::string_view inEngine, core::time_point inNow) const;

    /// Whether this instance holds the engine, even if it has to wait before its first order.
    bool holds(std::string_view inEngine) const;

    const claim *find(std::string_view inEngine) const;

    /// Another instance gave a sign of life.
    void heard(std::string_view inInstance, core::time_point inNow);

    /// Another instance said that it hears this one.
    void heardBy(std::string_view inInstance, core::time_point inNow);

    /// The record of this instance was read. Instances without a record don't count for holders, so
    /// this one claims engines of others only after the silence time from then.
    void setRecorded(core::time_point inNow) { mRecordedAt = inNow; }

    /// Whether all other instances that may exist have said within a time that they hear this one.
    bool isHeardByAll(core::duration inAge, core::time_point inNow) const;

    /// Whether the last look at the claims is recent enough to append a claim behind it.
    bool hasFreshRead(core::time_point inNow) const
    {
        return inNow - mConfirmedAt < mSettings.maxReadAgeForClaim;
    }

    /// All other instances that may exist.
    void setMembers(std::vector<std::string> inMembers) { mMembers = std::move(inMembers); }

    /// Engines that this instance should claim, of those that exist, once its look is fresh.
    std::vector<std::string> enginesToClaim(const std::vector<fleet_node> &inEngines,
                                            const std::vector<fleet_node> &inLiveInstances,
                                            core::time_point inNow) const;

    /// Claims on engines that do not exist any more and can be removed.
    std::vector<std::string> obsoleteClaims(const std::vector<fleet_node> &inEngines) const;

    const claim &self() const { return mSelf; }

private:
    struct held_engine
    {
        claim holder;
        /// This instance orders only from this time on.
        core::time_point notBefore;
    };

    bool isPreferred(const fleet_node &inEngine,
                     const std::vector<fleet_node> &inLiveInstances) const;
    core::time_point lastHeard(const std::string &inInstance) const;
    bool isReadValid(core::time_point inNow) const;

    claim_settings mSettings;
    claim mSelf;
    std::string mFailureDomain;
    std::map<std::string, held_engine, std::less<>> mEngines;
    std::map<std::string, core::time_point, std::less<>> mHeard;
    std::map<std::string, core::time_point, std::less<>> mHeardBy;
    std::vector<std::string> mMembers;
    core::time_point mConfirmedAt;
    std::optional<core::time_point> mRecordedAt;
    std::optional<core::time_point> mFirstConfirmed;
};

} // namespace corneltally::fleet
