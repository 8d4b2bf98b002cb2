#include "corneltally/ownership/owner_choice.h"

#include "corneltally/core/digest.h"

#include <tuple>

namespace corneltally::ownership {

std::optional<std::string> chooseOwner(std::string_view inEndpoint,
                                       std::string_view inFailureDomain,
                                       std::span<const owner_candidate> inCandidates)
{
    const owner_candidate *best = nullptr;
    std::tuple<bool, std::uint64_t, std::string_view> bestRank;
    for (const owner_candidate &candidate : inCandidates) {
        // The name breaks ties, so that the order of the candidates does not matter.
        const std::tuple<bool, std::uint64_t, std::string_view> rank{
            candidate.failureDomain == inFailureDomain,
            core::rendezvousWeight(inEndpoint, candidate.name), candidate.name};
        if (best == nullptr || rank > bestRank) {
            best = &candidate;
            bestRank = rank;
        }
    }
    if (best == nullptr)
        return std::nullopt;
    return best->name;
}

} // namespace corneltally::ownership
