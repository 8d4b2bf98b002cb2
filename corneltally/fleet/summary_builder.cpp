#include "corneltally/fleet/summary_builder.h"

#include <algorithm>
#include <set>

namespace corneltally::fleet {

void summary_builder::heartbeatReceived(const member &inInstance, const heartbeat &inHeartbeat,
                                        core::time_point inNow, std::uint16_t inProtocol)
{
    instance_state &state = mInstances[inInstance.instance];
    if (state.description.incarnation != inInstance.incarnation)
        state.totals.clear();
    state.description = inInstance;
    state.last = inHeartbeat;
    state.protocol = inProtocol;
    for (const limits::account_use &use : inHeartbeat.accountUses) {
        account_total &known = state.totals[use.account];
        if (known.amount == use.amount)
            continue;
        known = {use.amount, inNow};
    }
    mAdapterUses.insert(mAdapterUses.end(), inHeartbeat.adapterUses.begin(),
                        inHeartbeat.adapterUses.end());
    mPauses.insert(mPauses.end(), inHeartbeat.pauses.begin(), inHeartbeat.pauses.end());
    mIntervals.insert(mIntervals.end(), inHeartbeat.intervals.begin(), inHeartbeat.intervals.end());
}

void summary_builder::engineStateReceived(const std::string &inHolder, const engine_state &inState)
{
    mEngines.insert_or_assign(inState.endpoint, summarized_engine{inHolder, inState});
}

domain_summary summary_builder::build(const catalog::operator_progress &inOperatorProgress,
                                      std::vector<heard_domain> inHeardDomains,
                                      core::time_point inNow) const
{
    domain_summary summary{.domain = mSelf.failureDomain,
                           .sender = mSelf.instance,
                           .incarnation = mSelf.incarnation,
                           .sequence = mPeriods + 1,
                           .operatorProgress = inOperatorProgress,
                           .heardDomains = std::move(inHeardDomains),
                           .hasAllTotals = mPeriods % sFullPeriod == 0,
                           .adapterUses = mAdapterUses,
                           .pauses = mPauses,
                           .intervals = mIntervals};
    std::set<engines::adapter_digest> running;
    for (const auto &[name, state] : mInstances) {
        summarized_instance entry{state.description.instance, state.description.machine,
                                  state.description.address,  state.description.incarnation,
                                  state.last.draining,        state.protocol};
        for (const auto &[account, total] : state.totals) {
            if (summary.hasAllTotals || inNow - total.changedAt <= sChangeRetention)
                entry.accountUses.push_back({account, total.amount});
        }
        summary.instances.push_back(std::move(entry));
        for (const auto &[endpoint, load] : state.last.loads) {
            engines::endpoint_load &sum = summary.loads[endpoint];
            sum.requests += load.requests;
            sum.promptTokens += load.promptTokens;
            sum.memoryTokens += load.memoryTokens;
        }
        running.insert(state.last.adaptersRunning.begin(), state.last.adaptersRunning.end());
        summary.quarantine.merge(state.last.quarantine);
        for (const auto &[start, remaining] : state.last.cold) {
            core::duration &longest = summary.cold[start];
            longest = std::max(longest, remaining);
        }
    }
    summary.adaptersRunning.assign(running.begin(), running.end());
    for (const auto &[endpoint, engine] : mEngines)
        summary.engines.push_back(engine);
    return summary;
}

void summary_builder::endPeriod()
{
    ++mPeriods;
    mAdapterUses.clear();
    mPauses.clear();
    mIntervals.clear();
    mEngines.clear();
}

} // namespace corneltally::fleet
