#pragma once

#include "corneltally/core/boot_clock.h"
#include "corneltally/fleet/fleet_messages.h"
#include "corneltally/fleet/fleet_records.h"

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace corneltally::fleet {

/// Collects the state of the live instances of a failure domain and builds its summary.
class summary_builder
{
public:
    /// Totals of accounts that have not changed for this long are omitted from most summaries.
    static constexpr core::duration sChangeRetention = std::chrono::milliseconds(1000);
    /// Each so many periods a summary contains all totals, for receivers that missed a change.
    static constexpr int sFullPeriod = 5;

    explicit summary_builder(member inSelf)
        : mSelf(std::move(inSelf))
    { }

    void setSelf(member inSelf) { mSelf = std::move(inSelf); }

    /// Replaces the state of an instance of the domain, this one included.
    void heartbeatReceived(const member &inInstance, const heartbeat &inHeartbeat,
                           core::time_point inNow, std::uint16_t inProtocol = cProtocol);

    /// Drops the state of an instance that is no longer live.
    void instanceLost(const std::string &inInstance) { mInstances.erase(inInstance); }

    /// Notes a state of an engine that an instance of the domain holds.
    void engineStateReceived(const std::string &inHolder, const engine_state &inState);

    /// Builds the summary of the current period.
    domain_summary build(const catalog::operator_progress &inOperatorProgress,
                         std::vector<heard_domain> inHeardDomains, core::time_point inNow) const;

    /// Ends a period: what has been reported since the last call goes into no later summary.
    void endPeriod();

private:
    struct account_total
    {
        double amount = 0;
        core::time_point changedAt;
    };
    struct instance_state
    {
        member description;
        heartbeat last;
        std::uint16_t protocol = cProtocol;
        std::map<std::string, account_total> totals;
    };

    member mSelf;
    std::map<std::string, instance_state> mInstances;
    std::vector<engines::adapter_digest> mAdapterUses;
    std::vector<answer_pause> mPauses;
    std::vector<answer_interval> mIntervals;
    std::map<std::string, summarized_engine> mEngines;
    std::uint64_t mPeriods = 0;
};

} // namespace corneltally::fleet
