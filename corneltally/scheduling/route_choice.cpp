#include "corneltally/scheduling/route_choice.h"

#include "corneltally/core/digest.h"

#include <algorithm>

namespace corneltally::scheduling {

namespace {

bool isUsable(const route_option &inOption)
{
    return inOption.ownerReachable && inOption.accepting && inOption.healthWeight > 0;
}

/// Pseudo-random numbers from one seed (SplitMix64).
class draw_sequence
{
public:
    explicit draw_sequence(std::uint64_t inSeed)
        : mState(inSeed)
    { }

    /// Returns a number uniformly distributed in [0, 1).
    double next()
    {
        mState += 0x9e3779b97f4a7c15U;
        std::uint64_t value = mState;
        value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
        value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
        value ^= value >> 31U;
        return static_cast<double>(value >> 11U) * 0x1.0p-53;
    }

private:
    std::uint64_t mState;
};

/// Draws one entry of a range with a probability proportional to its weight and swaps it to the
/// front.
template <typename Iterator>
void drawToFront(Iterator inFirst, Iterator inLast, draw_sequence &ioDraws)
{
    double total = 0;
    for (Iterator entry = inFirst; entry != inLast; ++entry)
        total += entry->weight;
    double point = ioDraws.next() * total;
    for (Iterator entry = inFirst; entry != inLast; ++entry) {
        point -= entry->weight;
        if (point < 0) {
            std::iter_swap(inFirst, entry);
            return;
        }
    }
}

/// Draws two entries and returns the cheaper one (power of two choices). With the cheapest of all,
/// all instances would choose the same endpoint until its next report.
template <typename Iterator>
Iterator chooseOfTwo(Iterator inFirst, Iterator inLast, draw_sequence &ioDraws)
{
    drawToFront(inFirst, inLast, ioDraws);
    if (inLast - inFirst < 2)
        return inFirst;
    const Iterator second = inFirst + 1;
    drawToFront(second, inLast, ioDraws);
    return second->cost < inFirst->cost ? second : inFirst;
}

} // namespace

route_choice::route_choice(route_settings inSettings)
    : mSettings(inSettings)
{ }

std::optional<std::size_t> route_choice::choose(std::string_view inAdapter, int inCopies,
                                                std::span<const route_option> inOptions,
                                                std::uint64_t inRandom) const
{
    std::vector<candidate> all = candidates(inAdapter, inCopies, inOptions);
    std::ranges::sort(all, {}, &candidate::group);
    draw_sequence draws(inRandom);
    std::optional<candidate> best;
    for (auto first = all.begin(); first != all.end();) {
        const auto last = std::find_if(first, all.end(), [&](const candidate &inOther) {
            return inOther.group != first->group;
        });
        const candidate winner = *chooseOfTwo(first, last, draws);
        if (!best || winner.cost < best->cost)
            best = winner;
        first = last;
    }
    if (!best)
        return std::nullopt;
    return best->index;
}

core::duration route_choice::cost(const route_option &inOption) const
{
    // Runs dispatched since the report are estimated like the queued runs of the report.
    const core::duration perRun
        = std::max(mSettings.dispatchedCost, inOption.estimatedWait / std::max(1, inOption.queued));
    core::duration total = inOption.estimatedWait + perRun * inOption.dispatchedSinceReport
        + mSettings.runningCost * inOption.running;
    if (!inOption.sameDomain)
        total += mSettings.spillOverPenalty;
    if (!inOption.resident)
        total += inOption.loading ? mSettings.loadingPenalty : mSettings.loadPenalty;
    const double weight = std::clamp(inOption.healthWeight, 0.01, 1.0);
    return core::duration(
        static_cast<core::duration::rep>(static_cast<double>(total.count()) / weight));
}

std::vector<route_choice::candidate>
route_choice::candidates(std::string_view inAdapter, int inCopies,
                         std::span<const route_option> inOptions) const
{
    struct home
    {
        std::uint64_t rank;
        std::size_t index;
    };
    std::vector<candidate> found;
    std::vector<home> homes;
    const auto add = [&](std::size_t inIndex, core::duration inPenalty) {
        const route_option &option = inOptions[inIndex];
        const int level = option.resident ? 0 : option.loading ? 1 : 2;
        found.push_back({inIndex, cost(option) + inPenalty, std::min(1.0, option.healthWeight),
                         level * 2 + (option.sameDomain ? 0 : 1)});
    };
    for (std::size_t index = 0; index < inOptions.size(); ++index) {
        const route_option &option = inOptions[index];
        if (!isUsable(option))
            continue;
        if (option.resident || option.loading)
            add(index, {});
        else
            homes.push_back({core::rendezvousWeight(inAdapter, option.name), index});
    }
    const std::size_t copies = std::max(1, inCopies);
    if (found.size() >= copies)
        return found;
    std::ranges::sort(homes, std::ranges::greater(), &home::rank);
    const std::size_t missing = std::min(copies - found.size(), homes.size());
    for (std::size_t position = 0; position < missing; ++position)
        add(homes[position].index, {});
    // If the rendezvous homes are overloaded, the adapter may be loaded at the next one.
    if (homes.size() > missing)
        add(homes[missing].index, mSettings.loadPenalty);
    return found;
}

} // namespace corneltally::scheduling
