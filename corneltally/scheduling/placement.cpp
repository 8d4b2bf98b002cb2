#include "corneltally/scheduling/placement.h"

#include <algorithm>
#include <cmath>

namespace corneltally::scheduling {

namespace {

/// Adapters without runs whose demand is lower are dropped by prune().
constexpr double cMinimumDemand = 0.05;

} // namespace

placement::placement(placement_options inOptions)
    : mOptions(inOptions)
{ }

void placement::started(std::string_view inAdapter, core::time_point inNow)
{
    ++advance(inAdapter, inNow).running;
}

void placement::ended(std::string_view inAdapter, core::time_point inNow)
{
    adapter_state &state = advance(inAdapter, inNow);
    state.running = std::max(0, state.running - 1);
}

int placement::copies(std::string_view inAdapter, double inShare, core::time_point inNow)
{
    const auto found = mAdapters.find(std::string(inAdapter));
    if (found == mAdapters.end())
        return 1;
    adapter_state &state = found->second;
    // The number of copies grows at once with the current runs and shrinks with their average.
    const double share = std::clamp(inShare, 0.001, 1.0);
    const double average = decayed(state, inNow) / share;
    const double current = std::max(average, state.running / share);
    state.copies
        = std::max(state.copies, static_cast<int>(std::ceil(current / mOptions.copyDemand)));
    while (state.copies > 1
           && average < (state.copies - 1) * mOptions.copyDemand / mOptions.hysteresis
           && current <= (state.copies - 1) * mOptions.copyDemand)
        --state.copies;
    return state.copies;
}

double placement::demand(std::string_view inAdapter, core::time_point inNow) const
{
    const auto found = mAdapters.find(std::string(inAdapter));
    return found == mAdapters.end() ? 0 : decayed(found->second, inNow);
}

void placement::prune(core::time_point inNow)
{
    std::erase_if(mAdapters, [&](const auto &inEntry) {
        return inEntry.second.running == 0 && decayed(inEntry.second, inNow) < cMinimumDemand;
    });
}

double placement::decayed(const adapter_state &inState, core::time_point inNow) const
{
    const double elapsed = static_cast<double>((inNow - inState.updated).count());
    const double decay
        = std::exp2(-std::max(0.0, elapsed) / static_cast<double>(mOptions.halfLife.count()));
    return inState.running + (inState.average - inState.running) * decay;
}

placement::adapter_state &placement::advance(std::string_view inAdapter, core::time_point inNow)
{
    adapter_state &state = mAdapters.try_emplace(std::string(inAdapter)).first->second;
    state.average = decayed(state, inNow);
    state.updated = inNow;
    return state;
}

} // namespace corneltally::scheduling
