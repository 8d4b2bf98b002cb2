#include "corneltally/entry/dispatch_rules.h"

#include "corneltally/limits/retry_budget.h"

#include <tuple>

namespace corneltally::entry {

namespace {

using namespace std::chrono_literals;

constexpr core::duration cInitialDelayBound = 20ms;
constexpr core::duration cMaxDelayBound = 1s;

} // namespace

bool mayRepeat(const failed_attempt &inAttempt)
{
    if (inAttempt.outcome == run_outcome::completed || inAttempt.partDelivered
        || inAttempt.attempts >= cMaxAttempts || inAttempt.remaining <= core::duration(0))
        return false;
    return inAttempt.outcome == run_outcome::not_run || inAttempt.repeatable;
}

core::duration retryDelay(int inAttempts, std::uint64_t inRandom)
{
    // The upper 53 bits, the precision of a double, give a number in [0, 1).
    const double uniform = static_cast<double>(inRandom >> 11U) * 0x1p-53;
    return limits::retryDelay(inAttempts - 1, cInitialDelayBound, cMaxDelayBound, uniform);
}

std::optional<std::size_t> chooseService(std::span<const service_option> inOptions,
                                         std::uint64_t inRandom)
{
    std::optional<std::size_t> best;
    std::tuple<bool, bool, double, std::size_t> bestRank;
    for (std::size_t index = 0; index < inOptions.size(); ++index) {
        const service_option &option = inOptions[index];
        if (!option.mayStart || option.healthWeight <= 0)
            continue;
        // The last element breaks ties at random.
        const std::tuple<bool, bool, double, std::size_t> rank{
            option.excluded, !option.sameDomain, (option.outstanding + 1) / option.healthWeight,
            (index + inRandom) % inOptions.size()};
        if (!best || rank < bestRank) {
            best = index;
            bestRank = rank;
        }
    }
    return best;
}

bool replacesStatus(std::uint64_t inKnownFence, bool inKnownOwnerLive, std::uint64_t inNewFence)
{
    return inNewFence >= inKnownFence || !inKnownOwnerLive;
}

} // namespace corneltally::entry
